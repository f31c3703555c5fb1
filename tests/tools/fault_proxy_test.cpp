#include "fault_proxy/fault_proxy_thread.hpp"

#include "emulator/child_process.hpp"
#include "emulator/http_call.hpp"
#include "pomeloswitch/http/simple_server.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

namespace pomelo::fault_proxy {
namespace {

using emulator::call;
using emulator::http_answer;
using emulator::waitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::size_t BodyBytes = 20000;
constexpr std::size_t HalfBytes = BodyBytes / 2;

//! An HTTP server on its own thread that answers with BodyBytes bytes,
//! including the newline that makeJsonResponse() appends.
class upstream {
public:
  upstream()
      : Work(Io.get_executor()),
        Server(Io, {boost::asio::ip::address_v4::loopback(), 0},
               [](const text_request &Request)
                   -> boost::asio::awaitable<text_response> {
                 co_return makeJsonResponse(std::string(BodyBytes - 1, 'x'),
                                            Request.version());
               }),
        Thread([this] { Io.run(); }) {}
  ~upstream() {
    Io.stop();
    Thread.join();
  }
  std::string address() { return toString(Server.address()); }

private:
  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  simple_server Server;
  std::thread Thread;
};

class fault_proxy_route : public testing::Test {
protected:
  http_answer get(milliseconds Timeout = seconds(5)) {
    return call(Address, {"GET", "/", {}, {}, Timeout});
  }

