//! Claims on requests that must run at most once.
//!
//! A caller identifies its request by an Idempotency-Key. The entry host claims
//! the key in the replicated log before it sends the request to a target, so
//! that every entry host recognises a repetition of the request.
#ifndef POMELOSWITCH_STATE_CLAIM_TABLE_HPP
#define POMELOSWITCH_STATE_CLAIM_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pomelo::wire {
class claim_name;
class claim_run;
class finish_claim;
class kept_answer;
class release_claim;
class state_snapshot;
} // namespace pomelo::wire

namespace pomelo {

//! The answer to a request that has run, stored to answer repetitions.
struct kept_answer {
  std::uint32_t Status = 0;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  bool BodyKept = false; //!< False if the body was too large or evicted.
};

using kept_answer_ptr = std::shared_ptr<const kept_answer>;

kept_answer toKeptAnswer(const wire::kept_answer &Message);
void writeMessage(const kept_answer &Answer, wire::kept_answer &Message);

//! Largest body that is stored with its claim, bytes.
inline constexpr std::size_t MaxKeptBodyBytes = 16 * 1024;

//! The outcome of a claim. The values equal those of
//! wire::claim_result::verdict_kind.
enum class claim_verdict {
  None,       //!< The claim was not applied or was released.
  Granted,    //!< The claimant may run the request.
  InProgress, //!< Another claimant may be running it now.
  Finished,   //!< The request has run; its answer is known.
  Unknown,    //!< The request may have run; its answer is lost.
  KeyReused,  //!< The key was used for a different request.
  Full,       //!< The account has too many recent keys.
};

//! Returns whether this incarnation of the entry host is still a member.
using member_check =
    std::function<bool(std::string_view HostId, std::uint64_t Incarnation)>;

//! Limits on the number, size and age of stored claims.
struct claim_limits {
  //! Age at which a claim may be evicted, ms.
  std::uint64_t RetentionMs = 24 * 3600 * 1000;
  //! Age at which a claim may be evicted once the account has reached
  //! MaxClaimsPerAccount, ms.
  std::uint64_t MinRetentionMs = 3600 * 1000;
  std::size_t MaxClaimsPerAccount = 32768;
  std::size_t MaxBodyBytesPerAccount = std::size_t{4} << 20;
};

//! The claims of all accounts. Part of the replicated state: changes are
//! deterministic, and the time is taken from the log.
class claim_table {
public:
  struct result {
    claim_verdict Verdict = claim_verdict::None;
    kept_answer_ptr Answer; //!< Set if Finished.
  };

  explicit claim_table(claim_limits Limits = {}) : Limits(Limits) {}

  //! Applies a claim. It is granted if the key is unused or an earlier claim to
  //! it was released, and again if the same claim is applied twice while it is
  //! in progress.
  result claim(const wire::claim_run &Claim, std::uint64_t NowMs,
               const member_check &IsMember);
  //! Records the outcome of a claim: the answer, or an unknown outcome if the
  //! message has none. Ignored unless the claim is in progress.
  void finish(const wire::finish_claim &Finish);
  //! Releases a claim in progress. If the key has no claim yet, stores a
  //! tombstone, so that this claim is not granted if it is applied later.
  void release(const wire::release_claim &Release, std::uint64_t NowMs);

  [[nodiscard]] std::size_t size() const;

  void writeTo(wire::state_snapshot &Snapshot) const;
  static claim_table readFrom(const wire::state_snapshot &Snapshot);

private:
  enum class phase : std::uint8_t { InProgress, Finished, Unknown, Released };

  struct claimant {
    std::string HostId;
    std::uint64_t Incarnation = 0;
    std::uint64_t Number = 0;
    bool operator==(const claimant &) const = default;
  };

  struct entry {
    claimant Claimant;
    std::string Fingerprint;
    std::uint64_t DeadlineMs = 0;
    std::uint64_t CreatedMs = 0;
    std::uint64_t Sequence = 0; //!< Key in account_claims::Order.
    phase Phase = phase::InProgress;
    kept_answer_ptr Answer;
  };

  struct account_claims {
    std::map<std::string, entry, std::less<>> Entries;
    //! Key hashes by sequence, oldest first.
    std::map<std::uint64_t, std::string> Order;
    //! The same, only for the entries with a stored body.
    std::map<std::uint64_t, std::string> Bodies;
    std::size_t BodyBytes = 0;
    std::uint64_t NextSequence = 1;
  };

  static claimant claimantOf(const wire::claim_name &Name);
  entry *find(const wire::claim_name &Name);
  result resultForRepeatedClaim(const entry &Entry, const claimant &Claimant,
                                std::uint64_t NowMs,
                                const member_check &IsMember) const;
  static entry &insertOrReplace(account_claims &Account,
                                const std::string &KeyHash, entry Entry);
  static void erase(account_claims &Account, std::uint64_t Sequence);
  static void dropBody(account_claims &Account, std::uint64_t Sequence);
  void storeAnswer(account_claims &Account, const std::string &KeyHash,
                   entry &Entry, kept_answer Answer) const;
  [[nodiscard]] bool isEvictable(const entry &Entry, std::uint64_t NowMs,
                                 std::uint64_t AgeMs) const;
  void evictExpired(account_claims &Account, std::uint64_t NowMs) const;

  claim_limits Limits;
  std::map<std::string, account_claims, std::less<>> Accounts;
};

} // namespace pomelo

#endif
