#include "pomeloswitch/state/claim_table.hpp"

#include "pomeloswitch_wire/inner.pb.h"

namespace pomelo {

kept_answer toKeptAnswer(const wire::kept_answer &Message) {
  kept_answer Answer;
  Answer.Status = Message.status();
  for (const auto &Field : Message.fields())
    Answer.Fields.emplace_back(Field.name(), Field.value());
  Answer.Body = Message.body();
  Answer.BodyKept = Message.body_kept();
  return Answer;
}

void writeMessage(const kept_answer &Answer, wire::kept_answer &Message) {
  Message.set_status(Answer.Status);
  for (const auto &[Name, Value] : Answer.Fields) {
    auto *Field = Message.add_fields();
    Field->set_name(Name);
    Field->set_value(Value);
  }
  Message.set_body(Answer.Body);
  Message.set_body_kept(Answer.BodyKept);
}

claim_table::claimant claim_table::claimantOf(const wire::claim_name &Name) {
  return {Name.host_id(), Name.incarnation(), Name.number()};
}

claim_table::entry *claim_table::find(const wire::claim_name &Name) {
  const auto Account = Accounts.find(Name.account());
  if (Account == Accounts.end())
    return nullptr;
  const auto Found = Account->second.Entries.find(Name.key_hash());
  return Found == Account->second.Entries.end() ? nullptr : &Found->second;
}

claim_table::result claim_table::claim(const wire::claim_run &Claim,
                                       std::uint64_t NowMs,
                                       const member_check &IsMember) {
  const wire::claim_name &Name = Claim.name();
  const claimant Claimant = claimantOf(Name);
  account_claims &Account = Accounts[Name.account()];
  forgetOld(Account, NowMs);
  if (const entry *Earlier = find(Name)) {
    if (Earlier->Phase != phase::Released) {
      if (Earlier->Fingerprint != Claim.fingerprint())
        return {claim_verdict::Different, nullptr};
      return repeated(*Earlier, Claimant, NowMs, IsMember);
    }
    if (Earlier->Claimant == Claimant)
      return {};
  } else if (Account.Entries.size() >= Limits.PerAccount) {
    return {claim_verdict::Full, nullptr};
  }
  entry Entry;
  Entry.Claimant = Claimant;
  Entry.Fingerprint = Claim.fingerprint();
  Entry.DeadlineMs = Claim.deadline_ms();
  Entry.CreatedMs = NowMs;
  put(Account, Name.key_hash(), std::move(Entry));
  return {claim_verdict::Granted, nullptr};
}

//! The answer to a claim of the same request that was granted before.
claim_table::result claim_table::repeated(const entry &Entry,
                                          const claimant &Claimant,
                                          std::uint64_t NowMs,
                                          const member_check &IsMember) const {
  if (Entry.Phase == phase::Finished)
    return {claim_verdict::Finished, Entry.Answer};
  if (Entry.Phase == phase::Unknown)
    return {claim_verdict::Unknown, nullptr};
  if (Entry.Claimant == Claimant)
    return {claim_verdict::Granted, nullptr};
  // The claimant reports the end of its request some time after the deadline
  // at the latest; a claimant that is gone never will.
  constexpr std::uint64_t ReportAllowanceMs = 10000;
  const bool Lost =
      !IsMember(Entry.Claimant.HostId, Entry.Claimant.Incarnation) ||
      NowMs > Entry.DeadlineMs + ReportAllowanceMs;
  return {Lost ? claim_verdict::Unknown : claim_verdict::InProgress, nullptr};
}

void claim_table::finish(const wire::finish_claim &Finish) {
  entry *Entry = find(Finish.name());
  if (!Entry || Entry->Phase != phase::InProgress ||
      Entry->Claimant != claimantOf(Finish.name()))
    return;
  if (!Finish.has_answer()) {
    Entry->Phase = phase::Unknown;
    return;
  }
  Entry->Phase = phase::Finished;
  keepAnswer(Accounts.find(Finish.name().account())->second,
             Finish.name().key_hash(), *Entry, toKeptAnswer(Finish.answer()));
}

void claim_table::release(const wire::release_claim &Release,
                          std::uint64_t NowMs) {
  const claimant Claimant = claimantOf(Release.name());
  if (entry *Entry = find(Release.name())) {
    if (Entry->Phase == phase::InProgress && Entry->Claimant == Claimant)
      Entry->Phase = phase::Released;
    return;
  }
  account_claims &Account = Accounts[Release.name().account()];
  if (Account.Entries.size() >= Limits.PerAccount)
    return;
  entry Mark;
  Mark.Claimant = Claimant;
  Mark.CreatedMs = NowMs;
  Mark.Phase = phase::Released;
  put(Account, Release.name().key_hash(), std::move(Mark));
}

claim_table::entry &claim_table::put(account_claims &Account,
                                     const std::string &KeyHash, entry Entry) {
  const auto Earlier = Account.Entries.find(KeyHash);
  if (Earlier != Account.Entries.end())
    erase(Account, Earlier->second.Place);
  Entry.Place = Account.NextPlace++;
  Account.Order[Entry.Place] = KeyHash;
  return Account.Entries[KeyHash] = std::move(Entry);
}

void claim_table::erase(account_claims &Account, std::uint64_t Place) {
  dropBody(Account, Place);
  const auto Found = Account.Order.find(Place);
  Account.Entries.erase(Found->second);
  Account.Order.erase(Found);
}

//! Forgets a kept body; that the request has run stays known.
void claim_table::dropBody(account_claims &Account, std::uint64_t Place) {
  const auto Found = Account.Bodies.find(Place);
  if (Found == Account.Bodies.end())
    return;
  entry &Entry = Account.Entries.find(Found->second)->second;
  kept_answer Shortened = *Entry.Answer;
  Account.BodyBytes -= Shortened.Body.size();
  Shortened.Body.clear();
  Shortened.BodyKept = false;
  Entry.Answer = std::make_shared<const kept_answer>(std::move(Shortened));
  Account.Bodies.erase(Found);
}

void claim_table::keepAnswer(account_claims &Account,
                             const std::string &KeyHash, entry &Entry,
                             kept_answer Answer) const {
  if (Answer.Body.size() > MaxKeptBody) {
    Answer.Body.clear();
    Answer.BodyKept = false;
  }
  const std::size_t Bytes = Answer.Body.size();
  Entry.Answer = std::make_shared<const kept_answer>(std::move(Answer));
  if (Bytes == 0)
    return;
  Account.Bodies[Entry.Place] = KeyHash;
  Account.BodyBytes += Bytes;
  while (Account.BodyBytes > Limits.BodyBytesPerAccount)
    dropBody(Account, Account.Bodies.begin()->first);
}

//! A request that may still be sent is never forgotten.
bool claim_table::evictable(const entry &Entry, std::uint64_t NowMs,
                            std::uint64_t AgeMs) const {
  return Entry.CreatedMs + AgeMs <= NowMs && Entry.DeadlineMs <= NowMs;
}

void claim_table::forgetOld(account_claims &Account,
                            std::uint64_t NowMs) const {
  while (!Account.Order.empty()) {
    const auto &[Place, KeyHash] = *Account.Order.begin();
    const bool Many = Account.Entries.size() >= Limits.PerAccount;
    if (!evictable(Account.Entries.find(KeyHash)->second, NowMs,
                   Many ? Limits.KeptAtLeastMs : Limits.KeptMs))
      return;
    erase(Account, Place);
  }
}

std::size_t claim_table::size() const {
  std::size_t Count = 0;
  for (const auto &[Name, Account] : Accounts)
    Count += Account.Entries.size();
  return Count;
}

void claim_table::writeTo(wire::state_snapshot &Snapshot) const {
  for (const auto &[AccountName, Account] : Accounts)
    for (const auto &[Place, KeyHash] : Account.Order) {
      const entry &Entry = Account.Entries.find(KeyHash)->second;
      auto *Record = Snapshot.add_claims();
      auto *Name = Record->mutable_name();
      Name->set_account(AccountName);
      Name->set_key_hash(KeyHash);
      Name->set_host_id(Entry.Claimant.HostId);
      Name->set_incarnation(Entry.Claimant.Incarnation);
      Name->set_number(Entry.Claimant.Number);
      Record->set_fingerprint(Entry.Fingerprint);
      Record->set_deadline_ms(Entry.DeadlineMs);
      Record->set_created_ms(Entry.CreatedMs);
      Record->set_phase(static_cast<std::uint32_t>(Entry.Phase));
      if (Entry.Answer)
        writeMessage(*Entry.Answer, *Record->mutable_answer());
    }
}

claim_table claim_table::readFrom(const wire::state_snapshot &Snapshot) {
  claim_table Table;
  for (const auto &Record : Snapshot.claims()) {
    account_claims &Account = Table.Accounts[Record.name().account()];
    entry Entry;
    Entry.Claimant = claimantOf(Record.name());
    Entry.Fingerprint = Record.fingerprint();
    Entry.DeadlineMs = Record.deadline_ms();
    Entry.CreatedMs = Record.created_ms();
    Entry.Phase = static_cast<phase>(Record.phase());
    const std::string &KeyHash = Record.name().key_hash();
    entry &Kept = put(Account, KeyHash, std::move(Entry));
    if (Record.has_answer())
      Table.keepAnswer(Account, KeyHash, Kept, toKeptAnswer(Record.answer()));
  }
  return Table;
}

} // namespace pomelo
