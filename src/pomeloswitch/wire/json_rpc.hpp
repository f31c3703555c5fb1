//! Encoding and dispatch of JSON-RPC 2.0 calls, for infrequent diagnostics.
//!
//! The headers of the JSON-RPC library compile only up to C++14. They are
//! included in the source file only, and this header uses nothing newer than
//! C++14 because that source includes it. Functions here neither open
//! connections nor block; the caller transports the texts.
#ifndef POMELOSWITCH_WIRE_JSON_RPC_HPP
#define POMELOSWITCH_WIRE_JSON_RPC_HPP

#include <functional>
#include <memory>
#include <string>

namespace pomelo {

//! Returns the request text of a call of \p Method. \p ParametersJson is a JSON
//! object with the named parameters.
//! \throws std::runtime_error if \p ParametersJson is not a JSON object.
std::string makeRpcRequest(const std::string &Method,
                           const std::string &ParametersJson);

//! Returns the result in a response text, as JSON.
//! \throws std::runtime_error with the remote error's message, or if the text
//!         is not a JSON-RPC response.
std::string readRpcResult(const std::string &ResponseText);

//! Dispatches requests to the methods that are registered by name.
class rpc_dispatcher {
public:
  //! Takes the parameters and returns the result, both as JSON. An exception
  //! is returned to the caller as a JSON-RPC error with its message.
  using method = std::function<std::string(const std::string &ParametersJson)>;

  rpc_dispatcher();
  ~rpc_dispatcher();

  //! Registers \p Method under \p Name.
  void add(const std::string &Name, method Method);

  //! Returns the response text to a request text. It is an error response if
  //! the request is malformed or names an unknown method.
  std::string handle(const std::string &RequestText);

private:
  class server;
  std::unique_ptr<server> Server;
};

} // namespace pomelo

#endif
