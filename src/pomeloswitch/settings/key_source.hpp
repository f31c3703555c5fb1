//! Where a request carries the key that divides its service.
#ifndef POMELOSWITCH_SETTINGS_KEY_SOURCE_HPP
#define POMELOSWITCH_SETTINGS_KEY_SOURCE_HPP

#include "pomeloswitch/settings/json_document.hpp"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelo {

struct key_source {
  enum class place { None, PathSegment, Header, Query };
  place From = place::None;
  std::uint32_t Segment = 0; //!< Index of the path segment, from 0.
  std::string Name;          //!< Header field or query parameter.

  [[nodiscard]] bool none() const { return From == place::None; }
};

//! The schema of a key source.
extern const std::string_view KeySourceSchema;

//! Reads the member "key" of \p Object; none if there is none. \p Path names
//! the object in errors. \throws pomelo_error of the kind's error.
key_source readKeySource(const document_kind &Kind,
                         const boost::json::object &Object,
                         std::string_view Path);

} // namespace pomelo

#endif
