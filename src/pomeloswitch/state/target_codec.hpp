//! Conversion of targets to and from the inner protocol.
#ifndef POMELOSWITCH_STATE_TARGET_CODEC_HPP
#define POMELOSWITCH_STATE_TARGET_CODEC_HPP

#include "pomeloswitch/state/cluster_state.hpp"

namespace pomelo {

//! Whether the target is leaving and when it joined are not part of the
//! message.
[[nodiscard]] wire::target_joined toMessage(const target_member &Member);
[[nodiscard]] target_member toMember(const wire::target_joined &Joined);

//! Returns the address that \p Text names in the one form by which targets are
//! compared.
//! \throws pomelo_error BadRequest if it is not "IP:port", or if no target can
//!         be called there: port 0 and the unspecified address.
[[nodiscard]] std::string canonicalTargetAddress(std::string_view Text);

} // namespace pomelo

#endif
