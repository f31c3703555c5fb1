#include "endless_bytes.hpp"
#include "strict_dialect.hpp"
#include "traffic_fixture.hpp"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using connection = scripted_connection;

//! Deadline of the routes /safe and /unsafe.
constexpr milliseconds LongDeadline{4000};
//! For the scheduling of a busy machine, after a deadline. Without a limit, the
//! transfers go on much longer.
constexpr milliseconds Slack{3000};

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Other = Ok + "Test-Other-Request: yes\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string HugeLength = "Content-Length: 1000000000000\r\n\r\n";

const strict_dialect Dialect;

milliseconds since(steady_clock::time_point Start) {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - Start);
}

//! Sends endless bytes on the first connection and complete responses on the
//! others.
scripted_target::script endlessOnce(endless_sender &Sender,
                                    const endless_bytes &Bytes) {
  return [&Sender, Bytes](connection &Connection, unsigned Number) {
    if (Connection.readRequest().empty())
      return;
    if (Number == 0)
      return Sender.run(Connection, Bytes);
    Connection.answer("whole");
    Connection.awaitEnd();
  };
}

class endless_head : public testing::TestWithParam<endless_bytes> {};

TEST_P(endless_head, is_a_protocol_failure_before_the_deadline) {
  endless_sender Sender;
  scripted_target Target(endlessOnce(Sender, GetParam()));
  traffic_fixture Traffic(Target.address(), 2, Dialect);
  const auto Start = steady_clock::now();
  const auto Answer = Traffic.call("POST", "/unsafe", "body");
  EXPECT_LT(since(Start), LongDeadline);
  EXPECT_EQ(Answer.Status, 502) << Answer.Body << Answer.Failure;
  // The reason tells a protocol failure from the end of the time.
  EXPECT_NE(Answer.Body.find("the target's response"), std::string::npos)
      << Answer.Body;
  EXPECT_EQ(Answer.Header.at("Pomelo-Run-State"), "unknown");
  EXPECT_TRUE(emulator::waitUntil([&] { return Sender.closed(); }, Slack));
  EXPECT_LT(Sender.sent(), MaxUnreadBytes);
  EXPECT_EQ(Target.requests(), 1U);
}

TEST_P(endless_head, lets_a_safe_request_go_to_another_target) {
  endless_sender Sender;
  scripted_target Target(endlessOnce(Sender, GetParam()));
  traffic_fixture Traffic(Target.address(), 2, Dialect);
  const auto Start = steady_clock::now();
  const auto Answer = Traffic.call("GET", "/safe");
  EXPECT_LT(since(Start), LongDeadline);
  EXPECT_EQ(Answer.Status, 200) << Answer.Body << Answer.Failure;
  EXPECT_EQ(Answer.Body, "whole");
  EXPECT_TRUE(emulator::waitUntil([&] { return Sender.closed(); }, Slack));
  EXPECT_LT(Sender.sent(), MaxUnreadBytes);
}

const std::string Field = "X-More: " + filler(1000) + "\r\n";
//! Ends in the first byte of the next field. Small enough for one read.
const std::string CutField = "-More: " + filler(100) + "\r\nX";
const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string LargeInterim = "HTTP/1.1 103 Hints\r\n" + Field + "\r\n";
const std::string OtherComplete = Other + "Content-Length: 2\r\n\r\nno";

INSTANTIATE_TEST_SUITE_P(
    each_kind, endless_head,
    testing::Values(
        endless_bytes{"status_line", "HTTP/1.1 200 ", filler(LargePieceBytes)},
        endless_bytes{"header_line", Ok + "X-Long: ", filler(LargePieceBytes)},
        endless_bytes{"header_fields", Ok, repeated(Field, LargePieceBytes)},
        endless_bytes{"single_header_fields", Ok, Field, milliseconds(1)},
        endless_bytes{"header_fields_cut_after_a_byte", Ok + "X", CutField,
                      milliseconds(1)},
        endless_bytes{"interim_responses", "",
                      repeated(Interim, LargePieceBytes)},
        endless_bytes{"single_interim_responses", "", LargeInterim,
                      milliseconds(1)},
        endless_bytes{"garbage", "", filler(LargePieceBytes)},
        endless_bytes{"empty_lines", "", repeated("\r\n", LargePieceBytes)},
        endless_bytes{"zeros", "", std::string(LargePieceBytes, '\0')},
        endless_bytes{"unsigned_body", Ok + "Test-Unsigned: yes\r\n" + Chunked,
                      chunk(LargePieceBytes)},
        endless_bytes{"late_body_with_a_length", Other + HugeLength,
                      filler(LargePieceBytes)},
        endless_bytes{"late_chunks", Other + Chunked, chunk(LargePieceBytes)},
        endless_bytes{"late_chunk_size", Other + Chunked,
                      std::string(LargePieceBytes, '0')},
        endless_bytes{"late_chunk_extension", Other + Chunked + "1;",
                      filler(LargePieceBytes)},
        endless_bytes{"late_trailer", Other + Chunked + "0\r\n",
                      repeated(Field, LargePieceBytes)},
        endless_bytes{"late_body_until_the_close", Other + "\r\n",
                      filler(LargePieceBytes)},
        endless_bytes{"late_responses", "",
                      repeated(OtherComplete, LargePieceBytes)}),
    [](const auto &Case) { return Case.param.Name; });

