#include "emulator/deployment.hpp"
#include "emulator/raw_call.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <limits>

namespace pomelo::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

deployment_plan smallPlan() {
  deployment_plan Plan;
  Plan.FailureDomains = {"a"};
  Plan.Targets = {{"registry-a", "registry", "a", {}}};
  Plan.EntrySettings = {{"max_caller_connections", 20},
                        {"header_timeout_ms", 500}};
  return Plan;
}

class bad_input : public testing::Test {
protected:
  static void SetUpTestSuite() {
    Deployment = deployment::builder().withPlan(smallPlan()).build();
  }
  static void TearDownTestSuite() { Deployment.reset(); }

  static std::string entry() { return Deployment->callerAddresses().front(); }

  static std::string journal() {
    std::ifstream File(Deployment->journalOf("registry-a"));
    return {std::istreambuf_iterator<char>(File), {}};
  }

  //! Expects that the entry host still serves a valid request.
  static void expectServing() {
    EXPECT_EQ(
        call(entry(), {"GET", "/public/after", {}, {}, seconds(5)}).Status,
        200);
  }

  static inline std::unique_ptr<deployment> Deployment;
};

struct malformed_request {
  std::string Name;
  std::string Bytes;
  std::string Status;
};

void PrintTo(const malformed_request &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class malformed : public bad_input,
                  public testing::WithParamInterface<malformed_request> {};

TEST_P(malformed, is_refused_and_nothing_of_it_reaches_a_target) {
  const std::string Before = journal();
  raw_connection Connection(entry());
  Connection.send(GetParam().Bytes);
  const std::string Answer = Connection.receive(seconds(3));
  EXPECT_TRUE(Answer.starts_with("HTTP/1.1 " + GetParam().Status)) << Answer;
  EXPECT_EQ(Answer.find("HTTP/1.1", 1), std::string::npos) << Answer;
  EXPECT_TRUE(journal() == Before) << "the target journaled an event";
  expectServing();
}

const std::string Smuggled = "GET /public/smuggled HTTP/1.1\r\nHost: a\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    each_kind, malformed,
    testing::Values(
        malformed_request{"length_and_chunked",
                          "POST /public/x HTTP/1.1\r\nHost: a\r\n"
                          "Content-Length: 4\r\nTransfer-Encoding: chunked"
                          "\r\n\r\n0\r\n\r\n" +
                              Smuggled,
                          "400"},
        malformed_request{"two_lengths",
                          "POST /public/x HTTP/1.1\r\nHost: a\r\n"
                          "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" +
                              Smuggled,
                          "400"},
        malformed_request{"signed_length",
                          "POST /public/x HTTP/1.1\r\nHost: a\r\n"
                          "Content-Length: +5\r\n\r\nhello" +
                              Smuggled,
                          "400"},
        malformed_request{"unknown_coding",
                          "POST /public/x HTTP/1.1\r\nHost: a\r\n"
                          "Transfer-Encoding: xchunked\r\n\r\n" +
                              Smuggled,
                          "400"},
        malformed_request{"chunked_not_last",
                          "POST /public/x HTTP/1.1\r\nHost: a\r\n"
                          "Transfer-Encoding: chunked, identity\r\n\r\n" +
                              Smuggled,
                          "400"},
        malformed_request{"space_before_colon",
                          "POST /public/x HTTP/1.1\r\nHost: a\r\n"
                          "Content-Length : 5\r\n\r\nhello" +
                              Smuggled,
                          "400"},
        malformed_request{"control_character",
                          "GET /public/x HTTP/1.1\r\nHost: a\r\nX: a" +
                              std::string(1, '\0') + "b\r\n\r\n",
                          "400"},
        malformed_request{"dot_segments",
                          "GET /public/../certificates HTTP/1.1\r\nHost: a"
                          "\r\nConnection: close\r\n\r\n",
                          "400"},
        malformed_request{"encoded_dot_segments",
                          "GET /public/%2e%2E/certificates HTTP/1.1\r\nHost: a"
                          "\r\nConnection: close\r\n\r\n",
                          "400"},
        malformed_request{"no_host",
                          "GET /public/x HTTP/1.1\r\nConnection: close\r\n\r\n",
                          "400"},
        malformed_request{"other_protocol", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
                          "400"},
        malformed_request{"oversized_header",
                          "GET /public/x HTTP/1.1\r\nHost: a\r\nX: " +
                              std::string(20000, 'x') + "\r\n\r\n",
                          "431"},
        malformed_request{"prefix_is_a_whole_segment",
                          "GET /publicity HTTP/1.1\r\nHost: a\r\nConnection: "
                          "close\r\n\r\n",
                          "404"}));

