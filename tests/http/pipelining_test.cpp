//! Requests that a caller sends before the earlier ones are answered.
#include "traffic_fixture.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <set>
#include <sstream>
#include <thread>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using connection = scripted_connection;

std::string get(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}
std::string getAndClose(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
}
std::string post(const std::string &Target) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
}

//! Answers with the request target. Records the order of arrival and the
//! largest number of requests that were at the target together.
//!
//! The query says how: slow (after 200 ms), brief (after 50 ms), cut (half a
//! body, then the connection closes), big (a body of 100,000 bytes), hold (no
//! response until release()).
class scripted_answers {
public:
  //! Answers none until \p Together requests were present at once, or 2 s have
  //! passed.
  explicit scripted_answers(unsigned Together = 1) : Together(Together) {}

  void operator()(connection &Connection) {
    for (;;) {
      const std::string Target = Connection.readRequest();
      if (Target.empty())
        return;
      enter(Target);
      emulator::waitUntil([this] { return Most >= Together; },
                          std::chrono::seconds(2));
      if (Target.starts_with("/unsafe") || Target.find("body") != Target.npos)
        Connection.readBody(4);
      if (has(Target, "slow"))
        std::this_thread::sleep_for(milliseconds(200));
      if (has(Target, "brief"))
        std::this_thread::sleep_for(milliseconds(50));
      if (has(Target, "hold"))
        emulator::waitUntil([this] { return Released.load(); },
                            std::chrono::seconds(3));
      --Present;
      if (has(Target, "cut")) {
        Connection.write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf");
        return;
      }
      Connection.answer("<" + Target + ">" +
                        std::string(has(Target, "big") ? 100'000 : 0, 'x'));
    }
  }
  scripted_target::script script() {
    return [this](connection &Connection, unsigned) { (*this)(Connection); };
  }
  void release() { Released = true; }
  std::vector<std::string> arrived() {
    const std::lock_guard Lock(Mutex);
    return Arrived;
  }
  [[nodiscard]] unsigned mostAtOnce() const { return Most; }

private:
  static bool has(const std::string &Target, const std::string &Word) {
    return Target.find(Word) != std::string::npos;
  }
  void enter(const std::string &Target) {
    const std::lock_guard Lock(Mutex);
    Arrived.push_back(Target);
    Most = std::max<unsigned>(Most, ++Present);
  }

  const unsigned Together;
  std::mutex Mutex;
  std::vector<std::string> Arrived;
  std::atomic<unsigned> Present{0};
  std::atomic<unsigned> Most{0};
  std::atomic<bool> Released{false};
};

class pipelining_caller {
public:
  explicit pipelining_caller(const traffic_fixture &Traffic) : Socket(Io) {
    Socket.connect(parseEndpoint(Traffic.address()));
  }
  void send(const std::string &Text) {
    boost::asio::write(Socket, boost::asio::buffer(Text));
  }
  //! Reads until the host closes the connection.
  std::string readAll() {
    std::string Answer;
    boost::system::error_code Ended;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), Ended);
    return Answer;
  }
  void close() { Socket.close(); }

private:
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket;
};

//! Returns the status or, if the body is "<target>...", the target of each
//! response that is complete.
std::vector<std::string> responsesIn(std::string Text) {
  std::vector<std::string> Found;
  for (;;) {
    const auto End = Text.find("\r\n\r\n");
    const auto Length = Text.find("Content-Length: ");
    if (End == std::string::npos || Length > End)
      return Found;
    const std::size_t Bytes = std::stoul(Text.substr(Length + 16));
    const std::string Status = Text.substr(9, 3);
    const std::string Body = Text.substr(End + 4, Bytes);
    if (Body.size() < Bytes)
      return Found;
    Found.push_back(Status == "200" ? Body.substr(1, Body.find('>') - 1)
                                    : Status);
    Text.erase(0, End + 4 + Bytes);
  }
}

using texts = std::vector<std::string>;

struct pipelining_case {
  std::string Name;
  std::string Sent;
  texts Responses;        //!< Targets, or statuses other than 200.
  texts Arrivals = {};    //!< At the target, in this order; empty if any order.
  unsigned MinAtOnce = 1; //!< Requests at the target together.
  unsigned MaxAtOnce = 1;
  std::string Guards; //!< The failure that the case guards against.
};