//! A caller that sends a request and reads nothing.
class silent_caller {
public:
  silent_caller(const traffic_fixture &Traffic, const std::string &Path)
      : Socket(Io) {
    Socket.connect(parseEndpoint(Traffic.address()));
    boost::asio::write(Socket,
                       boost::asio::buffer("POST " + Path +
                                           " HTTP/1.1\r\nHost: h\r\n"
                                           "Content-Length: 0\r\n\r\n"));
  }
  boost::asio::ip::tcp::socket &socket() { return Socket; }

private:
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket;
};

//! A caller that reads a response of any size on its own thread.
class reading_caller {
public:
  reading_caller(const traffic_fixture &Traffic, const std::string &Path)
      : Caller(Traffic, Path), Thread([this] { readAll(); }) {}
  ~reading_caller() {
    ::shutdown(Caller.socket().native_handle(), SHUT_RDWR);
    Thread.join();
  }

  //! Whether the connection has ended.
  [[nodiscard]] bool ended() const { return Ended; }
  //! Whether a chunked response looks complete; valid once ended() is true.
  [[nodiscard]] bool endsInLastChunk() const { return Tail == LastChunk; }

private:
  static inline const std::string LastChunk = "0\r\n\r\n";

  void readAll() {
    std::string Piece(1 << 20, '\0');
    boost::system::error_code Error;
    while (!Error) {
      const auto Count =
          Caller.socket().read_some(boost::asio::buffer(Piece), Error);
      Tail += Piece.substr(0, Count);
      Tail.erase(0, Tail.size() - std::min(Tail.size(), LastChunk.size()));
    }
    Ended = true;
  }

  silent_caller Caller;
  std::string Tail;
  std::atomic<bool> Ended{false};
  std::thread Thread;
};

//! Deadline of the route /once.
constexpr milliseconds OnceDeadline{800};

class endless_body : public testing::TestWithParam<endless_bytes> {};

TEST_P(endless_body, ends_incomplete_at_the_deadline) {
  endless_sender Sender;
  scripted_target Target(endlessOnce(Sender, GetParam()));
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  const reading_caller Caller(Traffic, "/once");
  EXPECT_TRUE(emulator::waitUntil(
      [&] { return Sender.closed() && Caller.ended(); }, OnceDeadline + Slack));
  EXPECT_FALSE(Caller.endsInLastChunk());
}

TEST_P(endless_body, frees_the_target_although_its_caller_reads_nothing) {
  endless_sender Sender;
  scripted_target Target(endlessOnce(Sender, GetParam()));
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  const silent_caller Caller(Traffic, "/once");
  EXPECT_TRUE(emulator::waitUntil([&] { return Sender.closed(); },
                                  OnceDeadline + Slack));
  EXPECT_LT(Sender.sent(), MaxUnreadBytes);
}

const std::string Failed = "HTTP/1.1 500 Failed\r\n";

INSTANTIATE_TEST_SUITE_P(
    each_kind, endless_body,
    testing::Values(
        endless_bytes{"length", Ok + HugeLength, filler(LargePieceBytes)},
        endless_bytes{"chunks", Ok + Chunked, chunk(LargePieceBytes)},
        endless_bytes{"small_chunks", Ok + Chunked,
                      repeated(chunk(1), LargePieceBytes)},
        endless_bytes{"until_the_close", Ok + "\r\n", filler(LargePieceBytes)},
        endless_bytes{"length_of_a_failure", Failed + HugeLength,
                      filler(LargePieceBytes)},
        endless_bytes{"chunks_of_a_failure", Failed + Chunked,
                      chunk(LargePieceBytes)},
        endless_bytes{"failure_until_the_close", Failed + "\r\n",
                      filler(LargePieceBytes)},
        endless_bytes{"slow_chunks", Ok + Chunked, chunk(1), milliseconds(1)}),
    [](const auto &Case) { return Case.param.Name; });

