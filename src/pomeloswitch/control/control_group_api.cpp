//! Endpoints of the administration API for the control group and its state.
#include "pomeloswitch/control/admin_api.hpp"
#include "pomeloswitch/raft/replicated_log.hpp"
#include "pomeloswitch/settings/control_settings.hpp"
#include "pomeloswitch/settings/json_fields.hpp"
#include "pomeloswitch/wire/peer_link.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <google/protobuf/util/json_util.h>

#include <chrono>

namespace pomelo {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds CommitTimeout{5000};
constexpr milliseconds CommitPollInterval{5};

std::string parseAddress(const json::object &Body) {
  std::string Address = nonEmptyStringIn(Body, "address");
  try {
    parseEndpoint(Address);
  } catch (const pomelo_error &Failure) {
    throw pomelo_error(error_kind::BadRequest,
                       std::string("address: ") + Failure.what());
  }
  return Address;
}

} // namespace

asio::awaitable<json::object> admin_api::getControlHosts(const text_request &) {
  json::array Members;
  for (const control_member &Member : Backend.log().members())
    Members.push_back(json::object{{"host_id", Member.HostId},
                                   {"address", Member.Address},
                                   {"voter", Member.Voter},
                                   {"replaces", Member.Replaces},
                                   {"durable_index", Member.DurableIndex}});
  co_return json::object{{"host_id", Backend.settings().HostId},
                         {"leader", Backend.log().leaderId()},
                         {"leading", Backend.log().leadershipConfirmed()},
                         {"commit_index", Backend.log().commitIndex()},
                         {"members", std::move(Members)}};
}

asio::awaitable<json::object>
admin_api::postControlHost(const text_request &Request) {
  const json::object Body = parseObject(Request.body());
  const host_address Host{nonEmptyStringIn(Body, "host_id"),
                          parseAddress(Body)};
  const std::string Replaces =
      Body.contains("replaces") ? nonEmptyStringIn(Body, "replaces") : "";
  const std::uint64_t Index = Backend.log().addMember(Host, Replaces);
  co_await awaitCommit(Index);
  co_return json::object{{"index", Index}};
}

asio::awaitable<json::object>
admin_api::postControlRemoval(const text_request &Request) {
  const json::object Body = parseObject(Request.body());
  const std::uint64_t Index =
      Backend.log().removeMember(nonEmptyStringIn(Body, "host_id"));
  co_await awaitCommit(Index);
  co_return json::object{{"index", Index}};
}

asio::awaitable<void> admin_api::awaitCommit(std::uint64_t Index) {
  asio::steady_timer Timer(Io);
  const auto Deadline = steady_clock::now() + CommitTimeout;
  while (Backend.log().commitIndex() < Index) {
    if (!Backend.log().leading() || steady_clock::now() > Deadline)
      throw pomelo_error(error_kind::NoQuorum,
                         "the control group change was not confirmed "
                         "in time; check the list of control hosts");
    Timer.expires_after(CommitPollInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<json::object> admin_api::getSnapshot(const text_request &) {
  std::string Text;
  const auto Status = google::protobuf::util::MessageToJsonString(
      Backend.state().toSnapshot(), &Text);
  if (!Status.ok())
    throw pomelo_error(error_kind::Internal,
                       "cannot serialize the state as JSON");
  co_return json::object{{"index", Backend.state().index()},
                         {"state", json::parse(Text)}};
}

} // namespace pomelo
