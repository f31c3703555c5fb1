#include "pomeloswitch/retry/retry_budget.hpp"

#include <algorithm>

namespace pomelo {
namespace {

//! Fraction of the limits that the hosts use. The rest keeps the total within
//! the limits when the load is uneven across hosts.
constexpr double SafetyFactor = 0.8;

} // namespace

double retry_budget::maxTokens(std::size_t EntryHosts) const {
  return std::max(
      1.0, SafetyFactor * Limits.Burst /
               static_cast<double>(std::max<std::size_t>(1, EntryHosts)));
}

double &retry_budget::tokensOf(std::string_view Service,
                               std::size_t EntryHosts) {
  const auto Found = Tokens.find(Service);
  if (Found != Tokens.end())
    return Found->second;
  return Tokens.emplace(Service, maxTokens(EntryHosts)).first->second;
}

void retry_budget::earn(std::string_view Service, std::size_t EntryHosts) {
  double &Balance = tokensOf(Service, EntryHosts);
  Balance =
      std::min(maxTokens(EntryHosts), Balance + SafetyFactor * Limits.Ratio);
}

bool retry_budget::spend(std::string_view Service, std::size_t EntryHosts) {
  double &Balance = tokensOf(Service, EntryHosts);
  if (Balance < 1)
    return false;
  Balance -= 1;
  return true;
}

} // namespace pomelo
