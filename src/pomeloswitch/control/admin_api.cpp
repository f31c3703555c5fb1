#include "pomeloswitch/control/admin_api.hpp"

#include "pomeloswitch/control/rollout_description.hpp"
#include "pomeloswitch/membership/in_force.hpp"
#include "pomeloswitch/raft/replicated_log.hpp"
#include "pomeloswitch/routing/authentication.hpp"
#include "pomeloswitch/routing/route_table.hpp"
#include "pomeloswitch/settings/common_settings.hpp"
#include "pomeloswitch/settings/control_settings.hpp"
#include "pomeloswitch/settings/json_fields.hpp"
#include "pomeloswitch/wire/secret_hash.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <memory>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::steady_clock;

constexpr std::string_view Scheme = "Bearer ";
constexpr std::string_view OperationIdHeader = "Pomelo-Operation-Id";
constexpr std::string_view BaseVersionHeader = "Pomelo-Base-Version";
constexpr auto ChangeTimeout = std::chrono::seconds(5);
//! Longest time a response waits for a change to be in force.
constexpr auto InForceTimeout = std::chrono::milliseconds(1000);
constexpr auto InForcePollInterval = std::chrono::milliseconds(10);

std::string_view pathOf(const text_request &Request) {
  const std::string_view Target = Request.target();
  return Target.substr(0, Target.find('?'));
}

std::string queryValue(const text_request &Request, std::string_view Name) {
  key_source Source;
  Source.From = key_source::location::Query;
  Source.Name = Name;
  const request_attributes Facts{
      Request.method_string(), Request.target(), {}, {}};
  const auto Value = extractKey(Source, Facts);
  if (!Value)
    throw pomelo_error(
        error_kind::BadRequest,
        fmt::format("the query parameter \"{}\" is missing", Name));
  return *Value;
}

std::uint64_t parseNumber(std::string_view Name, std::string_view Text) {
  std::uint64_t Number = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    throw pomelo_error(error_kind::BadRequest,
                       fmt::format("{}: must be a non-negative integer", Name));
  return Number;
}

//! Account keys are accepted only by hosts with a lease, so key changes don't
//! affect isolated hosts. All other changes may affect what a host serves
//! without a lease.
isolated_routing isolatedServiceOf(const wire::command &Command) {
  return Command.has_issue_key() || Command.has_withdraw_key()
             ? isolated_routing::None
             : isolated_routing::OpenRoutes;
}

json::object describeInForce(bool InForce,
                             const std::vector<std::string> &Behind,
                             std::uint64_t Index, isolated_routing Isolated) {
  return {{"state", InForce ? "accepted" : "pending"},
          {"waiting_for", json::array(Behind.begin(), Behind.end())},
          {"check", fmt::format("/v1/in-force?index={}&isolation={}", Index,
                                static_cast<int>(Isolated))}};
}

std::string_view phaseName(slot_phase Phase) {
  constexpr std::array<std::string_view, 4> Names{"unowned", "granted",
                                                  "active", "revoking"};
  return Names[static_cast<std::size_t>(Phase)];
}

json::object describeDocument(const cluster_state &State,
                              const std::string &Text) {
  return {
      {"version", State.configVersion()},
      {"document", Text.empty() ? json::value(nullptr) : json::parse(Text)}};
}

json::array describeHosts(const cluster_state &State, const lease_table &Leases,
                          steady_clock::time_point Now) {
  json::array Hosts;
  for (const auto &[Id, Member] : State.entryHosts()) {
    const host_status *Status = Leases.findHost(Id);
    Hosts.push_back(
        json::object{{"host_id", Id},
                     {"failure_domain", Member.FailureDomain},
                     {"live", !Leases.hostExpired(Id, Now)},
                     {"version", Status ? Status->ConfigVersion : 0},
                     {"applied_index", Status ? Status->AppliedIndex : 0},
                     {"quiesced_index", Status ? Status->QuiescedIndex : 0},
                     {"stopping", Status && Status->Stopping}});
  }
  return Hosts;
}

