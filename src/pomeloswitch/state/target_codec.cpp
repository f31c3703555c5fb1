#include "pomeloswitch/state/target_codec.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/wire/peer_link.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

namespace pomelo {

target_member toMember(const wire::target_joined &Joined) {
  target_member Member;
  Member.TargetId = Joined.target_id();
  Member.Incarnation = Joined.incarnation();
  Member.Service = Joined.service();
  Member.FailureDomain = Joined.failure_domain();
  Member.Address = Joined.address();
  Member.Slots = Joined.slots();
  Member.Connections = Joined.connections();
  Member.ChecksFence = Joined.checks_fence();
  Member.StartedMs = Joined.started_unix_ms();
  Member.OrderedByCall = Joined.ordered_by_call();
  Member.Cold = Joined.cold();
  Member.Version = Joined.version();
  return Member;
}

wire::target_joined toMessage(const target_member &Member) {
  wire::target_joined Joined;
  Joined.set_target_id(Member.TargetId);
  Joined.set_incarnation(Member.Incarnation);
  Joined.set_service(Member.Service);
  Joined.set_failure_domain(Member.FailureDomain);
  Joined.set_address(Member.Address);
  Joined.set_slots(Member.Slots);
  Joined.set_connections(Member.Connections);
  Joined.set_checks_fence(Member.ChecksFence);
  Joined.set_started_unix_ms(Member.StartedMs);
  Joined.set_ordered_by_call(Member.OrderedByCall);
  Joined.set_cold(Member.Cold);
  Joined.set_version(Member.Version);
  return Joined;
}

std::string canonicalTargetAddress(std::string_view Text) {
  boost::asio::ip::tcp::endpoint Address;
  try {
    Address = parseEndpoint(Text);
  } catch (const pomelo_error &Failure) {
    throw pomelo_error(error_kind::BadRequest, Failure.what());
  }
  if (Address.port() == 0 || Address.address().is_unspecified())
    throw pomelo_error(
        error_kind::BadRequest,
        fmt::format("\"{}\" is no address to call a target at", Text));
  return toString(Address);
}

} // namespace pomelo
