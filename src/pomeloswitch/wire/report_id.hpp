//! Identifier of a target's report in acknowledgements.
#ifndef POMELOSWITCH_WIRE_REPORT_ID_HPP
#define POMELOSWITCH_WIRE_REPORT_ID_HPP

#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <string>

namespace pomelo {

//! Returns "ID#INCARNATION". The incarnation is part of the identifier because
//! two processes with the same target id must not mistake each other's
//! acknowledgement for a renewal of their own lease.
inline std::string reportId(const wire::target_joined &Target) {
  return fmt::format("{}#{}", Target.target_id(), Target.incarnation());
}

} // namespace pomelo

#endif
