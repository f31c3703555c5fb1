//! Commands of pomeloctl.
#ifndef POMELOSWITCH_CLI_OPERATOR_COMMANDS_HPP
#define POMELOSWITCH_CLI_OPERATOR_COMMANDS_HPP

#include <string>
#include <vector>

namespace pomelo {

//! Runs pomeloctl with \p Arguments (without the program name) and returns its
//! exit code.
int runOperatorCommand(const std::vector<std::string> &Arguments);

} // namespace pomelo

#endif
