//! Reading of the commands in the replicated log.
#ifndef POMELOSWITCH_STATE_COMMITTED_COMMAND_HPP
#define POMELOSWITCH_STATE_COMMITTED_COMMAND_HPP

#include "pomeloswitch_wire/inner.pb.h"

#include <cstdint>
#include <string>

namespace pomelo {

//! Reads the command at \p Index of the log. One that cannot be read is logged
//! and returned as a command without a body, which changes nothing: every host
//! that reads the log meets it at the same index, after each start again.
[[nodiscard]] wire::command readCommitted(std::uint64_t Index,
                                          const std::string &Bytes);

//! Returns whether \p Bytes can be read as a command. Text that is not UTF-8
//! can be written to a command, but not read.
[[nodiscard]] bool isReadableCommand(const std::string &Bytes);

} // namespace pomelo

#endif
