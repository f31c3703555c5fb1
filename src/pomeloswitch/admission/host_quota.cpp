#include "pomeloswitch/admission/host_quota.hpp"

#include <algorithm>

namespace pomelo {
namespace {

//! Far more leader changes than can happen while an answer is in transit.
constexpr std::size_t MaxFormerTerms = 64;

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

void host_quota::requestTokens() {
  if (!TokensRequested.exchange(true))
    OnShortage();
}

quota_report host_quota::emptyReport(time_point Now) const {
  quota_report Report;
  Report.Term = Term;
  Report.Epoch = Epoch;
  // Rounded down, so that the gap between leaders is never overestimated.
  if (FormerLeaderAnsweredAt)
    Report.EarlierAnswerAge = std::chrono::floor<std::chrono::milliseconds>(
        Now - *FormerLeaderAnsweredAt);
  return Report;
}

quota_report host_quota::report(time_point Now) {
  TokensRequested = false;
  quota_report Report = emptyReport(Now);
  const std::lock_guard Lock(Mutex);
  for (const auto &[Name, Bucket] : Buckets)
    if (!Bucket->isIdle(Now))
      Report.Accounts.push_back(Bucket->report(Now));
  return Report;
}

quota_report host_quota::tokenReport(time_point Now) {
  TokensRequested = false;
  quota_report Report = emptyReport(Now);
  const std::lock_guard Lock(Mutex);
  for (const auto &[Name, Bucket] : Buckets)
    if (!Bucket->askedInVain() && Bucket->hasShortage(Now))
      Report.Accounts.push_back(Bucket->tokenReport(Now));
  return Report;
}

bool host_quota::hasShortage(time_point Now) {
  const std::lock_guard Lock(Mutex);
  return std::any_of(Buckets.begin(), Buckets.end(), [Now](const auto &Entry) {
    return Entry.second->hasShortage(Now);
  });
}

bool host_quota::isFormerTerm(std::uint64_t OtherTerm) const {
  return std::find(FormerTerms.begin(), FormerTerms.end(), OtherTerm) !=
         FormerTerms.end();
}

void host_quota::followLeader(const quota_grant &Grant, time_point Now) {
  const bool NewTerm = Grant.Term != Term;
  if (!NewTerm && Grant.Epoch == Epoch)
    return;
  if (NewTerm) {
    FormerTerms.push_back(Term);
    FormerLeaderAnsweredAt = AnsweredAt;
  }
  if (FormerTerms.size() > MaxFormerTerms)
    FormerTerms.pop_front();
  Term = Grant.Term;
  Epoch = Grant.Epoch;
  for (const auto &[Name, Bucket] : Buckets)
    Bucket->beginEpoch(NewTerm, Now);
}

bool host_quota::apply(std::uint64_t Sequence, const quota_grant &Grant,
                       time_point Until, time_point Now) {
  if (Sequence <= LastSequence || isFormerTerm(Grant.Term))
    return false;
  LastSequence = Sequence;
  const std::lock_guard Lock(Mutex);
  followLeader(Grant, Now);
  AnsweredAt = Now;
  ValidUntil = Until;
  // Accounts that the answer does not name keep what they hold.
  for (const auto &[Name, Bucket] : Buckets)
    Bucket->extend(Until, Now);
  const bool Lowered = applyAccounts(Grant, Now);
  return Lowered || Grant.KeepHeld;
}

bool host_quota::applyTokens(std::uint64_t Sequence, const quota_grant &Grant,
                             time_point Now) {
  if (Sequence <= LastSequence || Grant.Term != Term || Grant.Epoch != Epoch)
    return false;
  LastSequence = Sequence;
  const std::lock_guard Lock(Mutex);
  applyAccounts(Grant, Now);
  return true;
}

//! Returns whether the rate of an account was lowered.
bool host_quota::applyAccounts(const quota_grant &Grant, time_point Now) {
  bool Lowered = false;
  for (const account_grant &Each : Grant.Accounts)
    if (const auto Found = Buckets.find(Each.Account); Found != Buckets.end())
      Lowered |= Found->second->apply(Each, !Grant.KeepHeld, ValidUntil, Now);
  return Lowered;
}

} // namespace pomelo