json::array describeTargets(const cluster_state &State,
                            const lease_table &Leases,
                            steady_clock::time_point Now) {
  json::array Targets;
  for (const auto &[Id, Member] : State.targets())
    Targets.push_back(json::object{{"target_id", Id},
                                   {"service", Member.Service},
                                   {"failure_domain", Member.FailureDomain},
                                   {"address", Member.Address},
                                   {"live", !Leases.targetExpired(Id, Now)},
                                   {"leaving", Member.Leaving},
                                   {"out", State.drainedByOperators(Member)}});
  return Targets;
}

json::object describeSlots(const cluster_state &State) {
  json::object Services;
  for (const service &Service : State.sharedInventory()->Services) {
    const auto Table = State.sharedSlots(Service.Name);
    if (!Table)
      continue;
    std::array<std::uint64_t, 4> Counts{};
    for (const slot_ownership &Slot : *Table)
      ++Counts[static_cast<std::size_t>(Slot.Phase)];
    json::object Phases;
    for (std::size_t Phase = 0; Phase < Counts.size(); ++Phase)
      Phases[phaseName(static_cast<slot_phase>(Phase))] = Counts[Phase];
    Services[Service.Name] = std::move(Phases);
  }
  return Services;
}

} // namespace

const admin_api::endpoint admin_api::Endpoints[] = {
    {http::verb::get, "/v1/status", true, &admin_api::getStatus},
    {http::verb::get, "/v1/inventory", true, &admin_api::getInventory},
    {http::verb::get, "/v1/rules", true, &admin_api::getRules},
    {http::verb::get, "/v1/in-force", true, &admin_api::getInForce},
    {http::verb::get, "/v1/explain", true, &admin_api::getExplain},
    {http::verb::put, "/v1/inventory", true, &admin_api::putInventory},
    {http::verb::put, "/v1/rules", true, &admin_api::putRules},
    {http::verb::post, "/v1/keys", true, &admin_api::postKey},
    {http::verb::post, "/v1/keys/withdraw", true, &admin_api::postWithdrawal},
    {http::verb::post, "/v1/drains", true, &admin_api::postDrain},
    {http::verb::get, "/v1/rollouts", true, &admin_api::getRollouts},
    {http::verb::get, "/v1/rollout", true, &admin_api::getRollout},
    {http::verb::post, "/v1/rollouts", true, &admin_api::postRollout},
    {http::verb::get, "/v1/control-hosts", false, &admin_api::getControlHosts},
    {http::verb::post, "/v1/control-hosts", true, &admin_api::postControlHost},
    {http::verb::post, "/v1/control-hosts/remove", true,
     &admin_api::postControlRemoval},
    {http::verb::get, "/v1/snapshot", true, &admin_api::getSnapshot},
};

asio::awaitable<text_response> admin_api::handle(const text_request &Request) {
  checkOperator(Request);
  const auto Endpoint =
      std::find_if(std::begin(Endpoints), std::end(Endpoints),
                   [&](const endpoint &Candidate) {
                     return Candidate.Method == Request.method() &&
                            Candidate.Path == pathOf(Request);
                   });
  if (Endpoint == std::end(Endpoints))
    throw pomelo_error(error_kind::NotFound, "no such endpoint");
  if (Endpoint->LeaderOnly && !Backend.log().leadershipConfirmed())
    throw pomelo_error(
        error_kind::NotLeader,
        fmt::format("the leader is \"{}\"", Backend.log().leaderId()));
  const json::object Answer = co_await (this->*Endpoint->Handler)(Request);
  co_return makeJsonResponse(json::serialize(Answer), Request.version());
}

void admin_api::checkOperator(const text_request &Request) const {
  std::string_view Credential = Request[http::field::authorization];
  if (Credential.starts_with(Scheme))
    Credential.remove_prefix(Scheme.size());
  const std::string Hash = sha256Hex(Credential);
  bool Authorized = false;
  for (const operator_settings &Operator : Backend.settings().Operators)
    Authorized |= equalInConstantTime(Hash, Operator.KeySha256);
  if (!Authorized)
    throw pomelo_error(error_kind::Unauthenticated,
                       "a valid operator credential is required");
}

