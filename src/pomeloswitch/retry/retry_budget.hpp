//! Limits the retries that one entry host sends.
#ifndef POMELOSWITCH_RETRY_RETRY_BUDGET_HPP
#define POMELOSWITCH_RETRY_RETRY_BUDGET_HPP

#include "pomeloswitch/settings/entry_settings.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace pomelo {

//! A token bucket for each service. Each request adds a fraction of a token and
//! each retry takes one. The bucket starts full; its size is this host's share
//! of the retries that all entry hosts may send beyond the ratio, at least one.
//! \p EntryHosts is the current number of entry hosts.
class retry_budget {
public:
  explicit retry_budget(retry_limits Limits = {}) : Limits(Limits) {}

  //! Adds the tokens that one request to the service earns.
  void earn(std::string_view Service, std::size_t EntryHosts);
  //! Takes one token for a retry. Returns false if there is none; the retry
  //! must not be sent then.
  bool spend(std::string_view Service, std::size_t EntryHosts);

private:
  [[nodiscard]] double maxTokens(std::size_t EntryHosts) const;
  double &tokensOf(std::string_view Service, std::size_t EntryHosts);

  retry_limits Limits;
  std::map<std::string, double, std::less<>> Tokens; //!< By service.
};

} // namespace pomelo

#endif
