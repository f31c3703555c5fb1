//! Where a request contains the key that selects a slot of its service.
#ifndef POMELOSWITCH_SETTINGS_KEY_SOURCE_HPP
#define POMELOSWITCH_SETTINGS_KEY_SOURCE_HPP

#include "pomeloswitch/settings/json_document.hpp"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelo {

struct key_source {
  enum class location { None, PathSegment, Header, Query };
  location From = location::None;
  std::uint32_t Segment = 0; //!< Index of the path segment, from 0.
  std::string Name;          //!< Header field or query parameter.

  [[nodiscard]] bool none() const { return From == location::None; }
};

//! JSON Schema of a key source.
extern const std::string_view KeySourceSchema;

//! Reads the member "key" of \p Object, whose schema must have been checked;
//! returns a source with location None if there is no such member. \p Path is
//! the path of \p Object in error messages.
//! \throws pomelo_error of Kind.ErrorKind if a header or query parameter has no
//!         name.
key_source readKeySource(const document_kind &Kind,
                         const boost::json::object &Object,
                         std::string_view Path);

} // namespace pomelo

#endif
