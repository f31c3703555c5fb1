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
  // User and system time are the 12th and 13th fields after the name, which is
  // in parentheses and may contain spaces.
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
