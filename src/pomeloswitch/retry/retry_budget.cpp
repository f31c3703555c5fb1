#include "pomeloswitch/retry/retry_budget.hpp"

#include <algorithm>

namespace pomelo {
namespace {

//! Of what is allowed, so that an uneven load of the hosts stays below it.
constexpr double SafePart = 0.8;

} // namespace

double retry_budget::capOf(std::size_t EntryHosts) const {
  return std::max(
      1.0, SafePart * Limits.Spare /
               static_cast<double>(std::max<std::size_t>(1, EntryHosts)));
}

double &retry_budget::tokensOf(std::string_view Service,
                               std::size_t EntryHosts) {
  const auto Found = Tokens.find(Service);
  if (Found != Tokens.end())
    return Found->second;
  return Tokens.emplace(Service, capOf(EntryHosts)).first->second;
}

void retry_budget::earn(std::string_view Service, std::size_t EntryHosts) {
  double &Held = tokensOf(Service, EntryHosts);
  Held = std::min(capOf(EntryHosts), Held + SafePart * Limits.Ratio);
}

bool retry_budget::spend(std::string_view Service, std::size_t EntryHosts) {
  double &Held = tokensOf(Service, EntryHosts);
  if (Held < 1)
    return false;
  Held -= 1;
  return true;
}

} // namespace pomelo
