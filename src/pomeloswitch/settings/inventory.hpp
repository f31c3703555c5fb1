//! The inventory: services, failure domains and client accounts.
#ifndef POMELOSWITCH_SETTINGS_INVENTORY_HPP
#define POMELOSWITCH_SETTINGS_INVENTORY_HPP

#include "pomeloswitch/settings/key_source.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

struct failure_domain {
  std::string Name;
  std::string Region;
};

struct service {
  std::string Name;
  bool DividedByKey = false;
  std::uint32_t KeySlots = 0; //!< Slots of the key space; 0 if not divided.
  //! Keys are the numbers below this, and neighbours share a slot; 0 for keys
  //! of any text, which are spread by their hash.
  std::uint32_t KeySpace = 0;
  key_source Key; //!< For routes that do not name a source of their own.
  //! Hash of the targets' credential; empty if none may announce itself.
  std::string AnnounceSha256;
  //! Connections that each target accepts from all entry hosts together, where
  //! it does not tell itself.
  std::uint32_t Connections = 1;
  //! Requests a second that a cold target bears from all entry hosts together;
  //! 0 if cold targets are like others.
  double ColdRatePerSecond = 0;
};

struct client_account {
  std::string Name;
  double RatePerSecond = 0; //!< 0 for no limit.
  double Burst = 0;         //!< Requests.
  //! Rank of its requests, 0 the most urgent; where set, it goes before the
  //! route's.
  std::optional<std::uint32_t> Priority;
};

struct inventory {
  std::vector<failure_domain> FailureDomains;
  std::vector<service> Services;
  std::vector<client_account> ClientAccounts;

  [[nodiscard]] const service *findService(std::string_view Name) const;
  [[nodiscard]] const client_account *findAccount(std::string_view Name) const;
  [[nodiscard]] const failure_domain *
  findFailureDomain(std::string_view Name) const;
};

//! \throws pomelo_error InvalidChange naming the field.
inventory parseInventory(std::string_view Text);

} // namespace pomelo

#endif
