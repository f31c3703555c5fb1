#include "caller/trace.hpp"

#include "pomeloswitch/settings/common_settings.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <fstream>
#include <istream>
#include <ostream>

namespace pomelo::caller {
namespace {

namespace json = boost::json;

constexpr std::string_view LineSchema = R"json({
  "type": "object", "additionalProperties": false,
  "required": ["at_us", "id", "method", "path"],
  "properties": {
    "at_us": {"type": "integer", "minimum": 0},
    "id": {"type": "string", "minLength": 1, "maxLength": 128},
    "account": {"type": "string"},
    "method": {"enum": ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"]},
    "path": {"type": "string", "pattern": "^/"},
    "body_bytes": {"type": "integer", "minimum": 0, "maximum": 1073741824},
    "idempotent": {"type": "boolean"}
  }
})json";

trace_request parseLine(const std::string &Line, std::size_t Number) {
  const std::string Name = fmt::format("trace line {}", Number);
  const json::value Document =
      parseDocument({Name, LineSchema, error_kind::BadSettings}, Line);
  const json::object &Object = Document.as_object();
  trace_request Request;
  Request.At = std::chrono::microseconds(integerField(Object, "at_us", 0));
  Request.Id = stringField(Object, "id");
  Request.Account = stringField(Object, "account");
  Request.Method = stringField(Object, "method");
  Request.Path = stringField(Object, "path");
  Request.BodyBytes =
      static_cast<std::uint64_t>(integerField(Object, "body_bytes", 0));
  Request.Idempotent = boolField(Object, "idempotent", false);
  return Request;
}

} // namespace

trace readTrace(std::istream &In) {
  trace Trace;
  std::size_t Number = 0;
  for (std::string Line; std::getline(In, Line);)
    if (++Number; !Line.empty())
      Trace.push_back(parseLine(Line, Number));
  return Trace;
}

trace readTraceFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    throw pomelo_error(error_kind::BadSettings,
                       fmt::format("cannot open trace file {}", Path));
  return readTrace(In);
}

void writeTrace(std::ostream &Out, const trace &Trace) {
  for (const trace_request &Request : Trace) {
    json::object Line{{"at_us", Request.At.count()},
                      {"id", Request.Id},
                      {"method", Request.Method},
                      {"path", Request.Path}};
    if (!Request.Account.empty())
      Line["account"] = Request.Account;
    if (Request.BodyBytes > 0)
      Line["body_bytes"] = Request.BodyBytes;
    if (Request.Idempotent)
      Line["idempotent"] = true;
    Out << json::serialize(Line) << '\n';
  }
}

std::string makeBody(const trace_request &Request) {
  const std::string Pattern = Request.Id + "/";
  std::string Body;
  Body.reserve(Request.BodyBytes + Pattern.size());
  while (Body.size() < Request.BodyBytes)
    Body += Pattern;
  Body.resize(Request.BodyBytes);
  return Body;
}

} // namespace pomelo::caller
