//! Configurations as their difference from the one before: most changes are
//! small, and each goes to every entry host, over links that carry requests as
//! well.
#ifndef POMELOSWITCH_STATE_CONFIGURATION_DIFFERENCE_HPP
#define POMELOSWITCH_STATE_CONFIGURATION_DIFFERENCE_HPP

namespace pomelo::wire {
class replace_configuration;
}

namespace pomelo {

class cluster_state;

//! Returns \p Change as its difference from the configuration in force in
//! \p State. \throws pomelo_error InvalidChange if \p Change cannot be read,
//! Internal if it cannot be compressed.
[[nodiscard]] wire::replace_configuration
differenceFrom(const cluster_state &State,
               const wire::replace_configuration &Change);

//! Returns the whole configuration that differenceFrom() was given; a \p Change
//! without a difference is returned as it is. \throws pomelo_error Internal if
//! the difference is damaged or from another configuration than the one in
//! force in \p State.
[[nodiscard]] wire::replace_configuration
restoreFrom(const cluster_state &State,
            const wire::replace_configuration &Change);

} // namespace pomelo

#endif
