//! Checks of a configuration before it is sent to the control hosts.
#ifndef POMELOSWITCH_SETTINGS_CONFIGURATION_CHECK_HPP
#define POMELOSWITCH_SETTINGS_CONFIGURATION_CHECK_HPP

#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

enum class finding_severity {
  Difference, //!< From the other version; not a fault.
  Warning,    //!< Would be accepted, but is probably not intended.
  Error,      //!< Would be refused.
};

//! Returns the severity's name in messages.
[[nodiscard]] std::string_view toString(finding_severity Severity);

struct configuration_finding {
  finding_severity Severity = finding_severity::Error;
  std::string Path; //!< Of the field, from the document's name on.
  std::string Message;

  bool operator==(const configuration_finding &) const = default;
};

//! The texts of the two documents of a configuration.
struct configuration_documents {
  std::string Inventory;
  std::string Rules;
};

//! Returns the errors of \p Documents, or its warnings if there are none. Of
//! each document the first error is reported.
std::vector<configuration_finding>
checkConfiguration(const configuration_documents &Documents);

//! Returns the differences of \p Documents from \p Earlier. Items of arrays are
//! matched by their names. An empty text is a document without fields. A text
//! that is not JSON is an error.
std::vector<configuration_finding>
compareConfigurations(const configuration_documents &Documents,
                      const configuration_documents &Earlier);

} // namespace pomelo

#endif
