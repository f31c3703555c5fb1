//! Command-line options of the stand-in target.
#ifndef POMELOSWITCH_TOOLS_STANDIN_TARGET_TARGET_OPTIONS_HPP
#define POMELOSWITCH_TOOLS_STANDIN_TARGET_TARGET_OPTIONS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pomelo::standin {

struct target_options {
  std::string TargetId;
  std::string Service;
  std::string FailureDomain;
  std::string Credential;
  std::vector<std::string> AnnounceAddresses;
  std::string Address;          //!< IP:port to listen on; port 0 for any.
  std::string AnnouncedAddress; //!< Empty for the listening address.
  std::uint32_t Slots = 2;
  std::uint32_t Connections = 130;
  std::uint32_t QueueLength = 4; //!< Requests that wait for a slot.
  std::chrono::microseconds Work{1000};
  std::chrono::microseconds ConnectionCost{1000};
  std::uint32_t ColdRequests = 0; //!< Requests served while cold; 0 for never.
  std::uint32_t ColdOpenRequests = 1; //!< Open requests accepted while cold.
  double ColdFactor = 5;              //!< Service time factor while cold.
  bool ChecksFence = false;
  std::string JournalFile; //!< A JSON line for each event; empty for none.
  std::string ReadyFile;
};

//! Parses the command line; prints the help text and exits if requested.
target_options parseTargetOptions(int Argc, char **Argv);

} // namespace pomelo::standin

#endif
