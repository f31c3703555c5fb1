//! Divides the rates of client accounts among entry hosts, on the leader.
#ifndef POMELOSWITCH_ADMISSION_RATE_LEDGER_HPP
#define POMELOSWITCH_ADMISSION_RATE_LEDGER_HPP

#include "pomeloswitch/admission/account_ledger.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace pomelo {

//! Answers the quota reports of entry hosts. All grants of a host expire
//! together, one host lease after its last answered heartbeat;
//! membership::lease_table admits a restarted host only after that. Not
//! thread-safe.
class rate_ledger {
public:
  explicit rate_ledger(lease_times Times) : Times(Times) {}

  //! Starts a term as leader. No new grants are made until each registered host
  //! has reported what an earlier leader granted to it, or those grants have
  //! certainly expired. \p Term must differ from that of every earlier leader.
  void startTerm(std::uint64_t Term, mono_time Now);

  //! Answers the report of a registered host. Returns nothing if a later report
  //! has already been answered. The caller must send the answer immediately.
  std::optional<quota_grant> answer(const host_incarnation &Host,
                                    const quota_report &Report,
                                    std::span<const client_account> Accounts,
                                    const entry_map &Registered, mono_time Now);

  //! Answers a token report of a host, which must be a member with a valid
  //! lease, out of the ledgers as they are; renews nothing. Returns nothing if
  //! the latest heartbeat of the host has to be answered first, or a later
  //! report already was. The caller must send the answer immediately.
  std::optional<quota_grant> answerTokens(const host_incarnation &Host,
                                          const quota_report &Report,
                                          mono_time Now);

  //! Returns the ledger of an account, or null if it has none.
  [[nodiscard]] const account_ledger *find(std::string_view Account) const;

private:
  //! State of one run of an entry process.
  struct host_record {
    std::uint64_t Epoch = 0;
    std::uint64_t Sequence = 0;
    mono_time AnsweredAt;
    bool Inherited = false; //!< Its holdings are known in this term.
    //! Accounts of which it may hold something.
    std::set<std::string, std::less<>> HeldAccounts;
  };

  void expireHosts(mono_time Now);
  [[nodiscard]] bool isConfigured(std::span<const client_account> Accounts,
                                  std::size_t HostCount) const;
  void configure(std::span<const client_account> Accounts,
                 std::size_t HostCount, mono_time Now);
  void updateTakeover(const entry_map &Registered, mono_time Now);
  void endTakeover(bool AllReported, mono_time Now);
  void processReport(const host_incarnation &Host, host_record &Record,
                     const quota_report &Report, mono_time Now);
  [[nodiscard]] bool mayGrant(const host_record &Record,
                              const account_ledger &Ledger) const;
  quota_grant grantReported(const host_incarnation &Host, host_record &Record,
                            const quota_report &Report, mono_time Now);
  quota_grant grantAll(const host_incarnation &Host, host_record &Record,
                       const quota_report &Report, mono_time Now);

  lease_times Times;
  std::uint64_t Term = 0;
  std::uint64_t NextGrantOrEpochId = 1; //!< Shared by grants and epochs.
  mono_time TermStartedAt;
  //! Latest time at which a host that reported in this term was answered by an
  //! earlier leader.
  mono_time LastEarlierGrantAt{};
  bool TakeoverDone = false;
  mono_time NextExpiryAt{}; //!< No host expires before it.
  std::map<host_incarnation, host_record> Hosts;
  std::map<std::string, account_ledger, std::less<>> Ledgers;
  std::vector<client_account> ConfiguredAccounts;
  std::size_t ConfiguredHosts = 0;
};

} // namespace pomelo

#endif
