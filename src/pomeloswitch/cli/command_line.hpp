//! Command lines of the programs, described by their usage texts (docopt).
#ifndef POMELOSWITCH_CLI_COMMAND_LINE_HPP
#define POMELOSWITCH_CLI_COMMAND_LINE_HPP

#include <docopt/docopt.h>

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! Options, positional arguments and command words, by name.
using arguments = std::map<std::string, docopt::value>;

//! Parses \p CommandLine, which does not contain the program's \p Name, by the
//! docopt text \p Usage. For --help and --version prints \p Usage or \p Version
//! and ends the process with exit code 0.
//! \throws pomelo_error BadSettings if the usage does not allow it.
arguments parseCommandLine(std::string_view Name, const std::string &Usage,
                           const std::vector<std::string> &CommandLine,
                           std::string_view Version = {});

//! Returns the value of \p Option, a whole number of at most \p Max.
//! \throws pomelo_error BadSettings if it is not.
std::uint64_t
wholeNumber(const arguments &Arguments, const std::string &Option,
            std::uint64_t Max = std::numeric_limits<std::uint64_t>::max());

} // namespace pomelo

#endif
