//! The processor time and memory of a process, read from /proc.
#ifndef POMELOSWITCH_BENCHMARKS_PROCESS_USAGE_HPP
#define POMELOSWITCH_BENCHMARKS_PROCESS_USAGE_HPP

#include <sys/types.h>

namespace pomelo::bench {

//! Returns the user and system processor time in seconds.
double processorSeconds(pid_t Pid);

//! Returns the resident memory in bytes.
double residentBytes(pid_t Pid);

} // namespace pomelo::bench

#endif
