//! Claims on requests that must run at most once.
//!
//! A caller names its request with an Idempotency-Key. The entry host claims
//! the name in the replicated log before it sends the request to a target, so
//! that the same request is recognised through any entry host.
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

//! The answer of a request that has run.
struct kept_answer {
  std::uint32_t Status = 0;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  bool BodyKept = false; //!< False where the body was too large.
};

using kept_answer_ptr = std::shared_ptr<const kept_answer>;

kept_answer toKeptAnswer(const wire::kept_answer &Message);
void writeMessage(const kept_answer &Answer, wire::kept_answer &Message);

//! Bodies up to this size are kept with their claims, bytes.
inline constexpr std::size_t MaxKeptBody = 16 * 1024;

//! What a claim was answered; the numbers are those of wire::claim_result.
enum class claim_verdict {
  None,       //!< No claim was applied.
  Granted,    //!< The claimant may run the request.
  InProgress, //!< Another claimant may be running it now.
  Finished,   //!< It has run; its answer is known.
  Unknown,    //!< It may have run; its answer is lost.
  Different,  //!< The name was used for another request.
  Full,       //!< No more names can be remembered at the moment.
};

//! Whether an entry host's incarnation is still a member.
using member_check =
    std::function<bool(std::string_view HostId, std::uint64_t Incarnation)>;

//! How long and how many claims are remembered.
struct claim_limits {
  std::uint64_t KeptMs = 24 * 3600 * 1000;
  //! A claim is kept at least this long where the account has many, ms.
  std::uint64_t KeptAtLeastMs = 3600 * 1000;
  std::size_t PerAccount = 32768;
  std::size_t BodyBytesPerAccount = std::size_t{4} << 20;
};

//! Part of the replicated state: deterministic, time comes in from the log.
class claim_table {
public:
  struct result {
    claim_verdict Verdict = claim_verdict::None;
    kept_answer_ptr Answer; //!< Set if Finished.
  };

  explicit claim_table(claim_limits Limits = {}) : Limits(Limits) {}

  result claim(const wire::claim_run &Claim, std::uint64_t NowMs,
               const member_check &IsMember);
  void finish(const wire::finish_claim &Finish);
  //! Leaves a mark, so that the same claim is not granted if it is applied
  //! later on.
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
    std::uint64_t Place = 0; //!< In the account's order.
    phase Phase = phase::InProgress;
    kept_answer_ptr Answer;
  };

  struct account_claims {
    std::map<std::string, entry, std::less<>> Entries;
    std::map<std::uint64_t, std::string> Order;  //!< Key hashes, oldest first.
    std::map<std::uint64_t, std::string> Bodies; //!< Those with a kept body.
    std::size_t BodyBytes = 0;
    std::uint64_t NextPlace = 1;
  };

  static claimant claimantOf(const wire::claim_name &Name);
  entry *find(const wire::claim_name &Name);
  result repeated(const entry &Entry, const claimant &Claimant,
                  std::uint64_t NowMs, const member_check &IsMember) const;
  static entry &put(account_claims &Account, const std::string &KeyHash,
                    entry Entry);
  static void erase(account_claims &Account, std::uint64_t Place);
  static void dropBody(account_claims &Account, std::uint64_t Place);
  void keepAnswer(account_claims &Account, const std::string &KeyHash,
                  entry &Entry, kept_answer Answer) const;
  [[nodiscard]] bool evictable(const entry &Entry, std::uint64_t NowMs,
                               std::uint64_t AgeMs) const;
  void forgetOld(account_claims &Account, std::uint64_t NowMs) const;

  claim_limits Limits;
  std::map<std::string, account_claims, std::less<>> Accounts;
};

} // namespace pomelo

#endif
