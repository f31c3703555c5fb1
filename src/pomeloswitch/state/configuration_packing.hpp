//! Packing of whole configurations in the replicated log.
#ifndef POMELOSWITCH_STATE_CONFIGURATION_PACKING_HPP
#define POMELOSWITCH_STATE_CONFIGURATION_PACKING_HPP

namespace pomelo::wire {
class replace_configuration;
}

namespace pomelo {

//! Compresses the content of \p Change. A configuration goes to every entry
//! host, over links that carry requests as well.
void packConfiguration(wire::replace_configuration &Change);

//! Returns \p Change with its content; one that is not packed is returned as it
//! is. \throws pomelo_error InvalidChange if the content cannot be read.
[[nodiscard]] wire::replace_configuration
unpackConfiguration(const wire::replace_configuration &Change);

} // namespace pomelo

#endif
