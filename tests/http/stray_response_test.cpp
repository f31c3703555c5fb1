//! Targets that write an earlier refusal once more, or stop within a response.
#include "strict_dialect.hpp"
#include "traffic_fixture.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

const strict_dialect Dialect;
const std::string Refusal = "HTTP/1.1 503 Busy\r\nPomelo-Not-Run: shed\r\n";
const std::string Nameless = "Test-Names-None: yes\r\n";
const std::string Empty = "Content-Length: 0\r\n\r\n";

struct stray_case {
  std::string Name;
  std::string Route;
  std::string Response; //!< To the second request on the connection.
  bool OnKeptConnection = true;
  int Status = 0;
  std::string RunState = {};
};

void PrintTo(const stray_case &Case, std::ostream *Out) { *Out << Case.Name; }

class refusal : public testing::TestWithParam<stray_case> {};

TEST_P(refusal, counts_only_for_the_request_that_it_surely_belongs_to) {
  const stray_case &Case = GetParam();
  scripted_target Target([&Case](scripted_connection &Connection, unsigned) {
    Connection.readRequest();
    if (Case.OnKeptConnection) {
      Connection.answer("first");
      Connection.readRequest();
    }
    Connection.write(Case.Response);
    Connection.awaitEnd();
  });
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  if (Case.OnKeptConnection) {
    ASSERT_EQ(Traffic.call("POST", Case.Route, "body").Status, 200);
  }
  const auto Answer = Traffic.call("POST", Case.Route, "body");
  EXPECT_EQ(Answer.Status, Case.Status) << Answer.Failure;
  EXPECT_EQ(Answer.runState(), Case.RunState);
}

INSTANTIATE_TEST_SUITE_P(
    each, refusal,
    testing::Values(stray_case{"named_on_a_kept_connection", "/once",
                               Refusal + Empty, true, 503, "not_run"},
                    stray_case{"nameless_on_a_kept_connection", "/once",
                               Refusal + Nameless + Empty, true, 502,
                               "unknown"},
                    stray_case{"nameless_after_that_of_another", "/once",
                               Refusal + "Test-Other-Request: yes\r\n" + Empty +
                                   Refusal + Nameless + Empty,
                               false, 502, "unknown"},
                    stray_case{"nameless_on_a_new_connection", "/once",
                               Refusal + Nameless + Empty, false, 503,
                               "not_run"},
                    stray_case{"nameless_success_on_a_kept_connection", "/once",
                               "HTTP/1.1 200 OK\r\n" + Nameless + Empty, true,
                               502, "unknown"}),
    [](const auto &Info) { return Info.param.Name; });

//! A whole response, cut after each of its bytes but the last.
struct cut_response {
  std::string Name;
  std::string Head;
  std::string Body;
};

void PrintTo(const cut_response &Case, std::ostream *Out) { *Out << Case.Name; }

class response_cut_short : public testing::TestWithParam<cut_response> {};

TEST_P(response_cut_short, never_looks_whole) {
  const std::string Whole = GetParam().Head + GetParam().Body;
  for (std::size_t Cut = 0; Cut < Whole.size(); ++Cut) {
    scripted_target Target(
        [&Whole, Cut](scripted_connection &Connection, unsigned) {
          if (!Connection.readRequest().empty())
            Connection.write(Whole.substr(0, Cut));
        });
    // A new one each time: a target that failed is avoided for a while.
    traffic_fixture Traffic(Target.address(), 1, Dialect);
    const auto Answer = Traffic.call("POST", "/once", "body");
    EXPECT_EQ(Answer.Status, Cut < GetParam().Head.size() ? 502 : 0)
        << "after " << Cut << " bytes";
  }
}

INSTANTIATE_TEST_SUITE_P(
    each_framing, response_cut_short,
    testing::Values(
        cut_response{"with_a_length",
                     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
        cut_response{"with_a_length_of_zero",
                     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
        cut_response{"in_chunks",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     "4\r\nbody\r\n0\r\n\r\n"},
        cut_response{"ended_by_its_connection",
                     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ""},
        cut_response{"without_a_body", "HTTP/1.1 204 None\r\n\r\n", ""},
        cut_response{"after_an_interim_one",
                     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                     "Content-Length: 4\r\n\r\n",
                     "body"}),
    [](const auto &Info) { return Info.param.Name; });

// Such a body has no length, and only an orderly end of the connection ends it.
TEST(response_ended_by_its_connection, is_not_whole_after_a_reset) {
  scripted_target Target([](scripted_connection &Connection, unsigned) {
    Connection.readRequest();
    Connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Connection.reset();
  });
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  EXPECT_EQ(Traffic.call("POST", "/once", "body").Status, 0);
}

} // namespace
} // namespace pomelo
