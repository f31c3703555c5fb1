//! What a process has used so far, as the system counts it.
#ifndef POMELOSWITCH_BENCHMARKS_PROCESS_USAGE_HPP
#define POMELOSWITCH_BENCHMARKS_PROCESS_USAGE_HPP

#include <sys/types.h>

namespace pomelo::bench {

//! Processor time, user and system, in seconds.
double processorSeconds(pid_t Pid);

//! Resident memory in bytes.
double residentBytes(pid_t Pid);

} // namespace pomelo::bench

#endif
