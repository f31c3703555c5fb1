#include "fault_proxy/route_faults.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <string_view>

namespace pomelo::fault_proxy {
namespace {

namespace json = boost::json;

[[noreturn]] void throwInvalidField(std::string_view Name) {
  throw pomelo_error(error_kind::BadRequest,
                     fmt::format("faults: \"{}\" is not a known field or has "
                                 "the wrong type",
                                 Name));
}

std::uint64_t count(std::string_view Name, const json::value &Value) {
  if (!Value.is_int64() || Value.as_int64() < 0)
    throwInvalidField(Name);
  return static_cast<std::uint64_t>(Value.as_int64());
}

bool flag(std::string_view Name, const json::value &Value) {
  if (!Value.is_bool())
    throwInvalidField(Name);
  return Value.as_bool();
}

direction_faults parseDirection(std::string_view Name,
                                const json::value &Value) {
  if (!Value.is_object())
    throwInvalidField(Name);
  direction_faults Faults;
  for (const auto &[Field, Item] : Value.as_object())
    if (Field == "delay_ms")
      Faults.Delay = std::chrono::milliseconds(count(Field, Item));
    else if (Field == "blocked")
      Faults.Blocked = flag(Field, Item);
    else if (Field == "bytes_per_s")
      Faults.BytesPerSecond = count(Field, Item);
    else if (Field == "close_after_bytes")
      Faults.CloseAfterBytes = count(Field, Item);
    else if (Field == "reset_after_bytes")
      Faults.ResetAfterBytes = count(Field, Item);
    else
      throwInvalidField(Field);
  return Faults;
}

json::object describeDirection(const direction_faults &Faults) {
  return {{"delay_ms", Faults.Delay.count()},
          {"blocked", Faults.Blocked},
          {"bytes_per_s", Faults.BytesPerSecond},
          {"close_after_bytes", Faults.CloseAfterBytes},
          {"reset_after_bytes", Faults.ResetAfterBytes}};
}

} // namespace

route_faults blockBothDirections() {
  route_faults Faults;
  Faults.ToUpstream.Blocked = true;
  Faults.ToClient.Blocked = true;
  return Faults;
}

route_faults parseFaults(const json::object &Object) {
  route_faults Faults;
  for (const auto &[Name, Value] : Object)
    if (Name == "cut")
      Faults.Cut = flag(Name, Value);
    else if (Name == "to_upstream")
      Faults.ToUpstream = parseDirection(Name, Value);
    else if (Name == "to_client")
      Faults.ToClient = parseDirection(Name, Value);
    else
      throwInvalidField(Name);
  return Faults;
}

json::object describeFaults(const route_faults &Faults) {
  return {{"cut", Faults.Cut},
          {"to_upstream", describeDirection(Faults.ToUpstream)},
          {"to_client", describeDirection(Faults.ToClient)}};
}

} // namespace pomelo::fault_proxy
