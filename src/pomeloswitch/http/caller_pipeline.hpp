//! Concurrent processing of the requests that a caller pipelines.
#ifndef POMELOSWITCH_HTTP_CALLER_PIPELINE_HPP
#define POMELOSWITCH_HTTP_CALLER_PIPELINE_HPP

#include "pomeloswitch/http/exchange.hpp"
#include "pomeloswitch/http/input_observer.hpp"
#include "pomeloswitch/http/response_queue.hpp"
#include "pomeloswitch/http/traffic_context.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <exception>
#include <list>
#include <memory>
#include <optional>

namespace pomelo {

//! Maximum number of requests of one connection that are served at a time.
inline constexpr std::size_t MaxPipelinedRequests = 8;

//! Serves a request and those that the caller sends behind it meanwhile, as
//! long as they are idempotent and have no body. The first that is not stays
//! unread in the buffer.
class caller_pipeline : public std::enable_shared_from_this<caller_pipeline> {
public:
  //! \p Owner keeps \p Caller and \p Buffer alive.
  caller_pipeline(traffic_context &Context, std::shared_ptr<void> Owner,
                  boost::beast::tcp_stream &Caller,
                  boost::beast::flat_buffer &Buffer, std::size_t HeaderBytes);

  //! Returns, after all responses, whether the connection can be reused.
  //! \throws boost::system::system_error if it must be closed because a
  //! response is incomplete.
  boost::asio::awaitable<bool>
  serve(std::unique_ptr<request_stream_parser> First);

private:
  struct request;

  [[nodiscard]] bool mayPipeline(const request_stream_parser &Request) const;
  [[nodiscard]] bool mayStartMore() const;
  std::shared_ptr<request> add(std::unique_ptr<request_stream_parser> Parser);
  boost::asio::awaitable<void> run(std::shared_ptr<request> Request);
  boost::asio::awaitable<void> awaitAll();
  void lookAhead();
  bool startNext();
  std::unique_ptr<request_stream_parser> parseNext();
  bool readAvailable();
  void observeInput();
  void onInput(input_state State);
  void fail(std::exception_ptr Cause);

  traffic_context &Context;
  std::shared_ptr<void> Owner;
  boost::beast::tcp_stream &Caller;
  boost::beast::flat_buffer &Buffer;
  std::size_t HeaderBytes;
  response_queue Queue;
  std::list<request *> Requests; //!< In progress.
  boost::asio::steady_timer AllEnded;
  std::optional<input_observer> Observer;
  std::exception_ptr Failure;
  bool Enabled = false;   //!< Whether the last request allows one behind it.
  bool Pipelined = false; //!< Whether a second request was started.
  bool KeepAlive = true;
};

} // namespace pomelo

#endif
