//! Faults of a proxy route and their JSON representation.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_ROUTE_FAULTS_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_ROUTE_FAULTS_HPP

#include "fault_proxy/shared_link.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace pomelo::fault_proxy {

//! Faults of one direction. A default-constructed object forwards without
//! faults.
struct direction_faults {
  std::chrono::milliseconds Delay{0}; //!< Delay of each chunk.
  bool Blocked = false;               //!< Forwards nothing while set.
  std::uint64_t BytesPerSecond = 0;   //!< 0 for no limit.
  //! Bytes of a connection after which both ends are closed; 0 for never.
  std::uint64_t CloseAfterBytes = 0;
  //! Bytes of a connection after which both ends are reset; 0 for never.
  std::uint64_t ResetAfterBytes = 0;
  //! Carries the bytes of this direction beside those of other connections;
  //! null for no such limit. Set by programs only: JSON has no field for it.
  std::shared_ptr<shared_link> Link = nullptr;
};

struct route_faults {
  //! Resets open connections, and new ones right after they are accepted.
  bool Cut = false;
  direction_faults ToUpstream;
  direction_faults ToClient;
};

//! Returns faults that block both directions while open connections stay open
//! and new ones are accepted.
route_faults blockBothDirections();

//! Reads {"cut": bool, "to_upstream": {...}, "to_client": {...}} with the
//! fields delay_ms, blocked, bytes_per_s, close_after_bytes and
//! reset_after_bytes; a missing field has its default.
//! \throws pomelo_error BadRequest on an unknown field or a wrong type.
route_faults parseFaults(const boost::json::object &Object);

boost::json::object describeFaults(const route_faults &Faults);

} // namespace pomelo::fault_proxy

#endif
