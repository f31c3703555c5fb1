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

} // namespace

request_header endToEndHeader(const request_header &FromCaller) {
  request_header Header;
  Header.version(11);
  Header.method_string(FromCaller.method_string());
  Header.target(FromCaller.target());
  for (const auto &Field : FromCaller) {
    const bool Withheld = Field.name() == http::field::authorization ||
                          Field.name() == http::field::expect;
    if (!Withheld && passes(FromCaller, Field))
      Header.insert(Field.name(), Field.name_string(), Field.value());
  }
  return Header;
}

response_header endToEndHeader(const response_header &FromTarget) {
  response_header Header;
  Header.version(11);
  Header.result(FromTarget.result_int());
  Header.reason(FromTarget.reason());
  for (const auto &Field : FromTarget)
    if (passes(FromTarget, Field))
      Header.insert(Field.name(), Field.name_string(), Field.value());
  return Header;
}

request_header headerForTarget(const request_header &FromCaller,
                               const dispatch_facts &Facts) {
  request_header Header = endToEndHeader(FromCaller);
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

} // namespace pomelo
