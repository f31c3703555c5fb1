#include "pomeloswitch/admission/rate_ledger.hpp"

#include <algorithm>
#include <utility>

namespace pomelo {

void rate_ledger::startTerm(std::uint64_t NewTerm, mono_time Now) {
  Term = NewTerm;
  TermStartedAt = Now;
  TakeoverDone = false;
  LastEarlierGrantAt = {};
  NextExpiryAt = {};
  Hosts.clear();
  Ledgers.clear();
  ConfiguredAccounts.clear();
}

const account_ledger *rate_ledger::find(std::string_view Account) const {
  const auto Found = Ledgers.find(Account);
  return Found == Ledgers.end() ? nullptr : &Found->second;
}

bool rate_ledger::isConfigured(std::span<const client_account> Accounts,
                               std::size_t HostCount) const {
  // Ledgers of removed accounts remain until no host holds anything of them.
  return HostCount == ConfiguredHosts && Ledgers.size() == Accounts.size() &&
         std::equal(
             Accounts.begin(), Accounts.end(), ConfiguredAccounts.begin(),
             ConfiguredAccounts.end(),
             [](const client_account &Left, const client_account &Right) {
               return Left.Name == Right.Name &&
                      Left.RatePerSecond == Right.RatePerSecond &&
                      Left.Burst == Right.Burst;
             });
}

void rate_ledger::configure(std::span<const client_account> Accounts,
                            std::size_t HostCount, mono_time Now) {
  if (isConfigured(Accounts, HostCount))
    return;
  ConfiguredAccounts.assign(Accounts.begin(), Accounts.end());
  ConfiguredHosts = HostCount;
  // Accounts first seen during the takeover existed before the term.
  const mono_time FillSince = TakeoverDone ? Now : TermStartedAt;
  for (const client_account &Account : Accounts) {
    const double Rate = Account.RatePerSecond;
    Ledgers.try_emplace(Account.Name, Rate, Account.Burst, FillSince)
        .first->second.configure(Rate, Account.Burst, HostCount, Now);
  }
  // Holdings of a removed account remain counted, in case the account is added
  // again.
  for (auto Entry = Ledgers.begin(); Entry != Ledgers.end();) {
    auto &[Name, Ledger] = *Entry;
    const bool Removed = std::none_of(Accounts.begin(), Accounts.end(),
                                      [&](const client_account &Account) {
                                        return Account.Name == Entry->first;
                                      });
    if (Removed)
      Ledger.configure(0, 0, HostCount, Now);
    const bool Free = Ledger.hasNoHoldings();
    Entry = Removed && Free ? Ledgers.erase(Entry) : std::next(Entry);
  }
}

void rate_ledger::expireHosts(mono_time Now) {
  if (Now <= NextExpiryAt)
    return;
  const milliseconds Lease = Times.withDrift(Times.HostLease);
  NextExpiryAt = Now + Lease;
  std::erase_if(Hosts, [&](const auto &Entry) {
    const mono_time ExpiresAt = Entry.second.AnsweredAt + Lease;
    if (Now <= ExpiresAt) {
      NextExpiryAt = std::min(NextExpiryAt, ExpiresAt);
      return false;
    }
    for (auto &[Name, Ledger] : Ledgers)
      Ledger.expire(Entry.first, Now);
    return true;
  });
}

//! Ends the takeover once all grants of earlier leaders are known or expired.
void rate_ledger::updateTakeover(const entry_map &Registered, mono_time Now) {
  if (TakeoverDone)
    return;
  const bool AllInherited =
      std::all_of(Hosts.begin(), Hosts.end(),
                  [](const auto &Entry) { return Entry.second.Inherited; });
  const bool EarlierGrantsExpired =
      Now - TermStartedAt > Times.withDrift(Times.HostLease);
  const bool AllReported = std::all_of(
      Registered.begin(), Registered.end(), [this](const auto &Entry) {
        return Hosts.contains({Entry.first, Entry.second.Incarnation});
      });
  TakeoverDone = AllInherited && (AllReported || EarlierGrantsExpired);
  if (TakeoverDone)
    endTakeover(AllReported, Now);
}

//! If the rate is divided among hosts, the central bucket starts empty, because
//! more may have been leased than was known so far. Otherwise nothing was
//! granted between the last grant of an earlier leader and the start of this
//! term, and the bucket is credited with that gap.
void rate_ledger::endTakeover(bool AllReported, mono_time Now) {
  const mono_time Earliest = TermStartedAt - Times.HostLease;
  const mono_time GapStartedAt = std::max(LastEarlierGrantAt, Earliest);
  const milliseconds Gap =
      AllReported
          ? std::chrono::floor<milliseconds>(TermStartedAt - GapStartedAt)
          : milliseconds(0);
  for (auto &[Name, Ledger] : Ledgers)
    if (Ledger.isShared())
      Ledger.clearCentralBucket(Now);
    else
      Ledger.creditGap(std::max(milliseconds(0), Gap), Now);
}

void rate_ledger::processReport(const host_incarnation &Host,
                                host_record &Record, const quota_report &Report,
                                mono_time Now) {
  if (Report.Term != Term)
    return;
  if (!Record.Inherited) {
    Record.Inherited = true;
    if (Report.EarlierAnswerAge)
      LastEarlierGrantAt =
          std::max(LastEarlierGrantAt, Now - *Report.EarlierAnswerAge);
    for (const account_report &Account : Report.Accounts)
      if (const auto Ledger = Ledgers.find(Account.Account);
          Ledger != Ledgers.end())
        Ledger->second.inherit(Host, Account);
    return;
  }
  if (Report.Epoch != Record.Epoch)
    return;
  for (const account_report &Account : Report.Accounts)
    if (const auto Ledger = Ledgers.find(Account.Account);
        Ledger != Ledgers.end())
      Ledger->second.acknowledge(Host, Account, Now);
}

//! While a new leader learns what hosts hold, hosts have only tokens of
//! accounts whose rate is not divided: what they hold from the earlier leader
//! became invalid with it or came out of its bucket.
bool rate_ledger::mayGrant(const host_record &Record,
                           const account_ledger &Ledger) const {
  return Record.Inherited && (TakeoverDone || !Ledger.isShared());
}

quota_grant rate_ledger::grantReported(const host_incarnation &Host,
                                       host_record &Record,
                                       const quota_report &Report,
                                       mono_time Now) {
  quota_grant Grant;
  Grant.Term = Term;
  Grant.Epoch = Record.Epoch;
  Grant.KeepHeld = !TakeoverDone || !Record.Inherited;
  for (const account_report &Each : Report.Accounts) {
    const auto Ledger = Ledgers.find(Each.Account);
    if (Ledger == Ledgers.end())
      continue;
    Record.HeldAccounts.insert(Each.Account);
    if (mayGrant(Record, Ledger->second))
      Grant.Accounts.push_back(
          Ledger->second.grant(Host, Each.Account, NextGrantOrEpochId, Now));
  }
  return Grant;
}

//! A host may still hold an earlier grant of an account that it no longer
//! reports; that grant is revoked.
quota_grant rate_ledger::grantAll(const host_incarnation &Host,
                                  host_record &Record,
                                  const quota_report &Report, mono_time Now) {
  const std::set<std::string, std::less<>> HeldBefore =
      std::exchange(Record.HeldAccounts, {});
  quota_grant Grant = grantReported(Host, Record, Report, Now);
  for (const std::string &Account : HeldBefore) {
    const auto Ledger = Ledgers.find(Account);
    if (Record.HeldAccounts.contains(Account) || Ledger == Ledgers.end())
      continue;
    Ledger->second.setIdle(Host);
    if (!Ledger->second.hasHoldings(Host))
      continue;
    Record.HeldAccounts.insert(Account);
    if (mayGrant(Record, Ledger->second))
      Grant.Accounts.push_back(
          Ledger->second.grant(Host, Account, NextGrantOrEpochId, Now));
  }
  return Grant;
}

std::optional<quota_grant>
rate_ledger::answer(const host_incarnation &Host, const quota_report &Report,
                    std::span<const client_account> Accounts,
                    const entry_map &Registered, mono_time Now) {
  expireHosts(Now);
  configure(Accounts, Registered.size(), Now);
  const auto [Found, New] = Hosts.try_emplace(Host);
  host_record &Record = Found->second;
  if (!New && Report.Sequence <= Record.Sequence)
    return std::nullopt;
  if (New)
    Record.Epoch = NextGrantOrEpochId++;
  Record.Sequence = Report.Sequence;
  Record.AnsweredAt = Now;
  processReport(Host, Record, Report, Now);
  updateTakeover(Registered, Now);
  return grantAll(Host, Record, Report, Now);
}

std::optional<quota_grant>
rate_ledger::answerTokens(const host_incarnation &Host,
                          const quota_report &Report, mono_time Now) {
  const auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return std::nullopt;
  host_record &Record = Found->second;
  const bool Expired =
      Now - Record.AnsweredAt > Times.withDrift(Times.HostLease);
  if (Expired || !Record.Inherited || Report.Sequence <= Record.Sequence ||
      Report.Term != Term || Report.Epoch != Record.Epoch)
    return std::nullopt;
  Record.Sequence = Report.Sequence;
  processReport(Host, Record, Report, Now);
  return grantReported(Host, Record, Report, Now);
}

} // namespace pomelo
