#include "pomeloswitch/routing/target_subset.hpp"

#include "pomeloswitch/routing/target_ring.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pomelo {
namespace {

struct size_case {
  std::string Name;
  double RequestsPerSecond;
  std::size_t Targets;
  std::size_t Hosts;
  std::size_t Size;
};

void PrintTo(const size_case &Case, std::ostream *Out) { *Out << Case.Name; }

class size_of_a_subset : public testing::TestWithParam<size_case> {};

// Guards against hosts that meet a target too rarely to know its load, and
// against subsets where they gain nothing.
TEST_P(size_of_a_subset, follows_rate_hosts_and_targets) {
  const size_case &Case = GetParam();
  EXPECT_EQ(subsetSize(Case.RequestsPerSecond, Case.Targets, Case.Hosts),
            Case.Size);
}

INSTANTIATE_TEST_SUITE_P(
    table, size_of_a_subset,
    testing::Values(size_case{"no_targets", 10, 0, 10, 0},
                    size_case{"few_targets", 2, 15, 65, 15},
                    size_case{"few_hosts", 75, 20, 12, 20},
                    size_case{"one_host", 1, 100, 1, 100},
                    size_case{"many_hosts_with_few_requests", 5, 105, 68, 8},
                    size_case{"many_hosts_with_more_requests", 30, 105, 68, 15},
                    size_case{"a_host_with_most_requests", 200, 105, 68, 105},
                    size_case{"fewer_hosts_than_targets", 1, 300, 60, 15}),
    [](const auto &Info) { return Info.param.Name; });

routing_target_ptr makeTarget(unsigned Number, unsigned Domains) {
  auto Target = std::make_shared<routing_target>();
  Target->Member.TargetId = fmt::format("target-{}", Number);
  Target->Member.FailureDomain = fmt::format("domain-{}", Number % Domains);
  return Target;
}

routing_service makeService(unsigned Targets, unsigned Domains = 4) {
  routing_service Service;
  Service.Name = "s";
  for (unsigned Number = 0; Number < Targets; ++Number)
    Service.Targets.push_back(makeTarget(Number, Domains));
  Service.Ring = makeTargetRing(Service.Targets);
  return Service;
}

entry_map makeHosts(unsigned Count) {
  entry_map Hosts;
  for (unsigned Number = 0; Number < Count; ++Number) {
    const std::string Id = fmt::format("host-{}", Number);
    Hosts[Id] = {Id, 1, fmt::format("domain-{}", Number % 4), false};
  }
  return Hosts;
}

bool always(const routing_target &) { return true; }

using id_set = std::set<std::string>;

id_set subsetOf(const routing_service &Service, const entry_map &Hosts,
                const std::string &HostId, std::size_t Size,
                const target_predicates &Predicates = {always, always,
                                                       always}) {
  id_set Ids;
  for (const auto &Target : subsetMembers(Service, ringPosition(Hosts, HostId),
                                          Size, {}, Predicates))
    Ids.insert(Target->Member.TargetId);
  return Ids;
}

struct fleet_case {
  std::string Name;
  unsigned Hosts;
  unsigned Targets;
  std::size_t Size;
};

void PrintTo(const fleet_case &Case, std::ostream *Out) { *Out << Case.Name; }

class subsets_of_a_fleet : public testing::TestWithParam<fleet_case> {
protected:
  const fleet_case &Case = GetParam();
  const routing_service Service = makeService(Case.Targets);
  const entry_map Hosts = makeHosts(Case.Hosts);

