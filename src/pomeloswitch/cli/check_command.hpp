//! The command "pomeloctl check".
#ifndef POMELOSWITCH_CLI_CHECK_COMMAND_HPP
#define POMELOSWITCH_CLI_CHECK_COMMAND_HPP

#include "pomeloswitch/settings/configuration_check.hpp"

#include <optional>

namespace pomelo {

//! Prints the findings on \p Documents and, if they have no error, their
//! differences from \p Earlier. Returns the exit code: 0 without warnings and
//! errors, 1 with warnings only, 2 with errors.
int runConfigurationCheck(const configuration_documents &Documents,
                          const std::optional<configuration_documents> &Earlier,
                          bool AsJson);

} // namespace pomelo

#endif
