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
  evictExpired(Account, NowMs);
  if (const entry *Earlier = find(Name)) {
    if (Earlier->Phase != phase::Released) {
      if (Earlier->Fingerprint != Claim.fingerprint())
        return {claim_verdict::KeyReused, nullptr};
      return resultForRepeatedClaim(*Earlier, Claimant, NowMs, IsMember);
    }
    if (Earlier->Claimant == Claimant)
      return {};
  } else if (Account.Entries.size() >= Limits.MaxClaimsPerAccount) {
    return {claim_verdict::Full, nullptr};
  }
  entry Entry;
  Entry.Claimant = Claimant;
  Entry.Fingerprint = Claim.fingerprint();
  Entry.DeadlineMs = Claim.deadline_ms();
  Entry.CreatedMs = NowMs;
  insertOrReplace(Account, Name.key_hash(), std::move(Entry));
  return {claim_verdict::Granted, nullptr};
}

//! Returns the result of a claim whose request has been claimed before.
claim_table::result claim_table::resultForRepeatedClaim(
    const entry &Entry, const claimant &Claimant, std::uint64_t NowMs,
    const member_check &IsMember) const {
  if (Entry.Phase == phase::Finished)
    return {claim_verdict::Finished, Entry.Answer};
  if (Entry.Phase == phase::Unknown)
    return {claim_verdict::Unknown, nullptr};
  if (Entry.Claimant == Claimant)
    return {claim_verdict::Granted, nullptr};
  // The claimant reports the outcome at the latest some time after the
  // deadline. A claimant that is no longer a member never reports it.
  constexpr std::uint64_t ReportAllowanceMs = 10000;
  const bool ClaimantLost =
      !IsMember(Entry.Claimant.HostId, Entry.Claimant.Incarnation) ||
      NowMs > Entry.DeadlineMs + ReportAllowanceMs;
  return {ClaimantLost ? claim_verdict::Unknown : claim_verdict::InProgress,
          nullptr};
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
  storeAnswer(Accounts.find(Finish.name().account())->second,
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
  if (Account.Entries.size() >= Limits.MaxClaimsPerAccount)
    return;
  entry Tombstone;
  Tombstone.Claimant = Claimant;
  Tombstone.CreatedMs = NowMs;
  Tombstone.Phase = phase::Released;
  insertOrReplace(Account, Release.name().key_hash(), std::move(Tombstone));
}

claim_table::entry &claim_table::insertOrReplace(account_claims &Account,
                                                 const std::string &KeyHash,
                                                 entry Entry) {
  const auto Earlier = Account.Entries.find(KeyHash);
  if (Earlier != Account.Entries.end())
    erase(Account, Earlier->second.Sequence);
  Entry.Sequence = Account.NextSequence++;
  Account.Order[Entry.Sequence] = KeyHash;
  return Account.Entries[KeyHash] = std::move(Entry);
}

void claim_table::erase(account_claims &Account, std::uint64_t Sequence) {
  dropBody(Account, Sequence);
  const auto Found = Account.Order.find(Sequence);
  Account.Entries.erase(Found->second);
  Account.Order.erase(Found);
}

//! Removes a stored body but keeps the record that the request has run.
void claim_table::dropBody(account_claims &Account, std::uint64_t Sequence) {
  const auto Found = Account.Bodies.find(Sequence);
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

void claim_table::storeAnswer(account_claims &Account,
                              const std::string &KeyHash, entry &Entry,
                              kept_answer Answer) const {
  if (Answer.Body.size() > MaxKeptBodyBytes) {
    Answer.Body.clear();
    Answer.BodyKept = false;
  }
  const std::size_t Bytes = Answer.Body.size();
  Entry.Answer = std::make_shared<const kept_answer>(std::move(Answer));
  if (Bytes == 0)
    return;
  Account.Bodies[Entry.Sequence] = KeyHash;
  Account.BodyBytes += Bytes;
  while (Account.BodyBytes > Limits.MaxBodyBytesPerAccount)
    dropBody(Account, Account.Bodies.begin()->first);
}

//! A claim whose deadline has not passed is never evicted, because its request
//! may still be sent.
bool claim_table::isEvictable(const entry &Entry, std::uint64_t NowMs,
                              std::uint64_t AgeMs) const {
  return Entry.CreatedMs + AgeMs <= NowMs && Entry.DeadlineMs <= NowMs;
}

void claim_table::evictExpired(account_claims &Account,
                               std::uint64_t NowMs) const {
  while (!Account.Order.empty()) {
    const auto &[Sequence, KeyHash] = *Account.Order.begin();
    const bool TableFull = Account.Entries.size() >= Limits.MaxClaimsPerAccount;
    if (!isEvictable(Account.Entries.find(KeyHash)->second, NowMs,
                     TableFull ? Limits.MinRetentionMs : Limits.RetentionMs))
      return;
    erase(Account, Sequence);
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
    for (const auto &[Sequence, KeyHash] : Account.Order) {
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
    entry &Stored = insertOrReplace(Account, KeyHash, std::move(Entry));
    if (Record.has_answer())
      Table.storeAnswer(Account, KeyHash, Stored,
                        toKeptAnswer(Record.answer()));
  }
  return Table;
}

} // namespace pomelo
