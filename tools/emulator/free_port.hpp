//! Ports for processes that must know each other's addresses beforehand.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_FREE_PORT_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_FREE_PORT_HPP

#include <cstdint>

namespace pomelo::emulator {

//! A loopback port that was free a moment ago. It lies below the range that
//! the system takes for outgoing connections.
std::uint16_t freePort();

} // namespace pomelo::emulator

#endif
