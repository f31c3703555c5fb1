//! Parsing JSON documents and validating them against a schema.
#ifndef POMELOSWITCH_SETTINGS_JSON_DOCUMENT_HPP
#define POMELOSWITCH_SETTINGS_JSON_DOCUMENT_HPP

#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/json/fwd.hpp>

#include <string>
#include <string_view>

namespace pomelo {

//! The name, schema and error kind of a type of document.
struct document_kind {
  std::string_view Name;   //!< In error messages: "entry settings".
  std::string_view Schema; //!< JSON Schema, draft 7.
  error_kind ErrorKind;    //!< BadSettings or InvalidChange.
};

//! Parses \p Text and validates it against the schema of \p Kind.
//! \throws pomelo_error of Kind.ErrorKind if \p Text is not JSON or not valid;
//!         the message is one line with the path of the invalid field.
boost::json::value parseDocument(const document_kind &Kind,
                                 std::string_view Text);

//! Returns the content of the file \p Path.
//! \throws pomelo_error BadSettings if it cannot be read.
std::string readFile(const std::string &Path);

//! Reports an invalid field, for checks that a schema cannot express.
//! \throws pomelo_error of Kind.ErrorKind; the message has the document's name,
//!         \p FieldPath and \p Reason.
[[noreturn]] void refuseDocument(const document_kind &Kind,
                                 std::string_view FieldPath,
                                 std::string_view Reason);

} // namespace pomelo

#endif
