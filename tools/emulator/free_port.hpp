//! Free ports for processes that need each other's addresses before they start.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_FREE_PORT_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_FREE_PORT_HPP

#include <cstdint>

namespace pomelo::emulator {

//! Returns a loopback port that was free when checked. It lies below the
//! ephemeral port range, so no outgoing connection takes it.
std::uint16_t freePort();

} // namespace pomelo::emulator

#endif
