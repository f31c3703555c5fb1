//! Selection of the header fields that are forwarded between callers and
//! targets.
#ifndef POMELOSWITCH_HTTP_FORWARDED_HEADERS_HPP
#define POMELOSWITCH_HTTP_FORWARDED_HEADERS_HPP

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace pomelo {

//! Fields of the target protocol. They are removed from callers' requests.
inline constexpr std::string_view FenceField = "Pomelo-Fence";
inline constexpr std::string_view SlotField = "Pomelo-Slot";
inline constexpr std::string_view DeadlineField = "Pomelo-Deadline";
inline constexpr std::string_view AccountField = "Pomelo-Account";
inline constexpr std::string_view NotRunField = "Pomelo-Not-Run";

//! Values that are sent to the target in addition to the caller's header.
struct dispatch_metadata {
  std::string Account; //!< Empty on routes with open access.
  std::optional<std::uint32_t> Slot;
  std::uint64_t Token = 0; //!< Set together with Slot.
  std::int64_t DeadlineUnixMs = 0;
  std::chrono::milliseconds TimeLeft{0}; //!< Time until the deadline.
  std::string TargetId;
  std::string RequestId; //!< Request id that the caller sent; may be empty.
  std::string TraceParent;
};

using header_fields = boost::beast::http::fields;
using request_header = boost::beast::http::request_header<>;
using response_header = boost::beast::http::response_header<>;

//! Returns the parts of a header that are forwarded under every target
//! protocol: the start line and all fields except hop-by-hop fields, the
//! caller's credential, Expect and Pomelo-* fields.
request_header endToEndHeader(const request_header &FromCaller);
response_header endToEndHeader(const response_header &FromTarget);

//! Returns endToEndHeader() of \p FromCaller with the Pomelo-* fields and the
//! traceparent from \p Metadata.
request_header headerForTarget(const request_header &FromCaller,
                               const dispatch_metadata &Metadata);

} // namespace pomelo

#endif
