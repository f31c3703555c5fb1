#include "pomeloswitch/settings/json_document.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include <fstream>
#include <iterator>

namespace pomelo {
namespace {

using json_adapter = valijson::adapters::BoostJsonAdapter;

//! Converts the validator's context ("<root>", "[a]", "[0]") to "a[0]".
std::string fieldPath(const std::vector<std::string> &Context) {
  std::string Path;
  for (const std::string &Element : Context) {
    if (Element == "<root>")
      continue;
    const std::string Name = Element.size() > 2 && Element.front() == '['
                                 ? Element.substr(1, Element.size() - 2)
                                 : Element;
    const bool Index =
        Name.find_first_not_of("0123456789") == std::string::npos;
    if (Index)
      Path += fmt::format("[{}]", Name);
    else
      Path += Path.empty() ? Name : "." + Name;
  }
  return Path.empty() ? "(document)" : Path;
}

//! Returns the most deeply nested error, because its path is the most specific.
valijson::ValidationResults::Error
deepestError(valijson::ValidationResults &Results) {
  valijson::ValidationResults::Error Deepest;
  valijson::ValidationResults::Error Error;
  while (Results.popError(Error))
    if (Deepest.description.empty() ||
        Error.context.size() > Deepest.context.size())
      Deepest = Error;
  return Deepest;
}

} // namespace

void refuseDocument(const document_kind &Kind, std::string_view FieldPath,
                    std::string_view Reason) {
  throw pomelo_error(Kind.ErrorKind,
                     fmt::format("{}: {}: {}", Kind.Name, FieldPath, Reason));
}

boost::json::value parseDocument(const document_kind &Kind,
                                 std::string_view Text) {
  boost::json::error_code Error;
  boost::json::value Document = boost::json::parse(Text, Error);
  if (Error)
    throw pomelo_error(Kind.ErrorKind, fmt::format("{}: not JSON: {}",
                                                   Kind.Name, Error.message()));
  const boost::json::value SchemaDocument = boost::json::parse(Kind.Schema);
  valijson::Schema Schema;
  valijson::SchemaParser Parser;
  Parser.populateSchema(json_adapter(SchemaDocument), Schema);
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  if (!Validator.validate(Schema, json_adapter(Document), &Results)) {
    const auto Deepest = deepestError(Results);
    refuseDocument(Kind, fieldPath(Deepest.context), Deepest.description);
  }
  return Document;
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    throw pomelo_error(error_kind::BadSettings,
                       fmt::format("the file \"{}\" cannot be read", Path));
  return {std::istreambuf_iterator<char>(File), {}};
}

} // namespace pomelo
