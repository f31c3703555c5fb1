#include "pomeloswitch/admission/host_quota.hpp"
#include "pomeloswitch/admission/rate_ledger.hpp"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> Allocations{0};

} // namespace

// Counts allocations, which admitArrival reports as a counter.
void *operator new(std::size_t Size) {
  Allocations.fetch_add(1, std::memory_order_relaxed);
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }

namespace pomelo {
namespace {

using std::chrono::hours;
using std::chrono::steady_clock;

constexpr double AmpleRate = 1e9;

//! Measures the admission decision for one request, including its clock read.
void admitArrival(benchmark::State &State) {
  host_quota Quota([] {});
  account_bucket &Bucket = Quota.bucket("account");
  const auto Now = steady_clock::now();
  Quota.apply(1, {1, 1, false, {{"account", 1, AmpleRate, AmpleRate}}},
              Now + hours(1), Now);
  const std::uint64_t Before = Allocations;
  std::uint64_t Admitted = 0;
  for (auto Each : State)
    Admitted += Bucket.admitArrival(steady_clock::now()) ? 1 : 0;
  State.counters["allocations"] = static_cast<double>(Allocations - Before);
  State.counters["admitted_part"] =
      static_cast<double>(Admitted) / static_cast<double>(State.iterations());
}
BENCHMARK(admitArrival);

//! Measures the leader's answer to one heartbeat's quota report, by the number
//! of entry hosts.
void answerReport(benchmark::State &State) {
  const auto HostCount = static_cast<std::size_t>(State.range(0));
  rate_ledger Ledger{lease_times()};
  entry_map Registered;
  std::vector<quota_report> Reports(HostCount);
  std::vector<host_incarnation> Hosts;
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    const std::string Id = "e" + std::to_string(Host);
    Registered[Id] = {Id, 1, "a"};
    Hosts.emplace_back(Id, 1);
  }
  std::vector<client_account> Accounts;
  for (unsigned Number = 0; Number < 8; ++Number)
    Accounts.push_back({"account" + std::to_string(Number), 10000, 10000});
  for (quota_report &Report : Reports)
    for (const client_account &Account : Accounts) {
      Report.Accounts.emplace_back();
      Report.Accounts.back().Account = Account.Name;
      Report.Accounts.back().Demand = 100;
    }
  mono_time Now{std::chrono::seconds(1000)};
  Ledger.startTerm(1, Now);
  std::size_t Host = 0;
  std::uint64_t Sequence = 1;
  for (auto Each : State) {
    Now += std::chrono::microseconds(200000 / HostCount);
    Reports[Host].Sequence = Sequence++;
    Reports[Host].Term = 1;
    const auto Grant =
        Ledger.answer(Hosts[Host], Reports[Host], Accounts, Registered, Now);
    if (Grant)
      Reports[Host].Epoch = Grant->Epoch;
    benchmark::DoNotOptimize(Grant);
    Host = (Host + 1) % HostCount;
  }
}
BENCHMARK(answerReport)->Arg(12)->Arg(50)->Arg(200);

} // namespace
} // namespace pomelo

BENCHMARK_MAIN();
