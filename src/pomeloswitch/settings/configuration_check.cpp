#include "pomeloswitch/settings/configuration_check.hpp"

#include "pomeloswitch/settings/inventory.hpp"
#include "pomeloswitch/settings/path_prefix.hpp"
#include "pomeloswitch/settings/rules.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <span>

namespace pomelo {
namespace {

namespace json = boost::json;
using findings = std::vector<configuration_finding>;

//! Splits a message "document: field path: reason" of the parsers.
configuration_finding errorFrom(std::string_view Message) {
  constexpr std::string_view Separator = ": ";
  const auto DocumentEnd = Message.find(Separator);
  if (DocumentEnd == std::string_view::npos)
    return {finding_severity::Error, "", std::string(Message)};
  const std::string_view Document = Message.substr(0, DocumentEnd);
  const std::string_view Rest = Message.substr(DocumentEnd + Separator.size());
  const auto FieldEnd = Rest.find(Separator);
  const std::string_view Field = Rest.substr(0, FieldEnd);
  // "not JSON" and "(document)" stand in the place of a field.
  if (FieldEnd == std::string_view::npos || Field == "(document)" ||
      Field.find(' ') != std::string_view::npos)
    return {finding_severity::Error, std::string(Document), std::string(Rest)};
  return {finding_severity::Error, fmt::format("{}.{}", Document, Field),
          std::string(Rest.substr(FieldEnd + Separator.size()))};
}

//! Returns the result of \p Parse, or nothing after adding its error.
template <typename parser>
auto parseOrReport(parser Parse, const std::string &Text, findings &Findings)
    -> std::optional<decltype(Parse(Text))> {
  try {
    return Parse(Text);
  } catch (const pomelo_error &Failure) {
    Findings.push_back(errorFrom(Failure.what()));
    return std::nullopt;
  }
}

std::string routePath(const route &Route, std::string_view Field) {
  return fmt::format("rules.routes.{}.{}", Route.Name, Field);
}

void warn(findings &Findings, std::string Path, std::string Message) {
  Findings.push_back(
      {finding_severity::Warning, std::move(Path), std::move(Message)});
}

//! Whether \p Earlier matches each request of \p Method that \p Later matches.
//! An empty method stands for all.
bool covers(const route &Earlier, const route &Later,
            const std::string &Method) {
  const bool HostCovered = Earlier.Host.empty() || Earlier.Host == Later.Host;
  const bool MethodCovered =
      Earlier.Methods.empty() ||
      std::find(Earlier.Methods.begin(), Earlier.Methods.end(), Method) !=
          Earlier.Methods.end();
  return HostCovered && MethodCovered &&
         hasPathPrefix(Later.PathPrefix, Earlier.PathPrefix);
}

//! Returns the names of the routes among \p Earlier that match all requests of
//! \p Later; empty if some of its requests match none of them.
std::set<std::string> coveringRoutes(std::span<const route> Earlier,
                                     const route &Later) {
  const std::vector<std::string> Methods =
      Later.Methods.empty() ? std::vector<std::string>{""} : Later.Methods;
  std::set<std::string> Names;
  for (const std::string &Method : Methods) {
    const auto Found =
        std::find_if(Earlier.begin(), Earlier.end(), [&](const route &Route) {
          return covers(Route, Later, Method);
        });
    if (Found == Earlier.end())
      return {};
    Names.insert(Found->Name);
  }
  return Names;
}

//! Requests are matched by their host without the port and their path without
//! the query.
void warnOfUnmatchableText(const route &Route, findings &Findings) {
  if (Route.Host.find(':') != std::string::npos)
    warn(Findings, routePath(Route, "host"),
         "the route can never match: hosts are compared without a port");
  if (Route.PathPrefix.find('?') != std::string::npos)
    warn(Findings, routePath(Route, "path_prefix"),
         "the route can never match: paths are compared without a query");
}

void warnOfUnreachableRoutes(const rules &Rules, findings &Findings) {
  const std::span<const route> Routes(Rules.Routes);
  for (std::size_t Index = 0; Index < Routes.size(); ++Index) {
    warnOfUnmatchableText(Routes[Index], Findings);
    const auto Covering = coveringRoutes(Routes.first(Index), Routes[Index]);
    if (!Covering.empty())
      warn(Findings, routePath(Routes[Index], "path_prefix"),
           fmt::format("the route can never match: the earlier \"{}\" matches "
                       "all of its requests",
                       fmt::join(Covering, "\", \"")));
  }
}

void warnOfShortDeadlines(const rules &Rules, findings &Findings) {
  for (const route &Route : Rules.Routes)
    if (Route.LatencyGoalMs > Route.DeadlineMs)
      warn(Findings, routePath(Route, "deadline_ms"),
           fmt::format("the deadline of {} ms is below the aim of {} ms",
                       Route.DeadlineMs, Route.LatencyGoalMs));
}

void warnOfUnusedServices(const inventory &Inventory, const rules &Rules,
                          findings &Findings) {
  std::set<std::string_view> Used;
  for (const route &Route : Rules.Routes)
    for (const route_destination &Destination : Route.Destinations)
      if (Destination.Weight > 0)
        Used.insert(Destination.Service);
  for (const service &Service : Inventory.Services)
    if (!Used.contains(Service.Name))
      warn(Findings, fmt::format("inventory.services.{}", Service.Name),
           "no route sends requests to the service");
}

//! Returns the member "name" of \p Item if it is a string.
std::optional<std::string> nameOf(const json::value &Item) {
  const auto *Object = Item.if_object();
  const auto *Name = Object ? Object->if_contains("name") : nullptr;
  if (!Name || !Name->is_string())
    return std::nullopt;
  return std::string(Name->as_string());
}

//! Returns the names of the items; nothing if an item has none or two have the
//! same, so that the items can't be matched by name.
std::optional<std::vector<std::string>> namesOf(const json::array &Items) {
  std::vector<std::string> Names;
  for (const json::value &Item : Items) {
    const auto Name = nameOf(Item);
    if (!Name || std::find(Names.begin(), Names.end(), *Name) != Names.end())
      return std::nullopt;
    Names.push_back(*Name);
  }
  return Names;
}

//! Compares two versions of a document field by field.
class document_comparison {
public:
  explicit document_comparison(findings &Findings) : Findings(Findings) {}