class endless_framing : public testing::TestWithParam<endless_bytes> {};

TEST_P(endless_framing, takes_no_memory_and_ends_incomplete) {
  endless_sender Sender;
  scripted_target Target(endlessOnce(Sender, GetParam()));
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  const reading_caller Caller(Traffic, "/once");
  EXPECT_TRUE(emulator::waitUntil(
      [&] { return Sender.closed() && Caller.ended(); }, OnceDeadline + Slack));
  EXPECT_LT(Sender.sent(), MaxUnreadBytes);
  EXPECT_FALSE(Caller.endsInLastChunk());
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, endless_framing,
    testing::Values(endless_bytes{"chunk_size", Ok + Chunked,
                                  std::string(LargePieceBytes, '0')},
                    endless_bytes{"later_chunk_size", Ok + Chunked + chunk(2),
                                  std::string(LargePieceBytes, '0')},
                    endless_bytes{"chunk_extension", Ok + Chunked + "1;",
                                  filler(LargePieceBytes)},
                    endless_bytes{"trailer_line",
                                  Ok + Chunked + chunk(2) + "0\r\nX: ",
                                  filler(LargePieceBytes)},
                    endless_bytes{"trailer_fields", Ok + Chunked + "0\r\n",
                                  repeated(Field, LargePieceBytes)},
                    endless_bytes{"slow_trailer_fields", Ok + Chunked + "0\r\n",
                                  Field, milliseconds(1)}),
    [](const auto &Case) { return Case.param.Name; });

struct surplus_case {
  std::string Method;
  int Status = 200;
  std::string Body;
  endless_bytes Bytes; //!< Its start is the complete response.
};

void PrintTo(const surplus_case &Case, std::ostream *Out) {
  *Out << Case.Bytes.Name;
}

class endless_surplus : public testing::TestWithParam<surplus_case> {};

TEST_P(endless_surplus, belongs_to_no_request_and_ends_the_connection) {
  endless_sender Sender;
  scripted_target Target(endlessOnce(Sender, GetParam().Bytes));
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  const auto First = Traffic.call(GetParam().Method, "/safe");
  EXPECT_EQ(First.Status, GetParam().Status) << First.Failure;
  EXPECT_EQ(First.Body, GetParam().Body);
  // Bytes that arrive after the next request was written cannot be told from
  // its response, so the test waits for the first ones.
  ASSERT_TRUE(emulator::waitUntil(
      [&] {
        return Sender.closed() || Sender.sent() > GetParam().Bytes.Start.size();
      },
      Slack));
  const auto Second = Traffic.call("GET", "/safe");
  EXPECT_EQ(Second.Status, 200) << Second.Failure;
  EXPECT_EQ(Second.Body, "whole");
  EXPECT_TRUE(emulator::waitUntil([&] { return Sender.closed(); }, Slack));
  EXPECT_LT(Sender.sent(), MaxUnreadBytes);
}

const std::string WithLength = Ok + "Content-Length: 2\r\n\r\nok";

INSTANTIATE_TEST_SUITE_P(
    each_kind, endless_surplus,
    testing::Values(
        surplus_case{"GET",
                     200,
                     "ok",
                     {"after_a_length", WithLength, filler(LargePieceBytes)}},
        surplus_case{"GET",
                     200,
                     "ok",
                     {"after_a_pause", WithLength, filler(LargePieceBytes),
                      milliseconds(50)}},
        surplus_case{"GET",
                     200,
                     "ok",
                     {"of_whole_responses", WithLength,
                      repeated(WithLength, LargePieceBytes)}},
        surplus_case{"GET",
                     200,
                     "xx",
                     {"after_the_last_chunk",
                      Ok + Chunked + chunk(2) + "0\r\n\r\n",
                      filler(LargePieceBytes)}},
        surplus_case{"GET",
                     500,
                     "ok",
                     {"after_a_failure", Failed + "Content-Length: 2\r\n\r\nok",
                      filler(LargePieceBytes)}},
        surplus_case{"GET",
                     204,
                     "",
                     {"after_no_content", "HTTP/1.1 204 None\r\n\r\n",
                      filler(LargePieceBytes)}},
        surplus_case{"HEAD",
                     200,
                     "",
                     {"after_a_head_response", Ok + HugeLength,
                      filler(LargePieceBytes)}}),
    [](const auto &Case) { return Case.param.Bytes.Name; });

} // namespace
} // namespace pomelo
