//! A replicated state and helpers that apply commands to it.
#ifndef POMELOSWITCH_TESTS_STATE_STATE_FIXTURE_HPP
#define POMELOSWITCH_TESTS_STATE_STATE_FIXTURE_HPP

#include "pomeloswitch/membership/lease_table.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <string>

namespace pomelo {

inline std::string testInventory(unsigned KeySlots) {
  return fmt::format(R"json({{
    "failure_domains": [{{"name": "a", "region": "r"}},
                        {{"name": "b", "region": "r"}}],
    "services": [{{"name": "archive", "divided_by_key": true,
                  "key_slots": {}, "announce_sha256": "{}"}}],
    "client_accounts": [{{"name": "large", "rate_per_s": 10,
                         "burst": 10}}]
  }})json",
                     KeySlots, std::string(64, '0'));
}

inline std::string testRules(unsigned DeadlineMs, unsigned IsolationMs = 0) {
  return fmt::format(R"json({{
    "open_isolation_ms": {},
    "routes": [{{"name": "reports", "path_prefix": "/", "service": "archive",
                "key": {{"from": "path_segment", "segment": 0}},
                "deadline_ms": {}}}]
  }})json",
                     IsolationMs, DeadlineMs);
}

//! A cluster_state whose commands are applied at successive log indexes.
struct test_cluster {
  cluster_state State;

  apply_result apply(const wire::command &Command) {
    return State.apply(State.index() + 1, Command);
  }
  void applyAll(const std::vector<wire::command> &Commands) {
    for (const wire::command &Command : Commands)
      apply(Command);
  }
  apply_result setInventory(const std::string &Json) {
    wire::command Command;
    Command.mutable_set_inventory()->set_json(Json);
    return apply(Command);
  }
  apply_result setRules(const std::string &Json) {
    wire::command Command;
    Command.mutable_set_rules()->set_json(Json);
    return apply(Command);
  }
  void joinHost(const std::string &Id, std::uint64_t Incarnation) {
    wire::command Command;
    Command.mutable_host_joined()->set_host_id(Id);
    Command.mutable_host_joined()->set_incarnation(Incarnation);
    Command.mutable_host_joined()->set_failure_domain("a");
    apply(Command);
  }
  void joinTarget(const target_member &Target) {
    wire::command Command;
    auto *Joined = Command.mutable_target_joined();
    Joined->set_target_id(Target.TargetId);
    Joined->set_incarnation(Target.Incarnation);
    Joined->set_service(Target.Service);
    Joined->set_failure_domain(Target.FailureDomain);
    Joined->set_address(Target.Address);
    Joined->set_slots(Target.Slots);
    Joined->set_connections(Target.Connections);
    Joined->set_checks_fence(Target.ChecksFence);
    apply(Command);
  }
  void loseTarget(const std::string &Id, std::uint64_t Incarnation) {
    wire::command Command;
    Command.mutable_target_left()->set_target_id(Id);
    Command.mutable_target_left()->set_incarnation(Incarnation);
    apply(Command);
  }
  [[nodiscard]] const slot_ownership &slot(std::size_t Number) const {
    return State.sharedSlots("archive")->at(Number);
  }
};

inline target_member testTarget(const std::string &Id,
                                std::uint64_t Incarnation, bool ChecksFence,
                                unsigned Port) {
  target_member Target;
  Target.TargetId = Id;
  Target.Incarnation = Incarnation;
  Target.Service = "archive";
  Target.FailureDomain = "a";
  Target.Address = fmt::format("127.0.0.1:{}", Port);
  Target.Slots = 2;
  Target.Connections = 130;
  Target.ChecksFence = ChecksFence;
  return Target;
}

} // namespace pomelo

#endif
