//! JSON-RPC diagnostics of an entry host for operators.
#ifndef POMELOSWITCH_ENTRY_DIAGNOSTICS_HPP
#define POMELOSWITCH_ENTRY_DIAGNOSTICS_HPP

#include "pomeloswitch/wire/json_rpc.hpp"

#include <functional>
#include <string>

namespace pomelo {

class cluster_state;

//! Serves two methods: "describe" returns the host's addresses and progress,
//! "explain" returns the owner of a key according to this host's state. Runs on
//! the control thread.
class diagnostics {
public:
  //! \p Describe returns the result of "describe", \p State the current state.
  //! Whatever they refer to must outlive this object.
  diagnostics(std::function<std::string()> Describe,
              std::function<const cluster_state &()> State);

  //! Returns the response to the JSON-RPC request \p RequestText.
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
