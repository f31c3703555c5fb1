//! Blocking HTTP request for command-line tools.
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

//! Sends \p Request to \p Address (IP:port) on a new connection and waits for
//! the response, at most 6 s in total.
//! \throws boost::system::system_error if there is no response.
client_response exchangeWith(const std::string &Address,
                             const client_request &Request);

} // namespace pomelo

#endif
