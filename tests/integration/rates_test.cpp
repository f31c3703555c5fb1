#include "emulator/deployment.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <thread>

namespace pomelo::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr double RatePerSecond = 200;
constexpr double Burst = 100;
constexpr seconds LoadTime{6};
//! Longest time between an admission and the target's journal entry, seconds.
constexpr double JournalDelay = 0.25;

std::string inventory() {
  auto Inventory =
      boost::json::parse(standardInventory({"a", "b", "c"})).as_object();
  boost::json::array Accounts;
  for (const char *Name : {"greedy", "modest"})
    Accounts.push_back(boost::json::object{
        {"name", Name}, {"rate_per_s", RatePerSecond}, {"burst", Burst}});
  Inventory["client_accounts"] = Accounts;
  return boost::json::serialize(Inventory);
}

deployment_plan plan() {
  deployment_plan Plan;
  Plan.ControlHosts = 3;
  Plan.InventoryJson = inventory();
  for (const std::string Domain : {"a", "b", "c"})
    Plan.Targets.push_back({"registry-" + Domain,
                            "registry",
                            Domain,
                            {"--slots=4", "--queue=100"}});
  return Plan;
}

//! Counts of the answers to one account.
struct call_counts {
  std::atomic<unsigned> Sent{0};
  std::atomic<unsigned> Served{0};
  std::atomic<unsigned> RateExceeded{0};
};

class rates : public testing::Test {
protected:
  void SetUp() override {
    Deployment = deployment::builder().withPlan(plan()).build();
    Addresses = Deployment->callerAddresses();
    for (const std::string Account : {"greedy", "modest"}) {
      Keys[Account] = Deployment->issueKey(Account);
      for (const auto &Address : Addresses)
        ASSERT_TRUE(waitUntil(
            [&] { return send(Address, Account).Status == 200; }, seconds(4)));
    }
  }

  http_answer send(const std::string &Address, const std::string &Account) {
    return call(Address, {"POST",
                          "/certificates",
                          {{"Authorization", "Bearer " + Keys.at(Account)}},
                          {},
                          seconds(2)});
  }

  std::string addressOf(std::size_t Host) {
    const std::lock_guard Lock(Mutex);
    return Addresses[Host];
  }

  //! Sends \p PerSecond requests to each entry host from \p Threads threads.
  void load(const std::string &Account, unsigned Threads, double PerSecond) {
    const auto Interval = std::chrono::duration_cast<steady_clock::duration>(
        std::chrono::duration<double>(Threads / PerSecond));
    for (std::size_t Host = 0; Host < Addresses.size(); ++Host)
      for (unsigned Thread = 0; Thread < Threads; ++Thread)
        Callers.emplace_back([this, Host, Account, Interval] {
          const auto End = steady_clock::now() + LoadTime;
          for (auto Due = steady_clock::now(); Due < End; Due += Interval) {
            std::this_thread::sleep_until(Due);
            count(send(addressOf(Host), Account), Counts[Account]);
          }
        });
  }

  static void count(const http_answer &Answer, call_counts &Counts) {
    ++Counts.Sent;
    Counts.Served += Answer.Status == 200 ? 1 : 0;
    Counts.RateExceeded += Answer.Status == 429 ? 1 : 0;
  }

  void finish() {
    for (std::thread &Caller : Callers)
      Caller.join();
    for (const auto &[Account, AccountCounts] : Counts)
      fmt::print("{}: sent {}, served {}, rate_exceeded {}\n", Account,
                 AccountCounts.Sent.load(), AccountCounts.Served.load(),
                 AccountCounts.RateExceeded.load());
  }

  //! Start times of the requests of \p Account on all targets, seconds, sorted.
  std::vector<double> startTimes(std::string_view Account) const {
    std::vector<double> Times;
    for (const std::string Domain : {"a", "b", "c"}) {
      std::ifstream File(Deployment->journalOf("registry-" + Domain));
      for (std::string Line; std::getline(File, Line);) {
        const auto Event = boost::json::parse(Line).as_object();
        if (Event.at("event").as_string() == "start" &&
            Event.at("account").as_string() == Account)
          Times.push_back(Event.at("time_us").to_number<double>() / 1e6);
      }
    }
    std::sort(Times.begin(), Times.end());
    return Times;
  }

  //! Lowest level of a token bucket with the account's rate and burst over all
  //! runs; negative if some window exceeded the limit.
  double lowestBucketLevel(std::string_view Account) const {
    const double Size = Burst + RatePerSecond * JournalDelay;
    double Level = Size;
    double Lowest = Size;
    double Last = 0;
    for (const double Time : startTimes(Account)) {
      Level = std::min(Size, Level + RatePerSecond * (Time - Last)) - 1;
      Lowest = std::min(Lowest, Level);
      Last = Time;
    }
    return Lowest;
  }

  std::unique_ptr<deployment> Deployment;
  std::mutex Mutex;
  std::vector<std::string> Addresses;
  std::map<std::string, std::string> Keys;
  std::map<std::string, call_counts> Counts;
  std::vector<std::thread> Callers;
};

TEST_F(rates, account_at_three_times_its_rate_is_held_and_harms_no_other) {
  Counts["greedy"], Counts["modest"];
  load("greedy", 8, RatePerSecond);
  load("modest", 2, RatePerSecond / 6);
  finish();
  const auto Allowed = RatePerSecond * static_cast<double>(LoadTime.count());
  EXPECT_GT(Counts["greedy"].Sent, 2 * Allowed);
  EXPECT_GT(Counts["greedy"].Served, 0.8 * Allowed);
  const std::vector<double> Runs = startTimes("greedy");
  const double Window = Runs.back() - Runs.front() + JournalDelay;
  EXPECT_LE(Runs.size(), RatePerSecond * Window + Burst);
  EXPECT_GE(lowestBucketLevel("greedy"), 0);
  EXPECT_EQ(Counts["modest"].Served, Counts["modest"].Sent);
}

TEST_F(rates, killed_and_restarted_entry_host_mints_nothing) {
  Counts["greedy"], Counts["modest"];
  load("greedy", 8, RatePerSecond);
  load("modest", 2, RatePerSecond / 6);
  const std::size_t Served = Counts["greedy"].Served;
  ASSERT_TRUE(waitUntil([&] { return Counts["greedy"].Served > Served + 300; },
                        seconds(4)));
  Deployment->restart("b-e1");
  {
    const std::lock_guard Lock(Mutex);
    Addresses = Deployment->callerAddresses();
  }
  finish();
  EXPECT_GE(lowestBucketLevel("greedy"), 0);
  EXPECT_EQ(Counts["modest"].RateExceeded, 0U);
}

TEST_F(rates, lost_leader_mints_nothing) {
  Counts["greedy"], Counts["modest"];
  load("greedy", 8, RatePerSecond);
  load("modest", 2, RatePerSecond / 6);
  ASSERT_TRUE(
      waitUntil([&] { return Counts["greedy"].Served > 300; }, seconds(4)));
  const std::string Leader(Deployment->status().at("leader").as_string());
  const unsigned Before = Counts["greedy"].Served;
  Deployment->at(Leader).Process->kill();
  finish();
  EXPECT_GE(lowestBucketLevel("greedy"), 0);
  EXPECT_GT(Counts["greedy"].Served, Before + 100);
}

} // namespace
} // namespace pomelo::emulator
