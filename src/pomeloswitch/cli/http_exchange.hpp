//! One blocking HTTP exchange of a command-line tool.
#ifndef POMELOSWITCH_CLI_HTTP_EXCHANGE_HPP
#define POMELOSWITCH_CLI_HTTP_EXCHANGE_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace pomelo {

using client_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using client_response =
    boost::beast::http::response<boost::beast::http::string_body>;

//! Sends \p Request to \p Address, IP:port, on a connection of its own and
//! waits up to 6 s for the answer.
//! \throws boost::system::system_error if there is none.
client_response exchangeWith(const std::string &Address,
                             const client_request &Request);

} // namespace pomelo

#endif
