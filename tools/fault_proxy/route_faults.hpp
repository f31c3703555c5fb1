//! The faults that a proxied route can be given, and their JSON form.
#ifndef POMELOSWITCH_TOOLS_FAULT_PROXY_ROUTE_FAULTS_HPP
#define POMELOSWITCH_TOOLS_FAULT_PROXY_ROUTE_FAULTS_HPP

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>

namespace pomelo::fault_proxy {

//! Faults of one direction. A default object passes everything at once.
struct direction_faults {
  std::chrono::milliseconds Delay{0}; //!< Added to each byte's way.
  bool Blocked = false;               //!< Nothing passes until it is cleared.
  std::uint64_t BytesPerSecond = 0;   //!< 0 for no limit.
  //! Close both ends in order after so many bytes of a connection; 0 for never.
  std::uint64_t CloseAfterBytes = 0;
  //! Reset both ends after so many bytes of a connection; 0 for never.
  std::uint64_t ResetAfterBytes = 0;
};

struct route_faults {
  //! Existing connections are reset, new ones reset right after the accept.
  bool Cut = false;
  direction_faults ToUpstream;
  direction_faults ToClient;
};

//! Faults under which open connections stay open and new ones are accepted,
//! but nothing passes in either direction.
route_faults silentHang();

//! Reads {"cut": bool, "to_upstream": {...}, "to_client": {...}} with the
//! fields delay_ms, blocked, bytes_per_s, close_after_bytes and
//! reset_after_bytes; a missing field has its default.
//! \throws pomelo_error BadRequest on an unknown field or a wrong type.
route_faults parseFaults(const boost::json::object &Object);

boost::json::object describeFaults(const route_faults &Faults);

} // namespace pomelo::fault_proxy

#endif
