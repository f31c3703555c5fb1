#include "process_usage.hpp"

#include <fmt/format.h>

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace pomelo::bench {

double processorSeconds(pid_t Pid) {
  std::ifstream File(fmt::format("/proc/{}/stat", Pid));
  std::string Line;
  std::getline(File, Line);
  // The fields after the parenthesised name; user and system time are the
  // twelfth and thirteenth of them.
  std::istringstream Fields(Line.substr(Line.rfind(')') + 1));
  std::string Skipped;
  for (int Number = 0; Number < 11; ++Number)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentBytes(pid_t Pid) {
  std::ifstream File(fmt::format("/proc/{}/statm", Pid));
  double Total = 0;
  double Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace pomelo::bench
