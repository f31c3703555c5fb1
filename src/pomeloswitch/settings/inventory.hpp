//! The inventory: services, failure domains and client accounts.
#ifndef POMELOSWITCH_SETTINGS_INVENTORY_HPP
#define POMELOSWITCH_SETTINGS_INVENTORY_HPP

#include <cstdint>
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
  std::string AnnounceSha256; //!< Hash of the targets' credential.
};

struct client_account {
  std::string Name;
  double RatePerSecond = 0;
  double Burst = 0; //!< Requests.
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
