#include "pomeloswitch/cli/check_command.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace pomelo {
namespace {

namespace json = boost::json;
using findings = std::vector<configuration_finding>;

bool hasFinding(const findings &Findings, finding_severity Severity) {
  return std::any_of(Findings.begin(), Findings.end(),
                     [Severity](const configuration_finding &Finding) {
                       return Finding.Severity == Severity;
                     });
}

int exitCodeFor(const findings &Findings) {
  if (hasFinding(Findings, finding_severity::Error))
    return 2;
  return hasFinding(Findings, finding_severity::Warning) ? 1 : 0;
}

void printAsJson(const findings &Findings) {
  json::array Items;
  for (const configuration_finding &Finding : Findings)
    Items.push_back(json::object{{"severity", toString(Finding.Severity)},
                                 {"path", Finding.Path},
                                 {"message", Finding.Message}});
  fmt::print("{}\n", json::serialize(json::object{{"findings", Items}}));
}

void printAsText(const findings &Findings) {
  for (const configuration_finding &Finding : Findings)
    fmt::print("{}: {}: {}\n", toString(Finding.Severity), Finding.Path,
               Finding.Message);
}

} // namespace

int runConfigurationCheck(const configuration_documents &Documents,
                          const std::optional<configuration_documents> &Earlier,
                          bool AsJson) {
  findings Findings = checkConfiguration(Documents);
  if (Earlier && !hasFinding(Findings, finding_severity::Error)) {
    const findings Differences = compareConfigurations(Documents, *Earlier);
    Findings.insert(Findings.end(), Differences.begin(), Differences.end());
  }
  if (AsJson)
    printAsJson(Findings);
  else
    printAsText(Findings);
  return exitCodeFor(Findings);
}

} // namespace pomelo
