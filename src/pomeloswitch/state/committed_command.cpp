#include "pomeloswitch/state/committed_command.hpp"

#include "pomeloswitch/observe/log.hpp"

namespace pomelo {

wire::command readCommitted(std::uint64_t Index, const std::string &Bytes) {
  wire::command Command;
  if (Command.ParseFromString(Bytes))
    return Command;
  component_logger("state").error(
      "The command at index {} cannot be read; it changes nothing.", Index);
  return {};
}

bool isReadableCommand(const std::string &Bytes) {
  return wire::command().ParseFromString(Bytes);
}

} // namespace pomelo
