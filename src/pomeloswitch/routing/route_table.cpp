#include "pomeloswitch/routing/route_table.hpp"

#include "pomeloswitch/settings/path_prefix.hpp"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <charconv>

namespace pomelo {
namespace {

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string_view queryOf(std::string_view Target) {
  const auto QuestionMark = Target.find('?');
  return QuestionMark == std::string_view::npos
             ? std::string_view()
             : Target.substr(QuestionMark + 1);
}

//! \p Host may include a port, which is ignored.
bool matchesHost(const route &Route, std::string_view Host) {
  return Route.Host.empty() ||
         boost::algorithm::iequals(Route.Host, Host.substr(0, Host.find(':')));
}

bool matchesMethod(const route &Route, std::string_view Method) {
  return Route.Methods.empty() ||
         std::find(Route.Methods.begin(), Route.Methods.end(), Method) !=
             Route.Methods.end();
}

std::string percentDecoded(std::string_view Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    unsigned Code = 0;
    if (Text[At] == '%' && At + 2 < Text.size() &&
        std::from_chars(Text.data() + At + 1, Text.data() + At + 3, Code, 16)
                .ptr == Text.data() + At + 3) {
      Decoded.push_back(static_cast<char>(Code));
      At += 2;
    } else {
      Decoded.push_back(Text[At]);
    }
  }
  return Decoded;
}

std::string_view pathSegment(std::string_view Path, std::uint32_t Index) {
  std::string_view Rest = Path.substr(std::min<std::size_t>(1, Path.size()));
  for (std::uint32_t Skipped = 0; Skipped < Index; ++Skipped) {
    const auto Slash = Rest.find('/');
    if (Slash == std::string_view::npos)
      return {};
    Rest.remove_prefix(Slash + 1);
  }
  return Rest.substr(0, Rest.find('/'));
}

std::string_view queryParameter(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    const std::string_view Pair = Query.substr(0, Query.find('&'));
    const auto Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos ? std::string_view()
                                              : Pair.substr(Equals + 1);
    Query.remove_prefix(std::min(Query.size(), Pair.size() + 1));
  }
  return {};
}

} // namespace

const route *findRoute(const rules &Rules, const request_attributes &Request) {
  const std::string_view Path = pathOf(Request.Target);
  const auto Found = std::find_if(
      Rules.Routes.begin(), Rules.Routes.end(), [&](const route &Route) {
        return matchesHost(Route, Request.Host) &&
               hasPathPrefix(Path, Route.PathPrefix) &&
               matchesMethod(Route, Request.Method);
      });
  return Found == Rules.Routes.end() ? nullptr : &*Found;
}

std::optional<std::string> extractKey(const key_source &Source,
                                      const request_attributes &Request) {
  std::string Key;
  switch (Source.From) {
  case key_source::location::None:
    return std::nullopt;
  case key_source::location::PathSegment:
    Key = percentDecoded(pathSegment(pathOf(Request.Target), Source.Segment));
    break;
  case key_source::location::Header:
    Key = std::string(Request.Header(Source.Name));
    break;
  case key_source::location::Query:
    Key = percentDecoded(queryParameter(queryOf(Request.Target), Source.Name));
    break;
  }
  if (Key.empty())
    return std::nullopt;
  return Key;
}

} // namespace pomelo
