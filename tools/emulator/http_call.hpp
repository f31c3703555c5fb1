//! One HTTP exchange, for tests and tools.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_HTTP_CALL_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_HTTP_CALL_HPP

#include <chrono>
#include <map>
#include <string>

namespace pomelo::emulator {

struct http_call {
  std::string Method = "GET";
  std::string Target = "/";
  std::map<std::string, std::string> Header;
  std::string Body;
  std::chrono::milliseconds Timeout{10000};
};

struct http_answer {
  int Status = 0; //!< 0 if no complete answer was received.
  std::map<std::string, std::string> Header; //!< Names as sent.
  std::string Body;
  std::string Failure; //!< Error message if Status is 0.

  //! Value of the field Pomelo-Run-State; empty if there is none.
  [[nodiscard]] std::string runState() const {
    const auto State = Header.find("Pomelo-Run-State");
    return State == Header.end() ? "" : State->second;
  }
};

//! Sends \p Call to \p Address on a new connection.
http_answer call(const std::string &Address, const http_call &Call);

} // namespace pomelo::emulator

#endif