  //! Number of hosts that use each target.
  std::map<std::string, unsigned>
  usersOf(const target_predicates &Predicates = {always, always, always}) {
    std::map<std::string, unsigned> Users;
    for (const auto &Target : Service.Targets)
      Users[Target->Member.TargetId] = 0;
    for (const auto &[Id, Host] : Hosts)
      for (const std::string &Target :
           subsetOf(Service, Hosts, Id, Case.Size, Predicates))
        ++Users[Target];
    return Users;
  }
};

// Guards against targets that are in many subsets while others are in few.
TEST_P(subsets_of_a_fleet, use_all_targets_evenly) {
  const unsigned Even =
      static_cast<unsigned>(Case.Hosts * Case.Size / Case.Targets);
  for (const auto &[Target, Users] : usersOf()) {
    EXPECT_GE(Users + 1, Even) << Target;
    EXPECT_LE(Users, Even + 2) << Target;
  }
}

// Guards against hosts without targets, and targets with twice their load, when
// a failure domain is lost.
TEST_P(subsets_of_a_fleet, stay_whole_and_even_without_a_domain) {
  const target_predicates Remaining{[](const routing_target &Target) {
                                      return Target.Member.FailureDomain !=
                                             "domain-0";
                                    },
                                    always, always};
  const double Even =
      static_cast<double>(Case.Hosts * Case.Size) / (0.75 * Case.Targets);
  for (const auto &[Id, Host] : Hosts)
    EXPECT_EQ(subsetOf(Service, Hosts, Id, Case.Size, Remaining).size(),
              Case.Size);
  for (const auto &[Target, Users] : usersOf(Remaining))
    EXPECT_LE(Users, 2 * Even) << Target;
}

// Guards against a change of membership that renews all connections.
TEST_P(subsets_of_a_fleet, keep_most_members_when_one_joins) {
  const entry_map MoreHosts = makeHosts(Case.Hosts + 1);
  const routing_service MoreTargets = makeService(Case.Targets + 1);
  std::size_t Lost = 0;
  for (const auto &[Id, Host] : Hosts) {
    const id_set Before = subsetOf(Service, Hosts, Id, Case.Size);
    for (const id_set &After : {subsetOf(Service, MoreHosts, Id, Case.Size),
                                subsetOf(MoreTargets, Hosts, Id, Case.Size)})
      Lost += static_cast<std::size_t>(std::count_if(
          Before.begin(), Before.end(), [&After](const std::string &Target) {
            return !After.contains(Target);
          }));
  }
  EXPECT_LE(static_cast<double>(Lost) / (2.0 * Case.Hosts), 2);
}

INSTANTIATE_TEST_SUITE_P(table, subsets_of_a_fleet,
                         testing::Values(fleet_case{"even", 64, 128, 8},
                                         fleet_case{"uneven", 68, 105, 8},
                                         fleet_case{"few_targets", 65, 43, 8},
                                         fleet_case{"large", 300, 500, 12}),
                         [](const auto &Info) { return Info.param.Name; });

struct choice_case {
  std::string Name;
  //! Positions on the ring of the targets that are full, not eligible and cold.
  std::set<std::size_t> Full;
  std::set<std::size_t> NotEligible;
  std::set<std::size_t> Cold;
  std::set<std::size_t> MayBeChosen; //!< Empty if none.
};

void PrintTo(const choice_case &Case, std::ostream *Out) { *Out << Case.Name; }

class choice_from_a_subset : public testing::TestWithParam<choice_case> {};

// Guards against requests that wait for a full or lost target while the next of
// the ring is free, and against new targets that get nothing.
TEST_P(choice_from_a_subset, takes_members_with_room_then_the_next) {
  const choice_case &Case = GetParam();
  const routing_service Service = makeService(20, 1);
  const auto NotIn = [&Service](const std::set<std::size_t> &Positions) {
    return [&Service, &Positions](const routing_target &Target) {
      return std::none_of(Positions.begin(), Positions.end(),
                          [&](std::size_t Position) {
                            return Service.Ring[Position].get() == &Target;
                          });
    };
  };
  const target_predicates Predicates{NotIn(Case.NotEligible), NotIn(Case.Cold),
                                     NotIn(Case.Full)};
  const auto Load = [](const routing_target &) { return 1.0; };
  random_engine Random(1);
  std::set<std::size_t> Chosen;
  for (int Play = 0; Play < 200; ++Play) {
    const auto Target =
        chooseFromSubset(Service, 0, 4, {}, Predicates, Load, Random);
    if (Target)
      Chosen.insert(static_cast<std::size_t>(
          std::find(Service.Ring.begin(), Service.Ring.end(), Target) -
          Service.Ring.begin()));
  }
  EXPECT_EQ(Chosen, Case.MayBeChosen);
}

INSTANTIATE_TEST_SUITE_P(
    table, choice_from_a_subset,
    testing::Values(choice_case{"all_free", {}, {}, {}, {0, 1, 2, 3}},
                    choice_case{"one_full", {1}, {}, {}, {0, 2, 3}},
                    choice_case{"all_full", {0, 1, 2, 3}, {}, {}, {4}},
                    choice_case{
                        "too_many_full", {0, 1, 2, 3, 4, 5, 6, 7}, {}, {}, {}},
                    choice_case{"one_lost", {}, {2}, {}, {0, 1, 3, 4}},
                    choice_case{"one_cold", {}, {}, {0}, {0, 1, 2, 3, 4}},
                    choice_case{"half_lost",
                                {},
                                {0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
                                {},
                                {10, 11, 12, 13}}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace pomelo
