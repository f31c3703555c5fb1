#include "pomeloswitch/settings/inventory.hpp"

#include "pomeloswitch/settings/common_settings.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace pomelo {
namespace {

const std::string &schema() {
  static const std::string Schema =
      fmt::format(R"json({{
  "definitions": {{ {} }},
  "type": "object", "additionalProperties": false,
  "required": ["failure_domains", "services", "client_accounts"],
  "properties": {{
    "failure_domains": {{
      "type": "array", "minItems": 1,
      "items": {{
        "type": "object", "additionalProperties": false,
        "required": ["name", "region"],
        "properties": {{
          "name": {{"$ref": "#/definitions/name"}},
          "region": {{"$ref": "#/definitions/name"}}
        }}
      }}
    }},
    "services": {{
      "type": "array", "minItems": 1,
      "items": {{
        "type": "object", "additionalProperties": false,
        "required": ["name"],
        "properties": {{
          "name": {{"$ref": "#/definitions/name"}},
          "divided_by_key": {{"type": "boolean"}},
          "key_slots": {{"type": "integer", "minimum": 1, "maximum": 1048576}},
          "key_space": {{"type": "integer", "minimum": 1,
                         "maximum": 2147483648}},
          "key": {},
          "connections": {{"type": "integer", "minimum": 1,
                           "maximum": 1000000}},
          "cold_rate_per_s": {{"type": "number", "minimum": 0,
                               "maximum": 1000000}},
          "announce_sha256": {{"type": "string", "pattern": "^[0-9a-f]{{64}}$"}}
        }}
      }}
    }},
    "client_accounts": {{
      "type": "array",
      "items": {{
        "type": "object", "additionalProperties": false,
        "required": ["name"],
        "dependencies": {{"rate_per_s": ["burst"], "burst": ["rate_per_s"]}},
        "properties": {{
          "name": {{"$ref": "#/definitions/name"}},
          "priority": {{"type": "integer", "minimum": 0, "maximum": 1000}},
          "rate_per_s": {{"type": "number", "exclusiveMinimum": 0,
                          "maximum": 100000000}},
          "burst": {{"type": "number", "minimum": 1, "maximum": 100000000}}
        }}
      }}
    }}
  }}
}})json",
                  CommonDefinitions, KeySourceSchema);
  return Schema;
}

constexpr std::uint32_t DefaultKeySlots = 1024;

template <typename Item>
const Item *findByName(const std::vector<Item> &Items, std::string_view Name) {
  const auto Found =
      std::find_if(Items.begin(), Items.end(), [Name](const Item &Candidate) {
        return Candidate.Name == Name;
      });
  return Found == Items.end() ? nullptr : &*Found;
}

template <typename Item>
void refuseRepeatedNames(const document_kind &Kind, std::string_view Field,
                         const std::vector<Item> &Items) {
  std::set<std::string_view> Names;
  for (const Item &Candidate : Items)
    if (!Names.insert(Candidate.Name).second)
      refuseDocument(Kind, Field,
                     fmt::format("\"{}\" appears twice", Candidate.Name));
}

service readService(const document_kind &Kind,
                    const boost::json::object &Object) {
  service Service;
  Service.Name = stringField(Object, "name");
  Service.DividedByKey = boolField(Object, "divided_by_key", false);
  Service.AnnounceSha256 = stringField(Object, "announce_sha256");
  Service.Connections = static_cast<std::uint32_t>(
      integerField(Object, "connections", Service.Connections));
  Service.ColdRatePerSecond = doubleField(Object, "cold_rate_per_s", 0);
  Service.KeySpace =
      static_cast<std::uint32_t>(integerField(Object, "key_space", 0));
  Service.Key =
      readKeySource(Kind, Object, fmt::format("services.{}", Service.Name));
  for (const std::string_view Field : {"key_slots", "key_space", "key"})
    if (!Service.DividedByKey && Object.contains(Field))
      refuseDocument(Kind, fmt::format("services.{}.{}", Service.Name, Field),
                     "only a service divided by key has slots and keys");
  if (Service.DividedByKey)
    Service.KeySlots = static_cast<std::uint32_t>(
        integerField(Object, "key_slots", DefaultKeySlots));
  return Service;
}

client_account readAccount(const boost::json::object &Object) {
  client_account Account;
  Account.Name = stringField(Object, "name");
  Account.RatePerSecond = doubleField(Object, "rate_per_s", 0);
  Account.Burst = doubleField(Object, "burst", 0);
  if (Object.contains("priority"))
    Account.Priority =
        static_cast<std::uint32_t>(integerField(Object, "priority", 0));
  return Account;
}

} // namespace

const service *inventory::findService(std::string_view Name) const {
  return findByName(Services, Name);
}

const client_account *inventory::findAccount(std::string_view Name) const {
  return findByName(ClientAccounts, Name);
}

const failure_domain *
inventory::findFailureDomain(std::string_view Name) const {
  return findByName(FailureDomains, Name);
}

inventory parseInventory(std::string_view Text) {
  const document_kind Kind{"inventory", schema(), error_kind::InvalidChange};
  const boost::json::value Document = parseDocument(Kind, Text);
  const auto &Object = Document.as_object();
  inventory Result;
  for (const auto &Item : Object.at("failure_domains").as_array())
    Result.FailureDomains.push_back({stringField(Item.as_object(), "name"),
                                     stringField(Item.as_object(), "region")});
  for (const auto &Item : Object.at("services").as_array())
    Result.Services.push_back(readService(Kind, Item.as_object()));
  for (const auto &Item : Object.at("client_accounts").as_array())
    Result.ClientAccounts.push_back(readAccount(Item.as_object()));
  refuseRepeatedNames(Kind, "failure_domains", Result.FailureDomains);
  refuseRepeatedNames(Kind, "services", Result.Services);
  refuseRepeatedNames(Kind, "client_accounts", Result.ClientAccounts);
  return Result;
}

} // namespace pomelo