TEST_F(bad_input, a_caller_cannot_speak_the_fields_of_the_target_protocol) {
  const http_answer Answer = call(entry(), {"GET",
                                            "/public/fields",
                                            {{"Pomelo-Slot", "7"},
                                             {"Pomelo-Fence", "99"},
                                             {"pomelo-account", "large"},
                                             {"X-Request-Id", "fields"}},
                                            {},
                                            seconds(5)});
  ASSERT_EQ(Answer.Status, 200);
  const std::string Journal = journal();
  const auto At = Journal.rfind("\"path\":\"/public/fields\"");
  ASSERT_NE(At, std::string::npos);
  const std::string Line = Journal.substr(At, Journal.find('\n', At) - At);
  EXPECT_NE(Line.find("\"slot\":\"\",\"token\":\"\",\"account\":\"\""),
            std::string::npos)
      << Line;
}

TEST_F(bad_input, the_connection_field_cannot_remove_the_length_of_a_body) {
  const std::string Body(200000, 'b');
  const http_answer Answer = call(entry(), {"POST",
                                            "/public/upload",
                                            {{"Connection", "Content-Length"}},
                                            Body,
                                            seconds(5)});
  ASSERT_EQ(Answer.Status, 200) << Answer.Body << Answer.Failure;
  EXPECT_EQ(boost::json::parse(Answer.Body).at("body_bytes").as_int64(),
            static_cast<std::int64_t>(Body.size()));
}

TEST_F(bad_input, a_header_that_does_not_end_in_time_is_given_up) {
  raw_connection Connection(entry());
  Connection.send("GET /public/x HTTP/1.1\r\nHost: a\r\n");
  EXPECT_TRUE(Connection.closedWithin(seconds(4)));
}

TEST_F(bad_input, a_connection_above_the_limit_gets_an_answer_and_is_closed) {
  constexpr int AboveLimit = 40;
  std::vector<std::unique_ptr<raw_connection>> Held;
  Held.reserve(AboveLimit);
  for (int Count = 0; Count < AboveLimit; ++Count)
    Held.push_back(std::make_unique<raw_connection>(entry()));
  const std::string Answer = Held.back()->receive(seconds(3));
  EXPECT_TRUE(Answer.starts_with("HTTP/1.1 503")) << Answer;
  Held.clear();
  EXPECT_TRUE(waitUntil(
      [] {
        return call(entry(), {"GET", "/public/x", {}, {}, seconds(1)}).Status ==
               200;
      },
      seconds(5)));
}

class closed_endpoint
    : public bad_input,
      public testing::WithParamInterface<std::pair<std::string, std::string>> {
};

TEST_P(closed_endpoint, refuses_a_call_without_its_credential) {
  const auto &[Method, Target] = GetParam();
  const http_answer Answer =
      call(Deployment->adminAddresses().front(),
           {Method, Target, {{"Authorization", "Bearer guess"}}, "{}"});
  EXPECT_EQ(Answer.Status, 401) << Answer.Body;
}

INSTANTIATE_TEST_SUITE_P(administration, closed_endpoint,
                         testing::Values(std::pair{"GET", "/v1/status"},
                                         std::pair{"PUT", "/v1/inventory"},
                                         std::pair{"POST", "/v1/keys"},
                                         std::pair{"POST", "/v1/drains"},
                                         std::pair{"GET", "/unknown"}));

