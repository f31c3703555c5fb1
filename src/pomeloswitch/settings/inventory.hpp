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
  std::uint32_t KeySlots = 0; //!< Number of key slots; 0 if not divided.
  //! If not 0, keys are integers below this number, and contiguous ranges of
  //! them share a slot. If 0, keys are arbitrary strings that are assigned to
  //! slots by their hash.
  std::uint32_t KeySpace = 0;
  key_source Key; //!< For routes without a key source of their own.
  //! SHA-256 of the targets' credential in lower-case hexadecimal; empty if
  //! targets may not announce themselves.
  std::string AnnounceSha256;
  //! Connections that a target accepts from all entry hosts together, unless
  //! its announcement gives another number.
  std::uint32_t Connections = 1;
  //! Maximum rate of requests to a cold target from all entry hosts together;
  //! 0 if cold targets have no limit of their own.
  double ColdRatePerSecond = 0;
};

struct client_account {
  std::string Name;
  double RatePerSecond = 0; //!< 0 for no limit.
  double Burst = 0;         //!< Requests.
  //! Priority of the account's requests, 0 is the most urgent. If set, it
  //! overrides the route's priority.
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

//! \throws pomelo_error InvalidChange if a field is missing or invalid; the
//!         message names the field.
inventory parseInventory(std::string_view Text);

} // namespace pomelo

#endif
