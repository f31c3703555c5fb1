//! Replays a trace against entry hosts and checks each answer.
#ifndef POMELOSWITCH_TOOLS_CALLER_REPLAY_HPP
#define POMELOSWITCH_TOOLS_CALLER_REPLAY_HPP

#include "caller/balancer.hpp"
#include "caller/outcome.hpp"
#include "caller/trace.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelo::caller {

struct replay_options {
  std::vector<entry_address> Entries;
  std::map<std::string, std::string> Keys; //!< Keys by account.
  std::chrono::milliseconds Timeout{10000};
  std::uint64_t Seed = 1; //!< Seeds the choice of entry hosts.
};

//! Open-loop load: sends each request at its scheduled time, regardless of how
//! many requests are pending.
class replay {
public:
  replay(boost::asio::io_context &Io, replay_options Options, trace Trace);

  //! Starts the replay, which stops the context when every request has an
  //! outcome.
  void start();

  [[nodiscard]] const std::vector<outcome> &outcomes() const {
    return Outcomes;
  }

private:
  struct connection {
    explicit connection(boost::asio::io_context &Io) : Stream(Io) {}
    boost::beast::tcp_stream Stream;
    boost::beast::flat_buffer Buffer;
    std::size_t Entry = 0;
  };
  using connection_ptr = std::unique_ptr<connection>;

  boost::asio::awaitable<void> schedule();
  boost::asio::awaitable<void> send(trace_request Request,
                                    std::chrono::steady_clock::time_point Due);
  boost::asio::awaitable<connection_ptr> connect();
  connection_ptr takeIdle(std::size_t Entry);
  boost::asio::awaitable<bool> exchange(connection &Connection,
                                        const trace_request &Request,
                                        outcome &Outcome);
  void returnToPool(connection_ptr Connection);
  void finishIfDone();

  boost::asio::io_context &Io;
  replay_options Options;
  trace Trace;
  balancer Balancer;
  std::vector<std::vector<connection_ptr>> Idle; //!< By entry host index.
  std::vector<outcome> Outcomes;
};

//! Replays on its own context; returns when every request has an outcome.
std::vector<outcome> runReplay(const replay_options &Options,
                               const trace &Trace);

} // namespace pomelo::caller

#endif
