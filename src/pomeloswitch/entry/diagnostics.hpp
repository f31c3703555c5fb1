//! What an entry host tells operators about itself, by JSON-RPC.
#ifndef POMELOSWITCH_ENTRY_DIAGNOSTICS_HPP
#define POMELOSWITCH_ENTRY_DIAGNOSTICS_HPP

#include "pomeloswitch/wire/json_rpc.hpp"

#include <functional>
#include <string>

namespace pomelo {

class cluster_state;

//! Answers "describe" with the host's addresses and progress, and "explain"
//! with who owns a key as this host sees it. Runs on the control thread.
class diagnostics {
public:
  //! Both must outlive this object.
  diagnostics(std::function<std::string()> Describe,
              std::function<const cluster_state &()> State);

  //! The response to a JSON-RPC request text.
  std::string handle(const std::string &RequestText) {
    return Dispatcher.handle(RequestText);
  }

private:
  [[nodiscard]] std::string explain(const std::string &Parameters) const;

  std::function<const cluster_state &()> State;
  rpc_dispatcher Dispatcher;
};

} // namespace pomelo

#endif