  void compare(const std::string &Path, const json::value &Earlier,
               const json::value &Now) {
    if (Earlier == Now)
      return;
    if (Earlier.is_object() && Now.is_object())
      return compareObjects(Path, Earlier.as_object(), Now.as_object());
    if (Earlier.is_array() && Now.is_array() &&
        compareNamed(Path, Earlier.as_array(), Now.as_array()))
      return;
    add(Path, fmt::format("changed from {} to {}", json::serialize(Earlier),
                          json::serialize(Now)));
  }

private:
  void add(std::string Path, std::string Message) {
    Findings.push_back(
        {finding_severity::Difference, std::move(Path), std::move(Message)});
  }
  void compareMember(const std::string &Path, const json::value *Earlier,
                     const json::value *Now) {
    if (Earlier && Now)
      compare(Path, *Earlier, *Now);
    else if (Now)
      add(Path, fmt::format("added: {}", json::serialize(*Now)));
    else
      add(Path, fmt::format("removed: {}", json::serialize(*Earlier)));
  }
  void compareObjects(const std::string &Path, const json::object &Earlier,
                      const json::object &Now) {
    std::set<std::string> Names;
    for (const json::object *Object : {&Earlier, &Now})
      for (const auto &Member : *Object)
        Names.emplace(Member.key());
    for (const std::string &Name : Names)
      compareMember(fmt::format("{}.{}", Path, Name), Earlier.if_contains(Name),
                    Now.if_contains(Name));
  }
  //! Returns false if the items can't be matched by name.
  bool compareNamed(const std::string &Path, const json::array &Earlier,
                    const json::array &Now) {
    const auto EarlierNames = namesOf(Earlier);
    const auto NowNames = namesOf(Now);
    if (!EarlierNames || !NowNames)
      return false;
    json::object EarlierItems;
    json::object NowItems;
    for (std::size_t Index = 0; Index < Earlier.size(); ++Index)
      EarlierItems[(*EarlierNames)[Index]] = Earlier[Index];
    for (std::size_t Index = 0; Index < Now.size(); ++Index)
      NowItems[(*NowNames)[Index]] = Now[Index];
    compareObjects(Path, EarlierItems, NowItems);
    compareOrder(Path, *EarlierNames, *NowNames);
    return true;
  }
  //! The order of routes decides which of them matches.
  void compareOrder(const std::string &Path,
                    std::vector<std::string> EarlierNames,
                    std::vector<std::string> NowNames) {
    const auto KeepCommon = [](std::vector<std::string> &Names,
                               const std::vector<std::string> &Others) {
      std::erase_if(Names, [&Others](const std::string &Name) {
        return std::find(Others.begin(), Others.end(), Name) == Others.end();
      });
    };
    KeepCommon(EarlierNames, NowNames);
    KeepCommon(NowNames, EarlierNames);
    if (EarlierNames != NowNames)
      add(Path, fmt::format("the order changed from {} to {}",
                            fmt::join(EarlierNames, ", "),
                            fmt::join(NowNames, ", ")));
  }

  findings &Findings;
};

std::optional<json::value>
readJson(const std::string &Path, const std::string &Text, findings &Findings) {
  if (Text.empty())
    return json::object{};
  json::error_code Error;
  json::value Document = json::parse(Text, Error);
  if (!Error)
    return Document;
  Findings.push_back({finding_severity::Error, Path,
                      fmt::format("not JSON: {}", Error.message())});
  return std::nullopt;
}

void compareDocuments(const std::string &Name, const std::string &Earlier,
                      const std::string &Now, findings &Findings) {
  const auto EarlierDocument =
      readJson(fmt::format("earlier {}", Name), Earlier, Findings);
  const auto NowDocument = readJson(Name, Now, Findings);
  if (EarlierDocument && NowDocument)
    document_comparison(Findings).compare(Name, *EarlierDocument, *NowDocument);
}

} // namespace

std::string_view toString(finding_severity Severity) {
  constexpr std::array<std::string_view, 3> Names{"difference", "warning",
                                                  "error"};
  return Names[static_cast<std::size_t>(Severity)];
}

findings checkConfiguration(const configuration_documents &Documents) {
  findings Findings;
  const auto Inventory =
      parseOrReport(parseInventory, Documents.Inventory, Findings);
  const auto Rules = parseOrReport(parseRules, Documents.Rules, Findings);
  if (!Inventory || !Rules)
    return Findings;
  try {
    checkRulesAgainst(*Rules, *Inventory);
  } catch (const pomelo_error &Failure) {
    return {errorFrom(Failure.what())};
  }
  warnOfUnreachableRoutes(*Rules, Findings);
  warnOfShortDeadlines(*Rules, Findings);
  warnOfUnusedServices(*Inventory, *Rules, Findings);
  return Findings;
}

findings compareConfigurations(const configuration_documents &Documents,
                               const configuration_documents &Earlier) {
  findings Findings;
  compareDocuments("inventory", Earlier.Inventory, Documents.Inventory,
                   Findings);
  compareDocuments("rules", Earlier.Rules, Documents.Rules, Findings);
  return Findings;
}

} // namespace pomelo
