//! Callers, and targets that report, that send bytes without end.
#include "endless_bytes.hpp"
#include "pomeloswitch/http/simple_server.hpp"
#include "traffic_fixture.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

//! A connection that takes no memory is closed within this time of a request
//! that is read at full speed.
constexpr milliseconds Patience{3000};

//! Sends endless bytes to a server on its own thread, no more than a receiver
//! may take.
class endless_caller {
public:
  endless_caller(const boost::asio::ip::tcp::endpoint &Server,
                 const endless_bytes &Bytes)
      : Connection(connectTo(Server), Requests),
        Thread([this, Bytes] { Sender.run(Connection, Bytes); }) {}
  ~endless_caller() {
    ::shutdown(Connection.socket().native_handle(), SHUT_RDWR);
    Thread.join();
  }

  [[nodiscard]] bool endsWithin(milliseconds Time) const {
    return emulator::waitUntil(
        [this] { return Sender.closed() || Sender.sent() > MaxUnreadBytes; },
        Time);
  }
  [[nodiscard]] const endless_sender &sender() const { return Sender; }

private:
  boost::asio::ip::tcp::socket
  connectTo(const boost::asio::ip::tcp::endpoint &Server) {
    boost::asio::ip::tcp::socket Socket(Io);
    Socket.connect(Server);
    return Socket;
  }

  boost::asio::io_context Io;
  std::atomic<unsigned> Requests{0};
  scripted_connection Connection;
  endless_sender Sender;
  std::thread Thread;
};

class endless_request : public testing::TestWithParam<endless_bytes> {};

// Guards against bytes that a host keeps until its memory is used up, with the
// requests of all others on it (LOST, issue 37).
TEST_P(endless_request, of_a_caller_takes_no_memory_and_is_closed) {
  scripted_target Target(
      [](scripted_connection &Connection, unsigned) { Connection.awaitEnd(); });
  traffic_fixture Traffic(Target.address(), 1);
  const endless_caller Caller(parseEndpoint(Traffic.address()), GetParam());
  EXPECT_TRUE(Caller.endsWithin(Patience));
  EXPECT_TRUE(Caller.sender().closed());
  EXPECT_LT(Caller.sender().sent(), MaxUnreadBytes);
}

TEST_P(endless_request, of_a_target_that_reports_takes_no_memory) {
  boost::asio::io_context Io;
  simple_server Server(
      Io, {boost::asio::ip::address_v4::loopback(), 0},
      [](const text_request &) -> boost::asio::awaitable<text_response> {
        co_return text_response();
      });
  std::thread Thread([&Io] { Io.run(); });
  {
    const endless_caller Caller(Server.address(), GetParam());
    EXPECT_TRUE(Caller.endsWithin(Patience));
    EXPECT_TRUE(Caller.sender().closed());
    EXPECT_LT(Caller.sender().sent(), MaxUnreadBytes);
  }
  Io.stop();
  Thread.join();
}

const std::string Head = "POST /unsafe HTTP/1.1\r\nHost: h\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string Field = "X-More: " + filler(1000) + "\r\n";
//! Ends in the first byte of the next field. Small enough for one read.
const std::string CutField = "-More: " + filler(100) + "\r\nX";

INSTANTIATE_TEST_SUITE_P(
    each_kind, endless_request,
    testing::Values(
        endless_bytes{"request_line", "POST /", filler(LargePieceBytes)},
        endless_bytes{"header_line",
                      Head + "X-Long: ", filler(LargePieceBytes)},
        endless_bytes{"header_fields", Head, repeated(Field, LargePieceBytes)},
        endless_bytes{"header_fields_one_by_one", Head + "X", CutField,
                      milliseconds(1)},
        endless_bytes{"chunk_size", Head + Chunked,
                      std::string(LargePieceBytes, '0')},
        endless_bytes{"later_chunk_size", Head + Chunked + chunk(2),
                      std::string(LargePieceBytes, '0')},
        endless_bytes{"chunk_extension", Head + Chunked + "1;",
                      filler(LargePieceBytes)},
        endless_bytes{"trailer_line", Head + Chunked + chunk(2) + "0\r\nX: ",
                      filler(LargePieceBytes)},
        endless_bytes{"trailer_fields", Head + Chunked + "0\r\n",
                      repeated(Field, LargePieceBytes)}),
    [](const auto &Case) { return Case.param.Name; });

} // namespace
} // namespace pomelo
