#include "platform/configuration_codec.hpp"

#include "pomeloswitch/routing/authentication.hpp"
#include "pomeloswitch/state/cluster_state.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <vector>

namespace pomelo::platform {
namespace {

const std::string Secret = "a secret of the tests";
const std::vector<failure_domain> Domains{{"a", "r"}, {"b", "r"}};

std::string route(std::string_view Name, std::string_view Host,
                  std::string_view Prefix, std::string_view OtherFields) {
  return fmt::format(R"("{}": {{"host": "{}", "path_prefix": "{}",
                     "kind": "safe", {}}})",
                     Name, Host, Prefix, OtherFields);
}

const std::string DefaultFields =
    R"("service": "s", "timeout_s": 1.5, "target_latency_s": 0.6,
       "priority": 2, "max_attempts": 2, "allow_anonymous": false)";

std::string configuration(const std::string &Routes,
                          std::string_view Version = "0000000c",
                          std::string_view Keys = R"(["k1", "k2"])") {
  return fmt::format(
      R"({{"version": "{}", "routes": {{{}}},
          "services": {{"s": {{"connection_limit": 130, "cold_per_s": 2.5}},
                        "d": {{"connection_limit": 130, "sharded": true}}}},
          "limits": {{"max_header_bytes": 16384, "max_body_bytes": 1000,
                      "header_timeout_s": 3, "idle_timeout_s": 15}},
          "tenants": {{"t": {{"api_keys": {}, "priority": 1,
                              "rate_per_s": 42, "burst": 42}},
                       "u": {{"api_keys": ["k3"], "rate_per_s": 0}}}}}})",
      Version, Routes, Keys);
}

apply_result applyConfiguration(cluster_state &State, const std::string &Body) {
  return State.apply(State.index() + 1,
                     readConfiguration(Body, Domains, Secret));
}

TEST(configuration, takes_effect_in_the_products_terms) {
  cluster_state State;
  const std::string Body =
      configuration(route("short", "h.example", "/a/", DefaultFields) + "," +
                    route("long", "h.example", "/a/b/", DefaultFields));
  ASSERT_TRUE(applyConfiguration(State, Body).accepted());
  EXPECT_EQ(State.configurationNumber(), 12U);
  EXPECT_EQ(State.configurationSource(), Body);
  const rules &Rules = *State.sharedRules();
  ASSERT_EQ(Rules.Routes.size(), 2U);
  EXPECT_EQ(Rules.Routes.front().Name, "long");
  EXPECT_EQ(Rules.Routes.front().DeadlineMs, 1500U);
  EXPECT_EQ(Rules.Routes.front().LatencyGoalMs, 600U);
  EXPECT_EQ(Rules.Routes.front().MaxTargets, 2U);
  EXPECT_TRUE(Rules.Routes.front().Idempotent);
  EXPECT_EQ(Rules.Callers.IdleTimeoutMs, 15000U);
  const inventory &Inventory = *State.sharedInventory();
  EXPECT_EQ(Inventory.findAccount("u")->RatePerSecond, 0);
  EXPECT_EQ(Inventory.findAccount("t")->Priority, 1U);
  EXPECT_TRUE(Inventory.findService("d")->DividedByKey);
  EXPECT_EQ(Inventory.findService("s")->ColdRatePerSecond, 2.5);
  EXPECT_EQ(authenticate(State.keys(), Secret, "Bearer k2").Account, "t");
  EXPECT_THROW(authenticate(State.keys(), Secret, "Bearer k4"), pomelo_error);
}

struct kind_case {
  const char *Kind;
  bool Idempotent;
};

class route_kind_in_configuration : public testing::TestWithParam<kind_case> {};

// Guards against a configuration that is refused as a whole because one of its
// routes has a kind that the adapter does not know, as "download" was.
TEST_P(route_kind_in_configuration, decides_whether_requests_may_be_repeated) {
  cluster_state State;
  std::string Route = route("one", "h", "/a/", DefaultFields);
  const std::string Safe = R"("safe")";
  Route.replace(Route.find(Safe), Safe.size(),
                fmt::format(R"("{}")", GetParam().Kind));
  ASSERT_TRUE(applyConfiguration(State, configuration(Route)).accepted());
  EXPECT_EQ(State.sharedRules()->Routes.front().Idempotent,
            GetParam().Idempotent);
}

INSTANTIATE_TEST_SUITE_P(each_kind, route_kind_in_configuration,
                         testing::Values(kind_case{"safe", true},
                                         kind_case{"unsafe", false},
                                         kind_case{"upload", false},
                                         kind_case{"download", true}),
                         [](const auto &Info) { return Info.param.Kind; });

TEST(configuration, changes_nothing_under_a_number_that_is_not_higher) {
  cluster_state State;
  const std::string First =
      configuration(route("one", "h", "/a/", DefaultFields));
  ASSERT_TRUE(applyConfiguration(State, First).accepted());
  for (const std::string_view Version : {"0000000c", "0000000b"}) {
    const std::string Other =
        configuration(route("two", "h", "/b/", DefaultFields), Version);
    EXPECT_TRUE(applyConfiguration(State, Other).accepted());
    EXPECT_EQ(State.configurationSource(), First);
  }
}

struct invalid_case {
  std::string Name;
  std::string Body;
};

void PrintTo(const invalid_case &Case, std::ostream *Out) { *Out << Case.Name; }

class invalid_configuration : public testing::TestWithParam<invalid_case> {};

TEST_P(invalid_configuration, is_refused_and_changes_nothing) {
  cluster_state State;
  bool Accepted = false;
  try {
    Accepted = applyConfiguration(State, GetParam().Body).accepted();
  } catch (const pomelo_error &Refusal) {
    EXPECT_EQ(Refusal.kind(), error_kind::BadRequest);
  }
  EXPECT_FALSE(Accepted);
  EXPECT_EQ(State.configurationNumber(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    each_fault, invalid_configuration,
    testing::Values(
        invalid_case{"cut_short", configuration("").substr(0, 60)},
        invalid_case{"unknown_service",
                     configuration(route("r", "h", "/a/",
                                         R"("service": "x", "timeout_s": 1)"))},
        invalid_case{"same_place",
                     configuration(route("r", "h", "/a/", DefaultFields) + "," +
                                   route("q", "h", "/a/", DefaultFields))},
        invalid_case{"no_time",
                     configuration(route("r", "h", "/a/",
                                         R"("service": "s", "timeout_s": 0)"))},
        invalid_case{
            "too_much_time",
            configuration(route("r", "h", "/a/",
                                R"("service": "s", "timeout_s": 600.5)"))},
        invalid_case{"aim_far_beyond_the_deadline",
                     configuration(route("r", "h", "/a/",
                                         R"("service": "s", "timeout_s": 1,
                                   "target_latency_s": 61)"))},
        invalid_case{"shared_key",
                     configuration(route("r", "h", "/a/", DefaultFields), "01",
                                   R"(["k3"])")},
        invalid_case{
            "unreadable_version",
            configuration(route("r", "h", "/a/", DefaultFields), "xyz")}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo::platform
