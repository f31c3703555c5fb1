//! The name by which a target's report is acknowledged.
#ifndef POMELOSWITCH_WIRE_REPORT_ID_HPP
#define POMELOSWITCH_WIRE_REPORT_ID_HPP

#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>

#include <string>

namespace pomelo {

//! "ID#INCARNATION": two processes under one id must not take each other's
//! acknowledgement for their own lease.
inline std::string reportId(const wire::target_joined &Target) {
  return fmt::format("{}#{}", Target.target_id(), Target.incarnation());
}

} // namespace pomelo

#endif