struct forged_announcement {
  std::string Name;
  std::string Credential;
  std::string Body;
  int Status;
};

void PrintTo(const forged_announcement &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class forged : public bad_input,
               public testing::WithParamInterface<forged_announcement> {};

TEST_P(forged, announcement_is_refused_and_makes_no_member) {
  const member &Entry = Deployment->at("a-e1");
  const http_answer Answer =
      call(std::string(Entry.Description.at("announce_address").as_string()),
           {"POST",
            "/v1/announce",
            {{"Authorization", "Bearer " + GetParam().Credential}},
            GetParam().Body});
  EXPECT_EQ(Answer.Status, GetParam().Status) << Answer.Body;
  EXPECT_EQ(Deployment->status().at("targets").as_array().size(), 1U);
  EXPECT_TRUE(Entry.Process->running());
  expectServing();
}

std::string announcement(const boost::json::object &Changes) {
  boost::json::object Body{{"target_id", "forged"},    {"incarnation", 1},
                           {"service", "registry"},    {"failure_domain", "a"},
                           {"address", "127.0.0.1:9"}, {"slots", 1},
                           {"connections", 1}};
  for (const auto &Change : Changes)
    Body[Change.key()] = Change.value();
  return boost::json::serialize(Body);
}

const boost::json::string LongAddress(100000, '1');
constexpr auto Max64 = std::numeric_limits<std::uint64_t>::max();

INSTANTIATE_TEST_SUITE_P(
    each_kind, forged,
    testing::Values(
        forged_announcement{"credential", "guess", announcement({}), 401},
        forged_announcement{"service", std::string(TargetCredential),
                            announcement({{"service", "unknown"}}), 401},
        forged_announcement{"failure_domain", std::string(TargetCredential),
                            announcement({{"failure_domain", "z"}}), 400},
        forged_announcement{"address", std::string(TargetCredential),
                            announcement({{"address", "nowhere:1"}}), 400},
        forged_announcement{"long_address", std::string(TargetCredential),
                            announcement({{"address", LongAddress}}), 400},
        forged_announcement{"port_0", std::string(TargetCredential),
                            announcement({{"address", "127.0.0.1:0"}}), 400},
        forged_announcement{"port_99999", std::string(TargetCredential),
                            announcement({{"address", "127.0.0.1:99999"}}),
                            400},
        forged_announcement{"slots_1e308", std::string(TargetCredential),
                            announcement({{"slots", 1e308}}), 400},
        forged_announcement{"slots_fraction", std::string(TargetCredential),
                            announcement({{"slots", 1.5}}), 400},
        forged_announcement{"slots_negative", std::string(TargetCredential),
                            announcement({{"slots", -1}}), 400},
        forged_announcement{"incarnation_above_63_bits",
                            std::string(TargetCredential),
                            announcement({{"incarnation", Max64}}), 400},
        forged_announcement{"nested_10000", std::string(TargetCredential),
                            std::string(10000, '[') + std::string(10000, ']'),
                            400},
        forged_announcement{"not_utf_8", std::string(TargetCredential),
                            "{\"target_id\": \"\xff\"}", 400},
        forged_announcement{"unknown_field", std::string(TargetCredential),
                            announcement({{"owner", true}}), 400},
        forged_announcement{"not_json", std::string(TargetCredential), "{",
                            400}));

TEST_F(bad_input, bytes_that_are_no_inner_message_close_the_link_only) {
  const std::string Peer(
      Deployment->at("c1").Description.at("peer_address").as_string());
  raw_connection Plain(Peer);
  Plain.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(Plain.closedWithin(seconds(3)));
  raw_connection Forged(Peer);
  Forged.send("POMELO010123456789abcdef" + std::string(100, '\0'));
  EXPECT_TRUE(Forged.closedWithin(seconds(3)));
  expectServing();
  EXPECT_TRUE(Deployment->at("c1").Process->running());
}

} // namespace
} // namespace pomelo::emulator
