//! Measures the latency that an entry host adds to a request.
#ifndef POMELOSWITCH_TOOLS_DEMO_ADDED_LATENCY_HPP
#define POMELOSWITCH_TOOLS_DEMO_ADDED_LATENCY_HPP

#include "emulator/deployment.hpp"

namespace pomelo::demo {

//! Returns, in milliseconds, the median latency of requests without a key
//! through an entry host minus the median of the same requests sent directly to
//! a target of its failure domain. Measures the direct requests first.
//! \throws std::runtime_error if no request of one kind is answered.
double measureAddedLatency(emulator::deployment &Deployment);

} // namespace pomelo::demo

#endif
