//! One attempt to run a request on one target.
#ifndef POMELOSWITCH_HTTP_TARGET_DISPATCH_HPP
#define POMELOSWITCH_HTTP_TARGET_DISPATCH_HPP

#include "pomeloswitch/http/caller_body.hpp"
#include "pomeloswitch/http/forwarded_headers.hpp"
#include "pomeloswitch/http/stream_parsers.hpp"
#include "pomeloswitch/http/target_dialect.hpp"
#include "pomeloswitch/http/upstream_pool.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace pomelo {

//! What the target of an attempt can have seen, from least to most.
enum class attempt_progress {
  NothingSent, //!< No byte was sent, or the target proved that it did not run.
  Sent,        //!< It may have run.
  Answered,    //!< A whole header of its answer came.
};

//! How an attempt without an answer ended.
enum class attempt_break {
  None,
  ConnectionLost, //!< The target's side ended the connection.
  Silent,         //!< No answer came in time.
  Misbehaved,     //!< The answer cannot be understood or told whole.
};

//! Sends a request on a connection and reads the header of its answer. Both
//! members throw pomelo_error: UpstreamFailed if the request has not run,
//! OutcomeUnknown if it may have; progress() and ending() then say why.
class target_dispatch {
public:
  target_dispatch(upstream_connection &Connection, caller_body &Body,
                  const target_dialect &Dialect, std::string_view RequestId)
      : Connection(Connection), Body(Body), Dialect(Dialect),
        RequestId(RequestId) {}

  //! \p MaxBodyBytes is the route's limit for bodies of untold length.
  boost::asio::awaitable<void> send(const request_header &Header,
                                    std::uint64_t MaxBodyBytes,
                                    steady_time Deadline);

  //! Waits for the header until \p GiveUpAt.
  boost::asio::awaitable<void> readAnswer(steady_time GiveUpAt);

  //! Once readAnswer() has returned.
  response_stream_parser &answer() { return *Answer; }

  //! Whether the connection may carry another request after the answer's end.
  [[nodiscard]] bool reusable() const;
  [[nodiscard]] attempt_progress progress() const { return Progress; }
  [[nodiscard]] attempt_break ending() const { return Ending; }
  //! What the answer's header says of the target; nothing before it came.
  [[nodiscard]] const answer_facts &facts() const { return Facts; }
  //! Whether the target answered that it failed.
  [[nodiscard]] bool answeredFailure() const;

private:
  boost::asio::awaitable<void> sendWhole(const request_header &Header);
  boost::asio::awaitable<void> streamBody(const request_header &Header,
                                          std::uint64_t MaxBodyBytes);
  boost::asio::awaitable<bool> readHeader();
  boost::asio::awaitable<void> skipAnswer();
  void checkAnswer();
  [[noreturn]] void fail(attempt_break How, const std::string &Reason);

  upstream_connection &Connection;
  caller_body &Body;
  const target_dialect &Dialect;
  std::string_view RequestId;
  answer_facts Facts;
  std::optional<response_stream_parser> Answer;
  attempt_progress Progress = attempt_progress::NothingSent;
  attempt_break Ending = attempt_break::None;
  bool AnswersNoBody = false; //!< The request was a HEAD.
  bool SentWhole = false;
};

} // namespace pomelo

#endif
