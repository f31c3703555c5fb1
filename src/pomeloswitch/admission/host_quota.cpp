#include "pomeloswitch/admission/host_quota.hpp"

#include <algorithm>

namespace pomelo {
namespace {

constexpr std::chrono::milliseconds AskInterval{20};
//! Far more leaders than can change while an answer is under way.
constexpr std::size_t MaxLeftTerms = 64;

} // namespace

account_bucket &host_quota::bucket(std::string_view Account) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Buckets.find(Account);
  if (Found != Buckets.end())
    return *Found->second;
  std::string Name(Account);
  auto Bucket = std::make_unique<account_bucket>(Name);
  return *Buckets.emplace(std::move(Name), std::move(Bucket)).first->second;
}

void host_quota::askForMore(time_point Now) {
  auto Before = AskedAt.load(std::memory_order_relaxed);
  const auto NowCount = Now.time_since_epoch().count();
  if (NowCount - Before < time_point::duration(AskInterval).count())
    return;
  if (AskedAt.compare_exchange_strong(Before, NowCount))
    OnShortage();
}

quota_report host_quota::report(time_point Now) {
  quota_report Report;
  Report.Term = Term;
  Report.Epoch = Epoch;
  // Rounded down, so that the gap between leaders never looks longer.
  if (EarlierAnsweredAt)
    Report.EarlierAnswerAge =
        std::chrono::floor<std::chrono::milliseconds>(Now - *EarlierAnsweredAt);
  const std::lock_guard Lock(Mutex);
  for (const auto &[Name, Bucket] : Buckets)
    if (!Bucket->idle(Now))
      Report.Accounts.push_back(Bucket->report(Now));
  return Report;
}

bool host_quota::leftBefore(std::uint64_t OtherTerm) const {
  return std::find(LeftTerms.begin(), LeftTerms.end(), OtherTerm) !=
         LeftTerms.end();
}

void host_quota::follow(const quota_grant &Grant, time_point Now) {
  const bool NewTerm = Grant.Term != Term;
  if (!NewTerm && Grant.Epoch == Epoch)
    return;
  if (NewTerm) {
    LeftTerms.push_back(Term);
    EarlierAnsweredAt = AnsweredAt;
  }
  if (LeftTerms.size() > MaxLeftTerms)
    LeftTerms.pop_front();
  Term = Grant.Term;
  Epoch = Grant.Epoch;
  for (const auto &[Name, Bucket] : Buckets)
    Bucket->beginEpoch(NewTerm, Now);
}

bool host_quota::apply(std::uint64_t Sequence, const quota_grant &Grant,
                       time_point Until, time_point Now) {
  if (Sequence <= LastSequence || leftBefore(Grant.Term))
    return false;
  LastSequence = Sequence;
  const std::lock_guard Lock(Mutex);
  follow(Grant, Now);
  AnsweredAt = Now;
  // What the answer does not name goes on as it is.
  for (const auto &[Name, Bucket] : Buckets)
    Bucket->extend(Until, Now);
  bool Changed = Grant.KeepHeld;
  for (const account_grant &Each : Grant.Accounts) {
    const auto Found = Buckets.find(Each.Account);
    if (Found == Buckets.end())
      continue;
    Changed =
        Found->second->apply(Each, !Grant.KeepHeld, Until, Now) || Changed;
  }
  return Changed;
}

} // namespace pomelo
