//! Reading and checking JSON documents against a schema.
#ifndef POMELOSWITCH_SETTINGS_JSON_DOCUMENT_HPP
#define POMELOSWITCH_SETTINGS_JSON_DOCUMENT_HPP

#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/json/fwd.hpp>

#include <string>
#include <string_view>

namespace pomelo {

//! What a document is called in messages and which error its faults raise.
struct document_kind {
  std::string_view Name;   //!< For instance "entry settings".
  std::string_view Schema; //!< JSON Schema, draft 7.
  error_kind ErrorKind;    //!< BadSettings or InvalidChange.
};

//! Parses \p Text and checks it against the schema of \p Kind.
//! \throws pomelo_error of Kind.ErrorKind with one line that names the path of
//!         the offending field.
boost::json::value parseDocument(const document_kind &Kind,
                                 std::string_view Text);

//! The content of the file \p Path.
//! \throws pomelo_error BadSettings if it cannot be read.
std::string readFile(const std::string &Path);

//! Refuses a document for a reason that its schema cannot express.
[[noreturn]] void refuseDocument(const document_kind &Kind,
                                 std::string_view FieldPath,
                                 std::string_view Reason);

} // namespace pomelo

#endif
