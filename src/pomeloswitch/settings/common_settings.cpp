#include "pomeloswitch/settings/common_settings.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <set>

namespace pomelo {
namespace {

constexpr std::size_t MinSecretBytes = 16;

//! Returns \p Address with its port replaced, or unchanged if \p Port is 0.
std::string withPort(const std::string &Address, std::int64_t Port) {
  if (Port == 0)
    return Address;
  return fmt::format("{}:{}", Address.substr(0, Address.rfind(':')), Port);
}

} // namespace

const std::string_view CommonDefinitions = R"json(
  "name": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9_.:-]{0,63}$"},
  "address": {"type": "string", "pattern": "^[0-9a-fA-F.:\\[\\]]{1,64}:(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[0-5]?[0-9]{1,4})$"},
  "log": {
    "type": "object", "additionalProperties": false,
    "properties": {
      "level": {"enum": ["debug", "info", "warn", "error"]},
      "file": {"type": "string"}
    }
  },
  "hosts": {
    "type": "array", "minItems": 1, "maxItems": 11,
    "items": {
      "type": "object", "additionalProperties": false,
      "required": ["id", "address"],
      "properties": {
        "id": {"$ref": "#/definitions/name"},
        "address": {"$ref": "#/definitions/address"}
      }
    }
  }
)json";

std::string stringField(const boost::json::object &Object,
                        std::string_view Name, std::string_view Default) {
  const auto *Value = Object.if_contains(Name);
  return Value ? std::string(Value->as_string()) : std::string(Default);
}

std::string jsonField(const boost::json::object &Object,
                      std::string_view Name) {
  const auto *Value = Object.if_contains(Name);
  return Value ? boost::json::serialize(*Value) : std::string();
}

std::int64_t integerField(const boost::json::object &Object,
                          std::string_view Name, std::int64_t Default) {
  const auto *Value = Object.if_contains(Name);
  return Value ? Value->to_number<std::int64_t>() : Default;
}

bool boolField(const boost::json::object &Object, std::string_view Name,
               bool Default) {
  const auto *Value = Object.if_contains(Name);
  return Value ? Value->as_bool() : Default;
}

double doubleField(const boost::json::object &Object, std::string_view Name,
                   double Default) {
  const auto *Value = Object.if_contains(Name);
  return Value ? Value->to_number<double>() : Default;
}

log_settings readLogSettings(const boost::json::object &Settings) {
  const auto *Log = Settings.if_contains("log");
  if (!Log)
    return {};
  return {stringField(Log->as_object(), "level", "info"),
          stringField(Log->as_object(), "file")};
}

std::vector<host_address> readHostAddresses(const document_kind &Kind,
                                            const boost::json::object &Settings,
                                            std::string_view Name) {
  std::vector<host_address> Hosts;
  std::set<std::string> Ids;
  for (const auto &Item : Settings.at(Name).as_array()) {
    const auto &Host = Item.as_object();
    Hosts.push_back({stringField(Host, "id"),
                     withPort(stringField(Host, "address"),
                              integerField(Settings, "peer_port", 0))});
    if (!Ids.insert(Hosts.back().Id).second)
      refuseDocument(Kind, fmt::format("{}[{}].id", Name, Hosts.size() - 1),
                     fmt::format("\"{}\" appears twice", Hosts.back().Id));
  }
  return Hosts;
}

std::string readClusterSecret(const document_kind &Kind,
                              const boost::json::object &Settings) {
  std::string Secret = readFile(stringField(Settings, "cluster_secret_file"));
  while (!Secret.empty() && (Secret.back() == '\n' || Secret.back() == '\r'))
    Secret.pop_back();
  if (Secret.size() < MinSecretBytes)
    refuseDocument(
        Kind, "cluster_secret_file",
        fmt::format("the secret is shorter than {} bytes", MinSecretBytes));
  return Secret;
}

} // namespace pomelo
