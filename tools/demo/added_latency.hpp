//! The time that an entry host adds to a request.
#ifndef POMELOSWITCH_TOOLS_DEMO_ADDED_LATENCY_HPP
#define POMELOSWITCH_TOOLS_DEMO_ADDED_LATENCY_HPP

#include "emulator/deployment.hpp"

namespace pomelo::demo {

//! The median, in milliseconds, of open requests through an entry host less
//! the median of the same straight to a target of its failure domain, taken in
//! turn on warm connections.
double measureAddedLatency(emulator::deployment &Deployment);

} // namespace pomelo::demo

#endif
