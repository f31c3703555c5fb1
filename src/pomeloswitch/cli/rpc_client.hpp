//! JSON-RPC client of an entry host for command-line tools.
#ifndef POMELOSWITCH_CLI_RPC_CLIENT_HPP
#define POMELOSWITCH_CLI_RPC_CLIENT_HPP

#include <boost/json/object.hpp>

#include <string>

namespace pomelo {

//! Calls \p Method at the operations address \p Address of an entry host.
//! \throws pomelo_error NotFound with the host's message if it rejects the
//!         call, NotAuthoritative if it does not respond.
boost::json::object callEntryHost(const std::string &Address,
                                  const std::string &Method,
                                  const boost::json::object &Parameters);

} // namespace pomelo

#endif
