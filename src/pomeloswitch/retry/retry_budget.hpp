//! How many second sends one entry host may make.
#ifndef POMELOSWITCH_RETRY_RETRY_BUDGET_HPP
#define POMELOSWITCH_RETRY_RETRY_BUDGET_HPP

#include "pomeloswitch/settings/entry_settings.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace pomelo {

//! Each request of a service earns a part of a second send, up to a cap; each
//! host has its part of the spare ones.
class retry_budget {
public:
  explicit retry_budget(retry_limits Limits = {}) : Limits(Limits) {}

  //! A request for the service has come.
  void earn(std::string_view Service, std::size_t EntryHosts);
  //! Whether a second send may be made now; it is counted.
  bool spend(std::string_view Service, std::size_t EntryHosts);

private:
  [[nodiscard]] double capOf(std::size_t EntryHosts) const;
  double &tokensOf(std::string_view Service, std::size_t EntryHosts);

  retry_limits Limits;
  std::map<std::string, double, std::less<>> Tokens; //!< By service.
};

} // namespace pomelo

#endif
