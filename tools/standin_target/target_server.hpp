//! HTTP server of a stand-in target.
#ifndef POMELOSWITCH_TOOLS_STANDIN_TARGET_TARGET_SERVER_HPP
#define POMELOSWITCH_TOOLS_STANDIN_TARGET_TARGET_SERVER_HPP

#include "standin_target/behaviour.hpp"
#include "standin_target/grant_table.hpp"
#include "standin_target/journal.hpp"
#include "standin_target/target_options.hpp"
#include "standin_target/work_slots.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace pomelo::standin {

class target_server {
public:
  target_server(boost::asio::io_context &Io, const target_options &Options,
                grant_table &Grants, journal &Journal);

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;
  [[nodiscard]] bool idle() const { return OpenRequests == 0; }

private:
  using parser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;
  using response =
      boost::beast::http::response<boost::beast::http::string_body>;

  //! Body data read from one request.
  struct received {
    std::uint64_t BodyBytes = 0;
    std::uint64_t BodyHash = 0;
    std::string Text; //!< The body of a control request.
  };

  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Socket);
  boost::asio::awaitable<received> readBody(boost::beast::tcp_stream &Stream,
                                            boost::beast::flat_buffer &Buffer,
                                            parser &Parser);
  boost::asio::awaitable<response> answer(boost::asio::ip::tcp::socket &Socket,
                                          const parser &Parser,
                                          const received &Received);
  response answerOwnEndpoint(const parser &Parser, const received &Received);
  boost::asio::awaitable<void> waitWhileFrozen();
  //! Waits for the service time of a request; returns false if the peer closed
  //! the connection before that.
  boost::asio::awaitable<bool> work(boost::asio::ip::tcp::socket &Socket);
  [[nodiscard]] bool fenceAllows(const parser &Parser) const;
  response run(const parser &Parser, const received &Received);

  boost::asio::io_context &Io;
  const target_options &Options;
  behaviour Behaviour;
  grant_table &Grants;
  journal &Journal;
  work_slots Slots;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::uint32_t Connections = 0;
  std::uint32_t OpenRequests = 0;
  std::uint64_t Executions = 0;
};

} // namespace pomelo::standin

#endif
