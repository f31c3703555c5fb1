//! JSON-RPC calls of a command-line tool to an entry host.
#ifndef POMELOSWITCH_CLI_RPC_CLIENT_HPP
#define POMELOSWITCH_CLI_RPC_CLIENT_HPP

#include <boost/json/object.hpp>

#include <string>

namespace pomelo {

//! Calls \p Method at the operations address \p Address of an entry host.
//! \throws pomelo_error NotFound with the host's message if it refuses the
//!         call, NotAuthoritative if it does not answer.
boost::json::object callEntryHost(const std::string &Address,
                                  const std::string &Method,
                                  const boost::json::object &Parameters);

} // namespace pomelo

#endif
