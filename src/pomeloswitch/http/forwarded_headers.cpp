#include "pomeloswitch/http/forwarded_headers.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>

namespace pomelo {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view OwnFieldPrefix = "pomelo-";

constexpr std::array HopByHopFields{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::proxy_connection,
};

bool isHopByHop(http::field Name) {
  return std::find(HopByHopFields.begin(), HopByHopFields.end(), Name) !=
         HopByHopFields.end();
}

bool isOwnField(std::string_view Name) {
  return boost::algorithm::istarts_with(Name, OwnFieldPrefix);
}

//! Whether the Connection field of \p Fields makes \p Field one between
//! neighbours only. It cannot do so for fields that give the message its shape.
bool namedByConnection(const header_fields &Fields,
                       const header_fields::value_type &Field) {
  if (Field.name() == http::field::content_length ||
      Field.name() == http::field::host)
    return false;
  return http::token_list{Fields[http::field::connection]}.exists(
      Field.name_string());
}

bool passes(const header_fields &Fields,
            const header_fields::value_type &Field) {
  return !isHopByHop(Field.name()) && !isOwnField(Field.name_string()) &&
         !namedByConnection(Fields, Field);
}

bool isHex(std::string_view Text) {
  return Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

//! The trace id of a valid version 00 traceparent, else empty.
std::string_view traceIdOf(std::string_view Incoming) {
  constexpr std::size_t Length = 55;
  if (Incoming.size() != Length || !Incoming.starts_with("00-") ||
      Incoming[35] != '-' || Incoming[52] != '-')
    return {};
  const std::string_view Id = Incoming.substr(3, 32);
  const bool Zero = Id.find_first_not_of('0') == std::string_view::npos;
  return isHex(Id) && !Zero ? Id : std::string_view();
}

} // namespace

request_header headerForTarget(const request_header &FromCaller,
                               const dispatch_facts &Facts) {
  request_header Header;
  Header.version(11);
  Header.method_string(FromCaller.method_string());
  Header.target(FromCaller.target());
  for (const auto &Field : FromCaller) {
    const bool Withheld = Field.name() == http::field::authorization ||
                          Field.name() == http::field::expect ||
                          Field.name_string() == "traceparent";
    if (!Withheld && passes(FromCaller, Field))
      Header.insert(Field.name(), Field.name_string(), Field.value());
  }
  if (!Facts.Account.empty())
    Header.set(AccountField, Facts.Account);
  if (Facts.Slot) {
    Header.set(SlotField, std::to_string(*Facts.Slot));
    Header.set(FenceField, std::to_string(Facts.Token));
  }
  Header.set(DeadlineField, std::to_string(Facts.DeadlineUnixMs));
  Header.set("traceparent", Facts.TraceParent);
  return Header;
}

response_header headerForCaller(const response_header &FromTarget) {
  response_header Header;
  Header.version(11);
  Header.result(FromTarget.result_int());
  Header.reason(FromTarget.reason());
  for (const auto &Field : FromTarget)
    if (passes(FromTarget, Field))
      Header.insert(Field.name(), Field.name_string(), Field.value());
  return Header;
}

std::string continueTrace(std::string_view Incoming, std::string_view TraceId,
                          std::string_view SpanId) {
  const std::string_view Continued = traceIdOf(Incoming);
  return fmt::format("00-{}-{}-01", Continued.empty() ? TraceId : Continued,
                     SpanId);
}

} // namespace pomelo
