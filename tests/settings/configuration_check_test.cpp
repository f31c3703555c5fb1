#include "pomeloswitch/settings/configuration_check.hpp"

#include <gtest/gtest.h>

#include <ostream>

namespace pomelo {

void PrintTo(const configuration_finding &Finding, std::ostream *Out) {
  *Out << toString(Finding.Severity) << ": " << Finding.Path << ": "
       << Finding.Message;
}

namespace {

using findings = std::vector<configuration_finding>;

constexpr auto Error = finding_severity::Error;
constexpr auto Warning = finding_severity::Warning;
constexpr auto Difference = finding_severity::Difference;

std::string inventoryWith(const std::string &Services) {
  return R"({"failure_domains": [{"name": "a", "region": "r"}],
             "client_accounts": [], "services": [)" +
         Services + "]}";
}

std::string rulesWith(const std::string &Routes) {
  return R"({"routes": [)" + Routes + "]}";
}

//! A route of the service "desk" with further fields.
std::string route(const std::string &Name, const std::string &Prefix,
                  const std::string &Fields = {}) {
  return R"({"name": ")" + Name + R"(", "path_prefix": ")" + Prefix +
         R"(", "service": "desk")" + Fields + "}";
}

const std::string Desk = R"({"name": "desk"})";

struct check_case {
  std::string Name;
  configuration_documents Documents;
  findings Expected;
};

void PrintTo(const check_case &Case, std::ostream *Out) { *Out << Case.Name; }

class configuration_check : public testing::TestWithParam<check_case> {};

// Guards against a faulty configuration that passes, a sound one that is
// reported, and a finding that does not name its field.
TEST_P(configuration_check, reports_exactly_what_is_wrong) {
  EXPECT_EQ(checkConfiguration(GetParam().Documents), GetParam().Expected);
}

check_case routesCase(std::string Name, const std::string &Routes,
                      findings Expected) {
  return {std::move(Name),
          {inventoryWith(Desk), rulesWith(Routes)},
          std::move(Expected)};
}

configuration_finding neverMatches(const std::string &Route,
                                   const std::string &Earlier) {
  return {Warning, "rules.routes." + Route + ".path_prefix",
          "the route can never match: the earlier \"" + Earlier +
              "\" matches all of its requests"};
}

INSTANTIATE_TEST_SUITE_P(
    routes, configuration_check,
    testing::Values(
        routesCase("sound", route("all", "/"), {}),
        routesCase("longer_prefix_after_shorter",
                   route("all", "/") + "," + route("orders", "/orders"),
                   {neverMatches("orders", "all")}),
        routesCase("longer_prefix_first",
                   route("orders", "/orders") + "," + route("all", "/"), {}),
        routesCase("prefix_ends_inside_a_segment",
                   route("order", "/order") + "," + route("orders", "/orders"),
                   {}),
        routesCase("prefix_with_slash_leaves_the_folder_itself",
                   route("in", "/a/") + "," + route("itself", "/a"), {}),
        routesCase("other_host_first",
                   route("one", "/", R"(, "host": "one")") + "," +
                       route("two", "/", R"(, "host": "two")"),
                   {}),
        routesCase("any_host_first",
                   route("any", "/") + "," +
                       route("one", "/x", R"(, "host": "one")"),
                   {neverMatches("one", "any")}),
        routesCase("same_host_in_other_case",
                   route("one", "/", R"(, "host": "One")") + "," +
                       route("two", "/x", R"(, "host": "oNE")"),
                   {neverMatches("two", "one")}),
        routesCase("other_method_first",
                   route("read", "/", R"(, "methods": ["GET"])") + "," +
                       route("write", "/", R"(, "methods": ["GET", "PUT"])"),
                   {}),
        routesCase("all_methods_after_some",
                   route("read", "/", R"(, "methods": ["GET", "POST"])") + "," +
                       route("rest", "/"),
                   {}),
        routesCase("methods_matched_by_two_routes",
                   route("read", "/", R"(, "methods": ["GET"])") + "," +
                       route("write", "/", R"(, "methods": ["PUT"])") + "," +
                       route("both", "/x", R"(, "methods": ["PUT", "GET"])"),
                   {neverMatches("both", "read\", \"write")}),
        routesCase("host_with_port", route("all", "/", R"(, "host": "a:80")"),
                   {{Warning, "rules.routes.all.host",
                     "the route can never match: hosts are compared without a "
                     "port"}}),
        routesCase("path_with_query", route("all", "/a?b=c"),
                   {{Warning, "rules.routes.all.path_prefix",
                     "the route can never match: paths are compared without a "
                     "query"}}),
        routesCase("deadline_below_aim",
                   route("all", "/", R"(, "deadline_ms": 499, "aim_ms": 500)"),
                   {{Warning, "rules.routes.all.deadline_ms",
                     "the deadline of 499 ms is below the aim of 500 ms"}}),
        routesCase("deadline_equals_aim",
                   route("all", "/", R"(, "deadline_ms": 500, "aim_ms": 500)"),
                   {}),
        routesCase("weights_sum_to_zero",
                   R"({"name": "all", "path_prefix": "/", "split": [
                        {"service": "desk", "weight": 0}]})",
                   {{Error, "rules.routes.all.split",
                     "no part has a weight above 0"}}),
        routesCase("unknown_service",
                   R"({"name": "all", "path_prefix": "/", "service": "x"})",
                   {{Error, "rules.routes.all.service",
                     "the inventory has no service \"x\""}})),
    [](const auto &Info) { return Info.param.Name; });

