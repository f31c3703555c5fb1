#include "pomeloswitch/entry/announce_api.hpp"

#include "pomeloswitch/entry/control_session.hpp"
#include "pomeloswitch/membership/lease_table.hpp"
#include "pomeloswitch/settings/common_settings.hpp"
#include "pomeloswitch/state/target_codec.hpp"
#include "pomeloswitch/wire/report_id.hpp"
#include "pomeloswitch/wire/secret_hash.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <chrono>
#include <vector>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::string_view Path = "/v1/announce";
constexpr std::string_view Scheme = "Bearer ";
constexpr auto RecordTimeout = std::chrono::milliseconds(1000);
constexpr int NextAnnouncementMs = 200;

const std::string &schema() {
  static const std::string Schema = fmt::format(R"json({{
  "definitions": {{ {} }},
  "type": "object", "additionalProperties": false,
  "required": ["target_id", "incarnation", "service", "failure_domain",
               "address", "slots", "connections"],
  "properties": {{
    "target_id": {{"$ref": "#/definitions/name"}},
    "incarnation": {{"type": "integer", "minimum": 1}},
    "service": {{"$ref": "#/definitions/name"}},
    "failure_domain": {{"$ref": "#/definitions/name"}},
    "address": {{"$ref": "#/definitions/address"}},
    "slots": {{"type": "integer", "minimum": 1, "maximum": 65536}},
    "connections": {{"type": "integer", "minimum": 1, "maximum": 65536}},
    "checks_fence": {{"type": "boolean"}},
    "leaving": {{"type": "boolean"}},
    "taken_index": {{"type": "integer", "minimum": 0}},
    "settled_index": {{"type": "integer", "minimum": 0}}
  }}
}})json",
                                                CommonDefinitions);
  return Schema;
}

} // namespace

asio::awaitable<text_response>
announce_api::handle(const text_request &Request) {
  if (Request.target() != Path || Request.method() != http::verb::post)
    throw pomelo_error(error_kind::NotFound,
                       "targets announce themselves with POST /v1/announce");
  const wire::target_report Report = parse(Request);
  asio::steady_timer Timer(Io, RecordTimeout);
  const auto Position =
      Pending.add(reportId(Report.target()), Session.queueReport(Report),
                  [&Timer] { Timer.cancel(); });
  boost::system::error_code Ignored;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
  const bool Ready = Position->Ready;
  Pending.remove(Position);
  if (!Ready)
    throw pomelo_error(
        error_kind::NoQuorum,
        "the control group did not record the announcement in time, or "
        "this host has not applied its commit index yet");
  co_return makeJsonResponse(answerBody(Report), Request.version());
}

wire::target_report announce_api::parse(const text_request &Request) const {
  const document_kind Kind{"announcement", schema(), error_kind::BadRequest};
  const boost::json::value Document = parseDocument(Kind, Request.body());
  const auto &Object = Document.as_object();
  const inventory &Inventory = *Session.state().sharedInventory();
  const std::string ServiceName = stringField(Object, "service");
  const service *Service = Inventory.findService(ServiceName);
  std::string_view Credential = Request[http::field::authorization];
  if (Credential.starts_with(Scheme))
    Credential.remove_prefix(Scheme.size());
  if (!Service ||
      !equalInConstantTime(sha256Hex(Credential), Service->AnnounceSha256))
    throw pomelo_error(
        error_kind::Unauthenticated,
        "the service is unknown or the credential does not match it");
  wire::target_report Report;
  auto *Target = Report.mutable_target();
  Target->set_target_id(stringField(Object, "target_id"));
  Target->set_incarnation(
      static_cast<std::uint64_t>(integerField(Object, "incarnation", 0)));
  Target->set_service(ServiceName);
  Target->set_failure_domain(stringField(Object, "failure_domain"));
  Target->set_address(canonicalTargetAddress(stringField(Object, "address")));
  Target->set_slots(
      static_cast<std::uint32_t>(integerField(Object, "slots", 1)));
  Target->set_connections(
      static_cast<std::uint32_t>(integerField(Object, "connections", 1)));
  Target->set_checks_fence(boolField(Object, "checks_fence", false));
  Report.set_leaving(boolField(Object, "leaving", false));
  Report.set_taken_index(
      static_cast<std::uint64_t>(integerField(Object, "taken_index", 0)));
  Report.set_settled_index(
      static_cast<std::uint64_t>(integerField(Object, "settled_index", 0)));
  if (!Inventory.findFailureDomain(Target->failure_domain()))
    refuseDocument(Kind, "failure_domain", "not in the inventory");
  return Report;
}

std::string announce_api::answerBody(const wire::target_report &Report) const {
  const cluster_state &State = Session.state();
  const auto &Id = Report.target().target_id();
  const auto Member = State.targets().find(Id);
  const bool Joined =
      Member != State.targets().end() &&
      Member->second.Incarnation == Report.target().incarnation();
  boost::json::array Grants;
  const auto Table = State.sharedSlots(Report.target().service());
  for (std::size_t Number = 0; Joined && Table && Number < Table->size();
       ++Number) {
    const slot_ownership &Slot = (*Table)[Number];
    if (Slot.Owner == Id &&
        (Slot.Phase == slot_phase::Granted || Slot.Phase == slot_phase::Active))
      Grants.push_back(
          boost::json::object{{"slot", Number}, {"token", Slot.Token}});
  }
  const boost::json::object Answer{
      {"index", State.index()},
      {"lease_ms", lease_times().TargetLease.count()},
      {"next_ms", NextAnnouncementMs},
      {"joined", Joined},
      {"grants", std::move(Grants)}};
  return boost::json::serialize(Answer);
}

void announce_api::onAck(const wire::heartbeat_ack &Ack) {
  const std::vector<std::string> Ids(Ack.targets().begin(),
                                     Ack.targets().end());
  Pending.onRecorded(Ids, Ack.sequence(), Ack.commit_index());
  Pending.onApplied(Session.state().index());
}

} // namespace pomelo
