//! JSON-RPC 2.0 between the system's processes, for rare diagnostic calls.
//!
//! The library's headers compile as C++14 only, so this header keeps to C++14
//! and the library stays behind it. The texts travel in envelopes over
//! peer_link; nothing here opens a connection or blocks.
#ifndef POMELOSWITCH_WIRE_JSON_RPC_HPP
#define POMELOSWITCH_WIRE_JSON_RPC_HPP

#include <functional>
#include <memory>
#include <string>

namespace pomelo {

//! The text of a call of \p Method with named parameters, a JSON object.
//! \throws std::runtime_error if the parameters are not a JSON object.
std::string makeRpcRequest(const std::string &Method,
                           const std::string &ParametersJson);

//! The result in a response text, as JSON.
//! \throws std::runtime_error with the remote error's message, or if the text
//!         is no JSON-RPC response.
std::string readRpcResult(const std::string &ResponseText);

//! Answers calls by method name.
class rpc_dispatcher {
public:
  //! Takes the parameters and returns the result, both as JSON. An exception
  //! becomes a JSON-RPC error with its message.
  using method = std::function<std::string(const std::string &ParametersJson)>;

  rpc_dispatcher();
  ~rpc_dispatcher();

  void add(const std::string &Name, method Method);

  //! The response to a request text; an error response where it is malformed
  //! or names no method.
  std::string handle(const std::string &RequestText);

private:
  class server;
  std::unique_ptr<server> Server;
};

} // namespace pomelo

#endif