  upstream Upstream;
  fault_proxy_thread Proxy;
  std::string Address = Proxy.addRoute("r", Upstream.address());
};

struct fault_case {
  std::string Name;
  route_faults Faults;
  std::string Failure; //!< Empty if the whole response arrives.
  milliseconds AtLeast{0};
};

void PrintTo(const fault_case &Case, std::ostream *Out) { *Out << Case.Name; }

class fault_proxy_fault : public fault_proxy_route,
                          public testing::WithParamInterface<fault_case> {};

TEST_P(fault_proxy_fault, shows_to_the_client_and_is_gone_when_cleared) {
  const fault_case &Case = GetParam();
  Proxy.setFaults("r", Case.Faults);
  const auto Start = steady_clock::now();
  const http_answer Faulty = get(milliseconds(700));
  EXPECT_GE(steady_clock::now() - Start, Case.AtLeast);
  EXPECT_EQ(Faulty.Status, Case.Failure.empty() ? 200 : 0);
  EXPECT_NE(Faulty.Failure.find(Case.Failure), std::string::npos)
      << Faulty.Failure;
  Proxy.clearFaults("r");
  const http_answer Healed = get();
  EXPECT_EQ(Healed.Status, 200) << Healed.Failure;
  EXPECT_EQ(Healed.Body.size(), BodyBytes);
}

route_faults responseFaults(const direction_faults &ToClient) {
  route_faults Faults;
  Faults.ToClient = ToClient;
  return Faults;
}

route_faults requestFaults(const direction_faults &ToUpstream) {
  route_faults Faults;
  Faults.ToUpstream = ToUpstream;
  return Faults;
}

route_faults connectionCut() {
  route_faults Faults;
  Faults.Cut = true;
  return Faults;
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, fault_proxy_fault,
    testing::Values(
        fault_case{"none", {}, ""}, fault_case{"cut", connectionCut(), "reset"},
        fault_case{"hang", blockBothDirections(), "timeout", milliseconds(650)},
        fault_case{"one_way", responseFaults({.Blocked = true}), "timeout",
                   milliseconds(650)},
        fault_case{"delay", requestFaults({.Delay = milliseconds(200)}), "",
                   milliseconds(200)},
        fault_case{"reset_in_the_middle",
                   responseFaults({.ResetAfterBytes = HalfBytes}), "reset"},
        fault_case{"answer_half_written",
                   responseFaults({.CloseAfterBytes = HalfBytes}), "partial"},
        fault_case{"rate", responseFaults({.BytesPerSecond = 4 * BodyBytes}),
                   "", milliseconds(200)}));

TEST_F(fault_proxy_route, a_blocked_request_arrives_after_the_heal) {
  Proxy.setFaults("r", blockBothDirections());
  http_answer Answer;
  std::thread Caller([&] { Answer = get(); });
  EXPECT_TRUE(
      waitUntil([&] { return Proxy.connections("r") == 1; }, seconds(5)));
  Proxy.clearFaults("r");
  Caller.join();
  EXPECT_EQ(Answer.Status, 200) << Answer.Failure;
}

TEST_F(fault_proxy_route, silences_open_connections_but_not_new_ones) {
  Proxy.setFaults("r", requestFaults({.Delay = milliseconds(200)}));
  http_answer Old;
  std::thread Caller([&] { Old = get(milliseconds(900)); });
  EXPECT_TRUE(
      waitUntil([&] { return Proxy.connections("r") == 1; }, seconds(5)));
  Proxy.silenceOpen("r");
  Proxy.clearFaults("r");
  EXPECT_EQ(get().Status, 200);
  Caller.join();
  EXPECT_EQ(Old.Status, 0);
  EXPECT_NE(Old.Failure.find("timeout"), std::string::npos) << Old.Failure;
}

TEST_F(fault_proxy_route, a_fault_of_one_source_leaves_the_others_alone) {
  Proxy.setSource("other", getppid());
  Proxy.setFaultsFrom("r", "other", connectionCut());
  EXPECT_EQ(get().Status, 200);
  Proxy.setSource("this", getpid());
  Proxy.setFaultsFrom("r", "this", connectionCut());
  EXPECT_EQ(get().Status, 0);
}

// Others of the machine must not wait for the cut host's sockets to be found.
TEST_F(fault_proxy_route, a_fault_of_one_source_delays_no_other) {
  constexpr int Connections = 20;
  Proxy.setSource("other", getppid());
  Proxy.setFaultsFrom("r", "other", connectionCut());
  const auto Start = steady_clock::now();
  for (int Number = 0; Number < Connections; ++Number)
    EXPECT_EQ(get().Status, 200);
  EXPECT_LT(steady_clock::now() - Start, Connections * milliseconds(50));
}

struct carry_case {
  std::string Name;
  std::size_t FirstBytes;
  milliseconds SecondAt;
  milliseconds Backlog; //!< That the second finds.
  milliseconds Arrival; //!< Of the second, 10 KB.
};

void PrintTo(const carry_case &Case, std::ostream *Out) { *Out << Case.Name; }

class shared_link_carrying : public testing::TestWithParam<carry_case> {};

TEST_P(shared_link_carrying, sends_in_the_order_of_arrival) {
  const carry_case &Case = GetParam();
  shared_link Link(100'000);
  const steady_clock::time_point Start(seconds(1000));
  Link.carry(Case.FirstBytes, Start);
  EXPECT_EQ(Link.backlog(Start + Case.SecondAt), Case.Backlog);
  EXPECT_EQ(Link.carry(10'000, Start + Case.SecondAt), Start + Case.Arrival);
}

INSTANTIATE_TEST_SUITE_P(
    each_state, shared_link_carrying,
    testing::Values(carry_case{"idle", 0, milliseconds(0), milliseconds(0),
                               milliseconds(100)},
                    carry_case{"behind_a_body", 50'000, milliseconds(200),
                               milliseconds(300), milliseconds(600)},
                    carry_case{"after_a_body", 50'000, milliseconds(700),
                               milliseconds(0), milliseconds(800)}));

// Without a shared rate, the two would take as long as one: 0.2 s.
TEST_F(fault_proxy_route, connections_on_a_shared_link_share_its_rate) {
  Proxy.setFaults(
      "r",
      responseFaults({.Link = std::make_shared<shared_link>(5 * BodyBytes)}));
  const auto Start = steady_clock::now();
  http_answer Beside;
  std::thread Caller([&] { Beside = get(); });
  EXPECT_EQ(get().Status, 200);
  Caller.join();
  EXPECT_EQ(Beside.Status, 200);
  EXPECT_GE(steady_clock::now() - Start, milliseconds(400));
  EXPECT_LT(steady_clock::now() - Start, milliseconds(800));
}

struct control_case {
  std::string Name;
  std::string Path;
  std::string Body;
  int Status;
  int StatusThrough; //!< Of a subsequent request through the route.
};

void PrintTo(const control_case &Case, std::ostream *Out) { *Out << Case.Name; }

class fault_proxy_control : public fault_proxy_route,
                            public testing::WithParamInterface<control_case> {};

TEST_P(fault_proxy_control, carries_out_valid_commands_only) {
  const control_case &Case = GetParam();
  const http_answer Answer =
      call(Proxy.controlAddress(), {"POST", Case.Path, {}, Case.Body});
  EXPECT_EQ(Answer.Status, Case.Status) << Answer.Body;
  EXPECT_EQ(get().Status, Case.StatusThrough);
}

INSTANTIATE_TEST_SUITE_P(
    each_command, fault_proxy_control,
    testing::Values(
        control_case{"faults", "/v1/faults",
                     R"({"route":"r","faults":{"cut":true}})", 200, 0},
        control_case{"all_routes", "/v1/faults",
                     R"({"route":"*","faults":{"cut":true}})", 200, 0},
        control_case{"unknown_fault", "/v1/faults",
                     R"({"route":"r","faults":{"gone":true}})", 400, 200},
        control_case{"unknown_route", "/v1/actions",
                     R"({"route":"q","action":"reset"})", 404, 200},
        control_case{"clear", "/v1/actions",
                     R"({"route":"r","action":"clear"})", 200, 200}));

} // namespace
} // namespace pomelo::fault_proxy
