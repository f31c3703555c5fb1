//! Default inventory and rules for tests.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_STANDARD_DOCUMENTS_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_STANDARD_DOCUMENTS_HPP

#include <string>
#include <string_view>
#include <vector>

namespace pomelo::emulator {

//! Two services: "archive", partitioned by key into 64 slots, and "registry",
//! not partitioned; accounts "large" and "small" with generous rates.
std::string standardInventory(const std::vector<std::string> &FailureDomains);

//! Routes of standardInventory(): /reports/KEY (archive; GET is idempotent),
//! /certificates (registry, not idempotent) and /public (registry, open to
//! all, idempotent).
std::string standardRules();

//! Credential with which targets of the standard inventory announce themselves.
inline constexpr std::string_view TargetCredential = "target-credential";

} // namespace pomelo::emulator

#endif
