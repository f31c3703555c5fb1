#include "platform/platform_target_caller.hpp"

#include "http/endless_bytes.hpp"
#include "http/scripted_target.hpp"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <thread>

namespace pomelo::platform {
namespace {

using std::chrono::seconds;

target_order makeOrder(const scripted_target &Target, order_kind Kind) {
  target_order Order;
  Order.Kind = Kind;
  Order.TargetId = "t1";
  Order.Incarnation = 1;
  Order.Address = fmt::format("127.0.0.1:{}", Target.address().port());
  Order.Service = "s";
  Order.SlotCount = 256;
  Order.KeySpace = 65536;
  Order.Token = 7;
  Order.GrantDuration = milliseconds(3000);
  return Order;
}

order_result callTarget(boost::asio::io_context &Io,
                        platform_target_caller &Caller,
                        const target_order &Order) {
  std::optional<order_result> Received;
  Caller.call(Order, seconds(2),
              [&Received](const order_result &Result) { Received = Result; });
  while (!Received && Io.run_one() > 0)
    ;
  Io.restart();
  return Received.value_or(order_result());
}

void answerReleaseLate(scripted_connection &Connection) {
  if (Connection.readRequest().empty())
    return;
  std::this_thread::sleep_for(milliseconds(50));
  Connection.write("HTTP/1.1 200 OK\r\nX-Handover: own\r\n"
                   "Content-Length: 0\r\n\r\n");
  Connection.awaitEnd();
}

//! Delay between a response and its duplicate.
struct stray_case {
  std::string Name;
  milliseconds DuplicateDelay;
};

class stray_answer : public testing::TestWithParam<stray_case> {};

//! Guards against a duplicate response to a grant being taken for the response
//! to the release that follows: a release is done only when the target has
//! finished the work in progress.
TEST_P(stray_answer, is_not_taken_for_that_of_a_release) {
  scripted_target Target([](scripted_connection &Connection, unsigned Number) {
    if (Number > 0)
      return answerReleaseLate(Connection);
    Connection.readRequest();
    const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    if (GetParam().DuplicateDelay == milliseconds(0)) {
      Connection.write(Ok + Ok);
    } else {
      Connection.write(Ok);
      std::this_thread::sleep_for(GetParam().DuplicateDelay);
      Connection.write(Ok);
    }
    answerReleaseLate(Connection);
  });
  boost::asio::io_context Io;
  platform_target_caller Caller(Io);
  ASSERT_EQ(
      callTarget(Io, Caller, makeOrder(Target, order_kind::Grant)).Outcome,
      order_outcome::Done);
  const order_result Released =
      callTarget(Io, Caller, makeOrder(Target, order_kind::Release));
  EXPECT_EQ(Released.Outcome, order_outcome::Done);
  EXPECT_EQ(Released.Handover, "own");
}

INSTANTIATE_TEST_SUITE_P(
    each_time, stray_answer,
    testing::Values(stray_case{"with_the_first", milliseconds(0)},
                    stray_case{"after_the_next_call", milliseconds(20)}),
    [](const auto &Case) { return Case.param.Name; });

class endless_answer : public testing::TestWithParam<endless_bytes> {};

//! Calls are given up before their timeout, so that the outcome tells that the
//! answer cannot be read.
TEST_P(endless_answer, leaves_unknown_whether_a_call_was_carried_out) {
  for (const order_kind Kind : {order_kind::Grant, order_kind::Release}) {
    endless_sender Sender;
    scripted_target Target(
        [&Sender](scripted_connection &Connection, unsigned) {
          if (!Connection.readRequest().empty())
            Sender.run(Connection, GetParam());
        });
    boost::asio::io_context Io;
    platform_target_caller Caller(Io);
    EXPECT_EQ(callTarget(Io, Caller, makeOrder(Target, Kind)).Outcome,
              order_outcome::ConnectionBroken);
    for (int Step = 0; Step < 200 && !Sender.closed(); ++Step)
      std::this_thread::sleep_for(milliseconds(5));
    EXPECT_TRUE(Sender.closed());
    EXPECT_LT(Sender.sent(), MaxUnreadBytes);
  }
}

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string HugeLength = "Content-Length: 1000000000000\r\n\r\n";
const std::string Field = "X-More: " + filler(1000) + "\r\n";
//! Ends in the first byte of the next field. Small enough for one read.
const std::string CutField = "-More: " + filler(100) + "\r\nX";
const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    each_kind, endless_answer,
    testing::Values(
        endless_bytes{"status_line", "HTTP/1.1 200 ", filler(LargePieceBytes)},
        endless_bytes{"header_line", Ok + "X-Long: ", filler(LargePieceBytes)},
        endless_bytes{"header_fields", Ok, repeated(Field, LargePieceBytes)},
        endless_bytes{"header_fields_cut_after_a_byte", Ok + "X", CutField,
                      milliseconds(1)},
        endless_bytes{"interim_responses", "",
                      repeated(Interim, LargePieceBytes)},
        endless_bytes{"single_interim_responses", "",
                      "HTTP/1.1 103 Early\r\n" + Field + "\r\n",
                      milliseconds(1)},
        endless_bytes{"garbage", "", filler(LargePieceBytes)},
        endless_bytes{"length", Ok + HugeLength, filler(1000), milliseconds(1)},
        // Within the library's own limit of 8 MiB.
        endless_bytes{"length_of_5_MB", Ok + "Content-Length: 5000000\r\n\r\n",
                      filler(1000), milliseconds(1)},
        endless_bytes{"chunks", Ok + Chunked, chunk(LargePieceBytes)},
        endless_bytes{"slow_chunks", Ok + Chunked, chunk(1000),
                      milliseconds(1)},
        endless_bytes{"chunk_extension", Ok + Chunked + "1;",
                      filler(LargePieceBytes)},
        endless_bytes{"trailer", Ok + Chunked + "0\r\n",
                      repeated(Field, LargePieceBytes)},
        endless_bytes{"until_the_close", Ok + "\r\n", filler(1000),
                      milliseconds(1)},
        endless_bytes{"refusal_until_the_close",
                      "HTTP/1.1 409 Conflict\r\n\r\n", filler(1000),
                      milliseconds(1)}),
    [](const auto &Case) { return Case.param.Name; });

//! Guards against the answer that follows an interim one being taken for the
//! answer to the next grant on the same connection.
TEST(platform_target_caller, takes_no_interim_response_for_the_answer) {
  scripted_target Target([](scripted_connection &Connection, unsigned) {
    Connection.readRequest();
    Connection.write(Interim);
    std::this_thread::sleep_for(milliseconds(50));
    Connection.write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    Connection.readRequest();
    Connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    Connection.awaitEnd();
  });
  boost::asio::io_context Io;
  platform_target_caller Caller(Io);
  const target_order Order = makeOrder(Target, order_kind::Grant);
  EXPECT_EQ(callTarget(Io, Caller, Order).Outcome, order_outcome::Refused);
  EXPECT_EQ(callTarget(Io, Caller, Order).Outcome, order_outcome::Done);
}

//! The caller's thread was busy until the call had timed out.
TEST(late_order, is_not_sent) {
  std::atomic<unsigned> Received = 0;
  order_result Result;
  {
    scripted_target Target(
        [&Received](scripted_connection &Connection, unsigned) {
          if (Connection.readRequest().empty())
            return;
          ++Received;
          Connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
          Connection.awaitEnd();
        });
    boost::asio::io_context Io;
    platform_target_caller Caller(Io);
    constexpr milliseconds Timeout(20);
    Caller.call(makeOrder(Target, order_kind::Grant), Timeout,
                [&Result](const order_result &Ended) { Result = Ended; });
    std::this_thread::sleep_for(2 * Timeout);
    Io.run();
  }
  EXPECT_EQ(Received, 0U);
  EXPECT_EQ(Result.Outcome, order_outcome::NotDone);
}

} // namespace
} // namespace pomelo::platform
