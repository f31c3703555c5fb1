//! The leader's division of client accounts' rates among entry hosts.
#ifndef POMELOSWITCH_ADMISSION_RATE_LEDGER_HPP
#define POMELOSWITCH_ADMISSION_RATE_LEDGER_HPP

#include "pomeloswitch/admission/account_ledger.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace pomelo {

//! Answers entry hosts' quota reports. A host's grants run out together, one
//! host lease after its last answered heartbeat; membership::lease_table lets
//! a restarted host in only after that. Not thread-safe.
class rate_ledger {
public:
  explicit rate_ledger(lease_times Times) : Times(Times) {}

  //! Begins a term as leader. Nothing is granted anew before each registered
  //! host has told what an earlier leader granted to it, or that has surely
  //! run out. \p Term differs from every earlier leader's.
  void startTerm(std::uint64_t Term, mono_time Now);

  //! Answers the report of a registered host; nothing if a later one has been
  //! answered already. The caller sends the answer at once.
  std::optional<quota_grant> answer(const host_run &Host,
                                    const quota_report &Report,
                                    std::span<const client_account> Accounts,
                                    const entry_map &Registered, mono_time Now);

  //! Null for an account that no host has reported.
  [[nodiscard]] const account_ledger *find(std::string_view Account) const;

private:
  //! What the ledger knows of one run of an entry process.
  struct host_record {
    std::uint64_t Epoch = 0;
    std::uint64_t Sequence = 0;
    mono_time AnsweredAt;
    bool Inherited = false; //!< It has told what it holds in this term.
  };

  void expireHosts(mono_time Now);
  void configure(std::span<const client_account> Accounts,
                 std::size_t HostCount, mono_time Now);
  void updateTakeover(const entry_map &Registered, mono_time Now);
  void endTakeover(bool AllTold, mono_time Now);
  void learn(const host_run &Host, host_record &Record,
             const quota_report &Report, mono_time Now);
  quota_grant grantAll(const host_run &Host, const host_record &Record,
                       const quota_report &Report, mono_time Now);

  lease_times Times;
  std::uint64_t Term = 0;
  std::uint64_t NextId = 1; //!< Of grants and epochs.
  mono_time TermBegan;
  //! When a host of this term last took over a grant of an earlier leader.
  mono_time EarlierGrantAt{};
  bool TakeoverDone = false;
  std::map<host_run, host_record> Hosts;
  std::map<std::string, account_ledger, std::less<>> Ledgers;
};

} // namespace pomelo

#endif