INSTANTIATE_TEST_SUITE_P(
    services, configuration_check,
    testing::Values(
        check_case{"without_a_route",
                   {inventoryWith(Desk + R"(, {"name": "spare"})"),
                    rulesWith(route("all", "/"))},
                   {{Warning, "inventory.services.spare",
                     "no route sends requests to the service"}}},
        check_case{"with_weight_zero_only",
                   {inventoryWith(Desk + R"(, {"name": "spare"})"),
                    rulesWith(R"({"name": "all", "path_prefix": "/", "split": [
                        {"service": "desk", "weight": 1},
                        {"service": "spare", "weight": 0}]})")},
                   {{Warning, "inventory.services.spare",
                     "no route sends requests to the service"}}},
        check_case{
            "twice",
            {inventoryWith(Desk + "," + Desk), rulesWith(route("all", "/"))},
            {{Error, "inventory.services", "\"desk\" appears twice"}}}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against an unreadable document that hides the faults of the other.
TEST(unreadable_configuration, errors_of_both_documents_are_reported) {
  const findings Findings = checkConfiguration({"{", "[]"});
  ASSERT_EQ(Findings.size(), 2U);
  EXPECT_EQ(Findings[0].Severity, Error);
  EXPECT_EQ(Findings[0].Path, "inventory");
  EXPECT_EQ(Findings[0].Message.rfind("not JSON: ", 0), 0U)
      << Findings[0].Message;
  EXPECT_EQ(Findings[1].Severity, Error);
  EXPECT_EQ(Findings[1].Path, "rules");
}

struct comparison_case {
  std::string Name;
  std::string EarlierRoutes;
  std::string Routes;
  findings Expected;
};

void PrintTo(const comparison_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class configuration_comparison
    : public testing::TestWithParam<comparison_case> {};

// Guards against a change that an operator would send without seeing it.
TEST_P(configuration_comparison, reports_each_changed_field) {
  const comparison_case &Case = GetParam();
  EXPECT_EQ(compareConfigurations(
                {inventoryWith(Desk), rulesWith(Case.Routes)},
                {inventoryWith(Desk), rulesWith(Case.EarlierRoutes)}),
            Case.Expected);
}

const std::string RouteA = route("a", "/a");
const std::string RouteB = route("b", "/b");

INSTANTIATE_TEST_SUITE_P(
    each, configuration_comparison,
    testing::Values(
        comparison_case{"same", RouteA, RouteA, {}},
        comparison_case{"changed_field",
                        route("a", "/a", R"(, "deadline_ms": 1)"),
                        route("a", "/a", R"(, "deadline_ms": 2)"),
                        {{Difference, "rules.routes.a.deadline_ms",
                          "changed from 1 to 2"}}},
        comparison_case{
            "added_field",
            RouteA,
            route("a", "/a", R"(, "idempotent": true)"),
            {{Difference, "rules.routes.a.idempotent", "added: true"}}},
        comparison_case{"changed_list",
                        route("a", "/a", R"(, "methods": ["GET"])"),
                        route("a", "/a", R"(, "methods": ["PUT"])"),
                        {{Difference, "rules.routes.a.methods",
                          R"(changed from ["GET"] to ["PUT"])"}}},
        comparison_case{
            "removed_route",
            RouteA + "," + RouteB,
            RouteA,
            {{Difference, "rules.routes.b",
              R"(removed: {"name":"b","path_prefix":"/b","service":"desk"})"}}},
        comparison_case{"order",
                        RouteA + "," + RouteB,
                        RouteB + "," + RouteA,
                        {{Difference, "rules.routes",
                          "the order changed from a, b to b, a"}}}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a broken earlier document that passes as "no differences".
TEST(unreadable_configuration, earlier_text_that_is_not_json_is_an_error) {
  const findings Findings = compareConfigurations({"{}", "{}"}, {"{}", "{"});
  ASSERT_EQ(Findings.size(), 1U);
  EXPECT_EQ(Findings[0].Severity, Error);
  EXPECT_EQ(Findings[0].Path, "earlier rules");
}

} // namespace
} // namespace pomelo
