//! Which header fields pass between callers and targets.
#ifndef POMELOSWITCH_HTTP_FORWARDED_HEADERS_HPP
#define POMELOSWITCH_HTTP_FORWARDED_HEADERS_HPP

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace pomelo {

//! Fields of the target protocol; a caller's own are dropped.
inline constexpr std::string_view FenceField = "Pomelo-Fence";
inline constexpr std::string_view SlotField = "Pomelo-Slot";
inline constexpr std::string_view DeadlineField = "Pomelo-Deadline";
inline constexpr std::string_view AccountField = "Pomelo-Account";
inline constexpr std::string_view NotRunField = "Pomelo-Not-Run";

//! What the target is told besides the caller's own header.
struct dispatch_facts {
  std::string Account; //!< Empty on routes open to all.
  std::optional<std::uint32_t> Slot;
  std::uint64_t Token = 0; //!< Set together with Slot.
  std::int64_t DeadlineUnixMs = 0;
  std::chrono::milliseconds TimeLeft{0}; //!< Until that deadline.
  std::string TargetId;
  std::string RequestId; //!< As the caller sent it.
  std::string TraceParent;
};

using header_fields = boost::beast::http::fields;
using request_header = boost::beast::http::request_header<>;
using response_header = boost::beast::http::response_header<>;

//! What of a message passes on whatever the target protocol is: its first line
//! and its fields but for hop-by-hop ones, the caller's credential and those of
//! this system.
request_header endToEndHeader(const request_header &FromCaller);
response_header endToEndHeader(const response_header &FromTarget);

//! The header for the target: without hop-by-hop fields, the caller's
//! credential and anything that only pomeloswitch may say.
request_header headerForTarget(const request_header &FromCaller,
                               const dispatch_facts &Facts);

} // namespace pomelo

#endif
