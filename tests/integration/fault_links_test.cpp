#include "emulator/deployment.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace pomelo::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! The control host and the only target are in domain a.
deployment_plan proxiedPlan() {
  deployment_plan Plan;
  Plan.FailureDomains = {"a", "b"};
  Plan.FaultProxy = true;
  Plan.Targets = {{"registry-a", "registry", "a", {}}};
  return Plan;
}

class fault_links_of_a_deployment : public testing::Test {
protected:
  static void SetUpTestSuite() {
    Deployment = deployment::builder().withPlan(proxiedPlan()).build();
  }
  static void TearDownTestSuite() { Deployment.reset(); }

  static http_answer get(const std::string &EntryId) {
    return call(std::string(Deployment->at(EntryId)
                                .Description.at("caller_address")
                                .as_string()),
                {"GET", "/public/info", {}, {}, milliseconds(500)});
  }

  static bool ready(const std::string &EntryId) {
    const std::string Ops(
        Deployment->at(EntryId).Description.at("ops_address").as_string());
    return call(Ops, {"GET", "/readyz", {}, {}, milliseconds(500)}).Status ==
           200;
  }

  //! Checks readiness as a load balancer does: hosts that are not ready get no
  //! requests.
  static bool serves(const std::string &EntryId) {
    return ready(EntryId) && get(EntryId).Status == 200;
  }

  //! Waits until the entry host serves, or stops serving if not \p Served.
  static bool waitForServing(const std::string &EntryId, bool Served) {
    return waitUntil([&] { return serves(EntryId) == Served; }, seconds(10));
  }

  static inline std::unique_ptr<deployment> Deployment;
};

struct cut_case {
  std::string Name;
  cut_kind Kind;
};

void PrintTo(const cut_case &Case, std::ostream *Out) { *Out << Case.Name; }

class domain_cut : public fault_links_of_a_deployment,
                   public testing::WithParamInterface<cut_case> {};

TEST_P(domain_cut, separates_the_domain_until_it_is_healed) {
  ASSERT_TRUE(waitForServing("b-e1", true));
  Deployment->links().cutDomain("b", GetParam().Kind);
  EXPECT_TRUE(waitForServing("b-e1", false));
  const http_answer Uncut = get("a-e1");
  EXPECT_EQ(Uncut.Status, 200) << Uncut.Failure;
  // Cut from the control host too, not just from the target.
  EXPECT_TRUE(waitUntil([] { return !ready("b-e1"); }, seconds(10)));
  EXPECT_TRUE(ready("a-e1"));
  Deployment->links().heal();
  EXPECT_TRUE(waitForServing("b-e1", true));
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, domain_cut,
    testing::Values(cut_case{"silent", cut_kind::Silent},
                    cut_case{"reset", cut_kind::Reset},
                    cut_case{"outbound", cut_kind::Outbound},
                    cut_case{"inbound", cut_kind::Inbound}));

TEST_F(fault_links_of_a_deployment, still_know_a_restarted_entry_host) {
  const auto Address = Deployment->at("b-e1").Description.at("caller_address");
  Deployment->restart("b-e1");
  EXPECT_EQ(Deployment->at("b-e1").Description.at("caller_address"), Address);
  EXPECT_TRUE(waitForServing("b-e1", true));
  Deployment->links().cutMember("b-e1");
  EXPECT_TRUE(waitForServing("b-e1", false));
  Deployment->links().heal();
  EXPECT_TRUE(waitForServing("b-e1", true));
}

} // namespace
} // namespace pomelo::emulator