void PrintTo(const pipelining_case &Case, std::ostream *Out) {
  *Out << Case.Name << ": " << Case.Guards;
}

class pipelined_requests : public testing::TestWithParam<pipelining_case> {};

TEST_P(pipelined_requests, are_answered_in_order) {
  const pipelining_case &Case = GetParam();
  scripted_answers Answers(Case.MinAtOnce);
  scripted_target Target(Answers.script());
  traffic_fixture Traffic(Target.address(), 8);
  pipelining_caller Caller(Traffic);
  Caller.send(Case.Sent);
  EXPECT_EQ(responsesIn(Caller.readAll()), Case.Responses) << Case.Guards;
  EXPECT_GE(Answers.mostAtOnce(), Case.MinAtOnce) << Case.Guards;
  EXPECT_LE(Answers.mostAtOnce(), Case.MaxAtOnce) << Case.Guards;
  if (!Case.Arrivals.empty()) {
    EXPECT_EQ(Answers.arrived(), Case.Arrivals) << Case.Guards;
  }
}

std::string slowGets(unsigned Count) {
  std::string Text;
  for (unsigned Number = 0; Number < Count; ++Number)
    Text += get("/safe/slow" + std::to_string(Number));
  return Text;
}

texts slowTargets(unsigned Count) {
  texts Targets;
  for (unsigned Number = 0; Number < Count; ++Number)
    Targets.push_back("/safe/slow" + std::to_string(Number));
  Targets.emplace_back("/safe/end");
  return Targets;
}

INSTANTIATE_TEST_SUITE_P(
    all, pipelined_requests,
    testing::Values(
        pipelining_case{"second_finishes_first",
                        get("/safe/slow") + getAndClose("/safe/brief"),
                        {"/safe/slow", "/safe/brief"},
                        {},
                        2,
                        2,
                        "responses in the order of completion"},
        pipelining_case{"first_has_no_route",
                        get("/none") + get("/safe/a") + getAndClose("/safe/b"),
                        {"404", "/safe/a", "/safe/b"},
                        {},
                        1,
                        2,
                        "a refusal that ends those behind it"},
        pipelining_case{"second_response_is_cut",
                        get("/safe/slow") + get("/safe/brief-cut") +
                            getAndClose("/safe/brief-c"),
                        {"/safe/slow", "502", "/safe/brief-c"},
                        {},
                        3,
                        3,
                        "a failure that ends its neighbours"},
        pipelining_case{"first_closes",
                        getAndClose("/safe/slow") + get("/safe/b"),
                        {"/safe/slow"},
                        {"/safe/slow"},
                        1,
                        1,
                        "a start of what counts as not read"},
        pipelining_case{"first_response_is_cut",
                        get("/safe/cut") + post("/unsafe/b"),
                        {},
                        {"/safe/cut"},
                        1,
                        1,
                        "an unsafe request sent behind a response that closes"},
        pipelining_case{"unsafe_with_body_in_the_middle",
                        get("/safe/slow") + post("/unsafe/b") +
                            getAndClose("/safe/c"),
                        {"/safe/slow", "/unsafe/b", "/safe/c"},
                        {"/safe/slow", "/unsafe/b", "/safe/c"},
                        1,
                        1,
                        "an unsafe request that does not wait for its turn"},
        pipelining_case{"safe_with_body_in_the_middle",
                        get("/safe/slow") + post("/safe/body") +
                            getAndClose("/safe/c"),
                        {"/safe/slow", "/safe/body", "/safe/c"},
                        {"/safe/slow", "/safe/body", "/safe/c"},
                        1,
                        1,
                        "a body read as the next request"},
        pipelining_case{"invalid_header_in_the_middle",
                        get("/safe/slow") +
                            "GET /safe/../x HTTP/1.1\r\n"
                            "Host: h\r\n\r\n" +
                            get("/safe/c"),
                        {"/safe/slow", "400"},
                        {"/safe/slow"},
                        1,
                        1,
                        "a refusal ahead of an earlier response"},
        pipelining_case{"more_than_eight",
                        slowGets(19) + getAndClose("/safe/end"),
                        slowTargets(19),
                        {},
                        8,
                        8,
                        "more than eight at a time, or one that is lost"},
        pipelining_case{
            "more_than_is_held",
            get("/safe/slow") + get("/safe/brief-big1") +
                get("/safe/brief-big2") + get("/safe/brief-big3") +
                get("/safe/brief-big4") + getAndClose("/safe/brief-big5"),
            {"/safe/slow", "/safe/brief-big1", "/safe/brief-big2",
             "/safe/brief-big3", "/safe/brief-big4", "/safe/brief-big5"},
            {},
            6,
            6,
            "a paused response that does not continue"}),
    [](const auto &Info) { return Info.param.Name; });