asio::awaitable<json::object>
admin_api::applyChange(const text_request &Request, wire::command Command) {
  Command.set_operation_id(std::string(Request[OperationIdHeader]));
  if (Request.count(BaseVersionHeader))
    Command.set_base_version(
        parseNumber(BaseVersionHeader, Request[BaseVersionHeader]));
  const isolated_routing Isolated = isolatedServiceOf(Command);
  struct pending {
    explicit pending(asio::io_context &Io) : Timer(Io) {}
    asio::steady_timer Timer;
    std::optional<apply_result> Result;
    std::uint64_t Index = 0;
  };
  auto Pending = std::make_shared<pending>(Io);
  Pending->Timer.expires_after(ChangeTimeout);
  Backend.proposeChange(
      std::move(Command),
      [Pending](const apply_result &Result, std::uint64_t Index) {
        Pending->Result = Result;
        Pending->Index = Index;
        Pending->Timer.cancel();
      });
  boost::system::error_code Ignored;
  if (!Pending->Result)
    co_await Pending->Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  if (!Pending->Result)
    throw pomelo_error(error_kind::NoQuorum,
                       "the change was not confirmed in time; retry it "
                       "with the same operation id");
  if (!Pending->Result->accepted())
    throw pomelo_error(*Pending->Result->Refusal, Pending->Result->Message);
  json::object Answer =
      co_await awaitInForce(Pending->Index, Isolated, InForceTimeout);
  Answer["version"] = Pending->Result->Version;
  Answer["index"] = Pending->Index;
  co_return Answer;
}

