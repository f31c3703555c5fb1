#include "pomeloswitch/cli/command_line.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <fmt/format.h>

#include <charconv>
#include <cstdlib>

namespace pomelo {
namespace {

[[noreturn]] void printAndExit(std::string_view Text) {
  fmt::print("{}", Text);
  std::exit(EXIT_SUCCESS);
}

} // namespace

arguments parseCommandLine(std::string_view Name, const std::string &Usage,
                           const std::vector<std::string> &CommandLine,
                           std::string_view Version) {
  try {
    return docopt::docopt_parse(Usage, CommandLine, true, !Version.empty());
  } catch (const docopt::DocoptExitHelp &) {
    printAndExit(Usage);
  } catch (const docopt::DocoptExitVersion &) {
    printAndExit(fmt::format("{}\n", Version));
  } catch (const std::exception &) {
    // The library's messages are empty or refer to its own types.
    throw pomelo_error(
        error_kind::BadSettings,
        fmt::format("invalid command line; see {} --help", Name));
  }
}

std::uint64_t wholeNumber(const arguments &Arguments, const std::string &Option,
                          std::uint64_t Max) {
  const std::string &Text = Arguments.at(Option).asString();
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Parsed, Failure] = std::from_chars(Text.data(), End, Number);
  if (Failure != std::errc() || Parsed != End || Number > Max)
    throw pomelo_error(
        error_kind::BadSettings,
        fmt::format("{} takes a whole number from 0 to {}, not \"{}\"", Option,
                    Max, Text));
  return Number;
}

} // namespace pomelo