//! Guards against a close by the host while it has sent requests of the
//! connection to a target, and against a start of further ones.
TEST(pipelined_requests_at_a_stop, are_answered_and_the_last_one_closes) {
  scripted_answers Answers;
  scripted_target Target(Answers.script());
  traffic_fixture Traffic(Target.address(), 2);
  pipelining_caller Caller(Traffic);
  Caller.send(get("/safe/hold1") + get("/safe/hold2"));
  ASSERT_TRUE(emulator::waitUntil([&] { return Target.requests() == 2; },
                                  std::chrono::seconds(2)));
  std::atomic<bool> Stopped = false;
  Traffic.beginStopOnce([&] { return Stopped = true; });
  emulator::waitUntil([&] { return Stopped.load(); }, std::chrono::seconds(2));
  std::this_thread::sleep_for(milliseconds(50));
  Caller.send(get("/safe/late") + post("/unsafe/late"));
  std::this_thread::sleep_for(milliseconds(50));
  Answers.release();
  const std::string Text = Caller.readAll();
  EXPECT_EQ(responsesIn(Text), (texts{"/safe/hold1", "/safe/hold2"})) << Text;
  EXPECT_GT(Text.find("Connection: close"), Text.find("/safe/hold1")) << Text;
  EXPECT_NE(Text.find("Connection: close"), std::string::npos) << Text;
  EXPECT_EQ(Target.requests(), 2U);
}

//! Guards against work for a caller that has gone.
TEST(pipelined_requests_of_a_caller_that_leaves, are_cancelled) {
  std::atomic<unsigned> Ended = 0;
  scripted_target Target([&](connection &Connection, unsigned) {
    Connection.readRequest();
    Connection.awaitEnd();
    ++Ended;
  });
  traffic_fixture Traffic(Target.address(), 2);
  pipelining_caller Caller(Traffic);
  Caller.send(get("/safe/a") + get("/safe/b") + get("/safe/c"));
  ASSERT_TRUE(emulator::waitUntil([&] { return Target.requests() == 3; },
                                  std::chrono::seconds(2)));
  Caller.close();
  EXPECT_TRUE(
      emulator::waitUntil([&] { return Ended == 3; }, milliseconds(500)));
}

//! Guards against a host that reads whole responses into memory while they
//! wait: the target can write no more than the limit and the sockets' buffers.
TEST(pipelined_responses_that_wait, are_held_within_the_limit) {
  constexpr std::size_t BodyBytes = 64 * 1024 * 1024;
  constexpr std::size_t PieceBytes = 64 * 1024;
  std::atomic<std::size_t> Written = 0;
  std::atomic<bool> Release = false;
  scripted_target Target([&](connection &Connection, unsigned) {
    if (Connection.readRequest().ends_with("first")) {
      emulator::waitUntil([&] { return Release.load(); },
                          std::chrono::seconds(3));
      Connection.answer("<first>");
      return;
    }
    Connection.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                     std::to_string(BodyBytes) + "\r\n\r\n");
    for (std::size_t Sent = 0; Sent < BodyBytes; Sent += PieceBytes) {
      Connection.write(std::string(PieceBytes, 'x'));
      Written += PieceBytes;
    }
  });
  traffic_fixture Traffic(Target.address(), 2);
  pipelining_caller Caller(Traffic);
  Caller.send(get("/safe/first") + getAndClose("/safe/large"));
  std::this_thread::sleep_for(milliseconds(700));
  // The kernel buffers at most about 10 MB of a loopback connection.
  EXPECT_LT(Written.load(), 16U * 1024 * 1024);
  Release = true;
  EXPECT_GT(Caller.readAll().size(), BodyBytes);
}

} // namespace
} // namespace pomelo
