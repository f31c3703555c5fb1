#include "pomeloswitch/http/forwarded_headers.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <set>

namespace pomelo {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view PomeloFieldPrefix = "pomelo-";

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

bool isPomeloField(std::string_view Name) {
  return boost::algorithm::istarts_with(Name, PomeloFieldPrefix);
}

//! Whether the Connection field of \p Fields declares \p Field hop-by-hop. It
//! is ignored for Content-Length and Host, which determine how the message is
//! parsed and routed.
bool namedByConnection(const header_fields &Fields,
                       const header_fields::value_type &Field) {
  if (Field.name() == http::field::content_length ||
      Field.name() == http::field::host)
    return false;
  return http::token_list{Fields[http::field::connection]}.exists(
      Field.name_string());
}

bool isForwarded(const header_fields &Fields,
                 const header_fields::value_type &Field) {
  return !isHopByHop(Field.name()) && !isPomeloField(Field.name_string()) &&
         !namedByConnection(Fields, Field);
}

} // namespace

request_header endToEndHeader(const request_header &FromCaller) {
  request_header Header;
  Header.version(11);
  Header.method_string(FromCaller.method_string());
  Header.target(FromCaller.target());
  for (const auto &Field : FromCaller) {
    const bool Excluded = Field.name() == http::field::authorization ||
                          Field.name() == http::field::expect;
    if (!Excluded && isForwarded(FromCaller, Field))
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
    if (isForwarded(FromTarget, Field))
      Header.insert(Field.name(), Field.name_string(), Field.value());
  return Header;
}

request_header headerForTarget(const request_header &FromCaller,
                               const dispatch_metadata &Metadata) {
  request_header Header = endToEndHeader(FromCaller);
  if (!Metadata.Account.empty())
    Header.set(AccountField, Metadata.Account);
  if (Metadata.Slot) {
    Header.set(SlotField, std::to_string(*Metadata.Slot));
    Header.set(FenceField, std::to_string(Metadata.Token));
  }
  Header.set(DeadlineField, std::to_string(Metadata.DeadlineUnixMs));
  Header.set("traceparent", Metadata.TraceParent);
  return Header;
}

} // namespace pomelo
