#include "pomeloswitch/admission/rate_ledger.hpp"

#include <algorithm>

namespace pomelo {

void rate_ledger::startTerm(std::uint64_t NewTerm, mono_time Now) {
  Term = NewTerm;
  TermBegan = Now;
  TakeoverDone = false;
  EarlierGrantAt = {};
  Hosts.clear();
  Ledgers.clear();
}

const account_ledger *rate_ledger::find(std::string_view Account) const {
  const auto Found = Ledgers.find(Account);
  return Found == Ledgers.end() ? nullptr : &Found->second;
}

void rate_ledger::configure(std::span<const client_account> Accounts,
                            std::size_t HostCount, mono_time Now) {
  // An account that is met during the takeover was there before the term.
  const mono_time KnownSince = TakeoverDone ? Now : TermBegan;
  for (const client_account &Account : Accounts) {
    const double Rate = Account.RatePerSecond;
    Ledgers.try_emplace(Account.Name, Rate, Account.Burst, KnownSince)
        .first->second.configure(Rate, Account.Burst, HostCount, Now);
  }
  // What hosts hold of a removed account counts on, should it come back.
  for (auto Entry = Ledgers.begin(); Entry != Ledgers.end();) {
    auto &[Name, Ledger] = *Entry;
    const bool Removed = std::none_of(Accounts.begin(), Accounts.end(),
                                      [&](const client_account &Account) {
                                        return Account.Name == Entry->first;
                                      });
    if (Removed)
      Ledger.configure(0, 0, HostCount, Now);
    const bool Free = Ledger.unused();
    Entry = Removed && Free ? Ledgers.erase(Entry) : std::next(Entry);
  }
}

void rate_ledger::expireHosts(mono_time Now) {
  std::erase_if(Hosts, [&](const auto &Entry) {
    if (Now - Entry.second.AnsweredAt <= Times.withDrift(Times.HostLease))
      return false;
    for (auto &[Name, Ledger] : Ledgers)
      Ledger.expire(Entry.first, Now);
    return true;
  });
}

//! Ends the takeover once no grant of an earlier leader can be unknown.
void rate_ledger::updateTakeover(const entry_map &Registered, mono_time Now) {
  if (TakeoverDone)
    return;
  const bool AllKept =
      std::all_of(Hosts.begin(), Hosts.end(),
                  [](const auto &Entry) { return Entry.second.Inherited; });
  const bool EarlierExpired =
      Now - TermBegan > Times.withDrift(Times.HostLease);
  const bool AllTold = std::all_of(
      Registered.begin(), Registered.end(), [this](const auto &Entry) {
        return Hosts.contains({Entry.first, Entry.second.Incarnation});
      });
  TakeoverDone = AllKept && (AllTold || EarlierExpired);
  if (TakeoverDone)
    endTakeover(AllTold, Now);
}

//! A rate that is shared out begins with an empty bucket, since until now more
//! may have been leased than was known. Of another, nobody got anything between
//! the last grant of an earlier leader and this term's beginning.
void rate_ledger::endTakeover(bool AllTold, mono_time Now) {
  const mono_time Earliest = TermBegan - Times.HostLease;
  const mono_time GapBegan = std::max(EarlierGrantAt, Earliest);
  const milliseconds Gap =
      AllTold ? std::chrono::floor<milliseconds>(TermBegan - GapBegan)
              : milliseconds(0);
  for (auto &[Name, Ledger] : Ledgers)
    if (Ledger.shared())
      Ledger.empty(Now);
    else
      Ledger.credit(std::max(milliseconds(0), Gap), Now);
}

void rate_ledger::learn(const host_run &Host, host_record &Record,
                        const quota_report &Report, mono_time Now) {
  if (Report.Term != Term)
    return;
  if (!Record.Inherited) {
    Record.Inherited = true;
    if (Report.EarlierAnswerAge)
      EarlierGrantAt = std::max(EarlierGrantAt, Now - *Report.EarlierAnswerAge);
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

quota_grant rate_ledger::grantAll(const host_run &Host,
                                  const host_record &Record,
                                  const quota_report &Report, mono_time Now) {
  quota_grant Grant;
  Grant.Term = Term;
  Grant.Epoch = Record.Epoch;
  Grant.KeepHeld = !TakeoverDone || !Record.Inherited;
  // An account that the host no longer reports may still have an earlier
  // grant there, which is taken back.
  for (auto &Entry : Ledgers) {
    account_ledger &Ledger = Entry.second;
    // Of a rate that is not shared out, hosts have nothing but tokens of the
    // earlier leader, and those ended with it or came out of its bucket.
    if (Grant.KeepHeld && (Ledger.shared() || !Record.Inherited))
      continue;
    const bool Reported =
        std::any_of(Report.Accounts.begin(), Report.Accounts.end(),
                    [&](const account_report &Each) {
                      return Each.Account == Entry.first;
                    });
    if (!Reported)
      Ledger.setIdle(Host);
    if (Reported || Ledger.holds(Host))
      Grant.Accounts.push_back(Ledger.grant(Host, Entry.first, NextId, Now));
  }
  return Grant;
}

std::optional<quota_grant>
rate_ledger::answer(const host_run &Host, const quota_report &Report,
                    std::span<const client_account> Accounts,
                    const entry_map &Registered, mono_time Now) {
  expireHosts(Now);
  configure(Accounts, Registered.size(), Now);
  const auto [Found, New] = Hosts.try_emplace(Host);
  host_record &Record = Found->second;
  if (!New && Report.Sequence <= Record.Sequence)
    return std::nullopt;
  if (New)
    Record.Epoch = NextId++;
  Record.Sequence = Report.Sequence;
  Record.AnsweredAt = Now;
  learn(Host, Record, Report, Now);
  updateTakeover(Registered, Now);
  return grantAll(Host, Record, Report, Now);
}

} // namespace pomelo