asio::awaitable<json::object>
admin_api::awaitInForce(std::uint64_t Index, isolated_routing Isolated,
                        std::chrono::milliseconds Timeout) {
  const auto Deadline = steady_clock::now() + Timeout;
  asio::steady_timer Timer(Io);
  for (;;) {
    // Entry hosts are silent to a leader that was deposed.
    if (!Backend.log().leading())
      throw pomelo_error(error_kind::NoQuorum,
                         "this host has ceased to lead; ask the leader");
    const auto Now = steady_clock::now();
    const auto Behind =
        hostsBehind(Backend.state(), Backend.leases(), Index, Isolated, Now);
    const bool InForce = Behind.empty() && Backend.log().leadershipConfirmed();
    if (InForce || Now >= Deadline)
      co_return describeInForce(InForce, Behind, Index, Isolated);
    Timer.expires_after(InForcePollInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<json::object>
admin_api::getInForce(const text_request &Request) {
  const std::uint64_t Index =
      parseNumber("index", queryValue(Request, "index"));
  const auto Isolated = queryValue(Request, "isolation") == "0"
                            ? isolated_routing::None
                            : isolated_routing::OpenRoutes;
  co_return co_await awaitInForce(Index, Isolated, InForceTimeout);
}

asio::awaitable<json::object> admin_api::getStatus(const text_request &) {
  const cluster_state &State = Backend.state();
  const auto Now = steady_clock::now();
  const lease_table &Leases = Backend.leases();
  json::array DomainsOut(State.drainedDomains().begin(),
                         State.drainedDomains().end());
  co_return json::object{{"host_id", Backend.settings().HostId},
                         {"leader", Backend.log().leaderId()},
                         {"leading", Backend.log().leadershipConfirmed()},
                         {"index", State.index()},
                         {"version", State.configVersion()},
                         {"entry_hosts", describeHosts(State, Leases, Now)},
                         {"targets", describeTargets(State, Leases, Now)},
                         {"slots", describeSlots(State)},
                         {"failure_domains_out", std::move(DomainsOut)}};
}

asio::awaitable<json::object> admin_api::getInventory(const text_request &) {
  co_return describeDocument(Backend.state(), Backend.state().inventoryJson());
}

asio::awaitable<json::object> admin_api::getRules(const text_request &) {
  co_return describeDocument(Backend.state(), Backend.state().rulesJson());
}

asio::awaitable<json::object>
admin_api::getExplain(const text_request &Request) {
  const std::string Service = queryValue(Request, "service");
  const std::string Key = queryValue(Request, "key");
  const std::uint32_t Number = Backend.state().slotNumberOf(Service, Key);
  const auto Table = Backend.state().sharedSlots(Service);
  const slot_ownership &Slot = (*Table)[Number];
  co_return json::object{{"service", Service},
                         {"key", Key},
                         {"slot", Number},
                         {"owner", Slot.Owner},
                         {"token", Slot.Token},
                         {"phase", phaseName(Slot.Phase)},
                         {"since_index", Slot.ChangedIndex}};
}

asio::awaitable<json::object>
admin_api::putInventory(const text_request &Request) {
  wire::command Command;
  Command.mutable_set_inventory()->set_json(Request.body());
  co_return co_await applyChange(Request, std::move(Command));
}

asio::awaitable<json::object> admin_api::putRules(const text_request &Request) {
  wire::command Command;
  Command.mutable_set_rules()->set_json(Request.body());
  co_return co_await applyChange(Request, std::move(Command));
}

asio::awaitable<json::object> admin_api::postKey(const text_request &Request) {
  const json::object Body = parseObject(Request.body());
  const std::string OperationId(Request[OperationIdHeader]);
  const new_account_key Key =
      deriveAccountKey(Backend.settings().ClusterSecret,
                       OperationId.empty() ? randomHex(16) : OperationId);
  wire::command Command;
  auto *Issue = Command.mutable_issue_key();
  Issue->set_account(nonEmptyStringIn(Body, "account"));
  Issue->set_key_id(Key.Id);
  Issue->set_key_hash(Key.Hash);
  json::object Answer = co_await applyChange(Request, std::move(Command));
  Answer["key_id"] = Key.Id;
  Answer["key"] = Key.Text;
  co_return Answer;
}

asio::awaitable<json::object>
admin_api::postWithdrawal(const text_request &Request) {
  const json::object Body = parseObject(Request.body());
  wire::command Command;
  Command.mutable_withdraw_key()->set_key_id(nonEmptyStringIn(Body, "key_id"));
  co_return co_await applyChange(Request, std::move(Command));
}

asio::awaitable<json::object>
admin_api::postDrain(const text_request &Request) {
  const json::object Body = parseObject(Request.body());
  wire::command Command;
  auto *Drain = Command.mutable_set_drain();
  const std::string Scope = nonEmptyStringIn(Body, "scope");
  if (Scope != "failure_domain" && Scope != "target")
    throw pomelo_error(error_kind::BadRequest,
                       "scope: must be \"failure_domain\" or \"target\"");
  Drain->set_scope(Scope == "target" ? wire::set_drain::TARGET
                                     : wire::set_drain::FAILURE_DOMAIN);
  Drain->set_name(nonEmptyStringIn(Body, "name"));
  Drain->set_out(boolField(Body, "out", true));
  co_return co_await applyChange(Request, std::move(Command));
}

asio::awaitable<json::object> admin_api::getRollouts(const text_request &) {
  co_return json::object{
      {"rollouts", describeRollouts(Backend.state().rollouts())}};
}

asio::awaitable<json::object>
admin_api::getRollout(const text_request &Request) {
  const std::string Service = queryValue(Request, "service");
  const rollout *Rollout = Backend.state().rollouts().find(Service);
  if (!Rollout)
    throw pomelo_error(
        error_kind::NotFound,
        fmt::format("there is no roll-out of the service \"{}\"", Service));
  co_return describeRollout(Service, *Rollout);
}

asio::awaitable<json::object>
admin_api::postRollout(const text_request &Request) {
  if (!Backend.settings().RolloutsEnabled)
    throw pomelo_error(
        error_kind::InvalidChange,
        "rollouts: the settings of this control host allow no roll-outs");
  const json::object Body = parseObject(Request.body());
  wire::command Command;
  auto *Start = Command.mutable_start_rollout();
  Start->set_service(nonEmptyStringIn(Body, "service"));
  Start->set_version(nonEmptyStringIn(Body, "version"));
  Start->set_duration_ms(
      static_cast<std::uint64_t>(durationIn(Body, "duration_s").count()));
  co_return co_await applyChange(Request, std::move(Command));
}

} // namespace pomelo
