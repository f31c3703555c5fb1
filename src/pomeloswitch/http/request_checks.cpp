#include "pomeloswitch/http/request_checks.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/replace.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace pomelo {
namespace {

namespace http = boost::beast::http;

[[noreturn]] void reject(const char *Reason) {
  throw pomelo_error(error_kind::BadRequest, Reason);
}

void checkTransferCoding(const http::request_header<> &Header) {
  const auto Count = Header.count(http::field::transfer_encoding);
  if (Count == 0)
    return;
  const std::string_view Coding = Header[http::field::transfer_encoding];
  if (Count > 1 || !boost::algorithm::iequals(Coding, "chunked"))
    reject("the only transfer coding is \"chunked\"");
}

bool isDotSegment(std::string_view Segment) {
  std::string Decoded(Segment);
  boost::algorithm::ireplace_all(Decoded, "%2e", ".");
  return Decoded == "." || Decoded == "..";
}

//! A target that resolves dot segments would see a different path from the one
//! that the routing rules were applied to.
void checkPath(std::string_view Target) {
  if (!Target.starts_with('/'))
    reject("the request target is not an absolute path");
  std::string_view Path = Target.substr(0, Target.find('?'));
  while (!Path.empty()) {
    Path.remove_prefix(1);
    const std::string_view Segment = Path.substr(0, Path.find('/'));
    if (isDotSegment(Segment))
      reject("the path contains dot segments");
    Path.remove_prefix(Segment.size());
  }
}

} // namespace

void checkRequestHeader(const http::request_header<> &Header) {
  checkTransferCoding(Header);
  if (Header.version() >= 11 && Header.count(http::field::host) != 1)
    reject("the request needs exactly one Host field");
  checkPath(Header.target());
}

} // namespace pomelo
