#include "pomeloswitch/settings/control_settings.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace pomelo {
namespace {

const std::string &schema() {
  static const std::string Schema = fmt::format(R"json({{
  "definitions": {{ {} }},
  "type": "object", "additionalProperties": false,
  "required": ["host_id", "failure_domain", "peer_address", "admin_address",
               "data_folder", "members", "cluster_secret_file", "operators"],
  "properties": {{
    "host_id": {{"$ref": "#/definitions/name"}},
    "failure_domain": {{"$ref": "#/definitions/name"}},
    "peer_address": {{"$ref": "#/definitions/address"}},
    "admin_address": {{"$ref": "#/definitions/address"}},
    "data_folder": {{"type": "string", "minLength": 1}},
    "members": {{"$ref": "#/definitions/hosts"}},
    "may_found": {{"type": "boolean"}},
    "tolerated_losses": {{"type": "integer", "minimum": 0, "maximum": 5}},
    "cluster_secret_file": {{"type": "string", "minLength": 1}},
    "operators": {{
      "type": "array",
      "items": {{
        "type": "object", "additionalProperties": false,
        "required": ["name", "key_sha256"],
        "properties": {{
          "name": {{"$ref": "#/definitions/name"}},
          "key_sha256": {{"type": "string", "pattern": "^[0-9a-f]{{64}}$"}}
        }}
      }}
    }},
    "peer_port": {{"type": "integer", "minimum": 1, "maximum": 65535}},
    "host_lease_ms": {{"type": "integer", "minimum": 100, "maximum": 60000}},
    "target_hold_ms": {{"type": "integer", "minimum": 500,
                        "maximum": 600000}},
    "rollouts": {{
      "type": "object", "additionalProperties": false,
      "properties": {{
        "exposure_share": {{"type": "number", "exclusiveMinimum": 0,
                            "maximum": 1}},
        "exposure_slack": {{"type": "number", "minimum": 0}}
      }}
    }},
    "adapter": {{"type": "object"}},
    "log": {{"$ref": "#/definitions/log"}}
  }}
}})json",
                                                CommonDefinitions);
  return Schema;
}

std::vector<operator_settings> readOperators(const boost::json::array &Items) {
  std::vector<operator_settings> Operators;
  for (const auto &Item : Items) {
    const auto &Object = Item.as_object();
    Operators.push_back(
        {stringField(Object, "name"), stringField(Object, "key_sha256")});
  }
  return Operators;
}

void readRollouts(const boost::json::object &Object,
                  control_settings &Settings) {
  const boost::json::value *Rollouts = Object.if_contains("rollouts");
  Settings.RolloutsEnabled = Rollouts != nullptr;
  if (!Rollouts)
    return;
  const auto &Fields = Rollouts->as_object();
  Settings.Exposure.Share =
      doubleField(Fields, "exposure_share", Settings.Exposure.Share);
  Settings.Exposure.Slack =
      doubleField(Fields, "exposure_slack", Settings.Exposure.Slack);
}

} // namespace

control_settings parseControlSettings(std::string_view Text) {
  const document_kind Kind{"control settings", schema(),
                           error_kind::BadSettings};
  const boost::json::value Document = parseDocument(Kind, Text);
  const auto &Object = Document.as_object();
  control_settings Settings;
  Settings.HostId = stringField(Object, "host_id");
  Settings.FailureDomain = stringField(Object, "failure_domain");
  Settings.PeerAddress = stringField(Object, "peer_address");
  Settings.AdminAddress = stringField(Object, "admin_address");
  Settings.DataFolder = stringField(Object, "data_folder");
  Settings.Members = readHostAddresses(Kind, Object, "members");
  Settings.MayFound = boolField(Object, "may_found", Settings.MayFound);
  Settings.ToleratedLosses = static_cast<unsigned>(
      integerField(Object, "tolerated_losses", Settings.ToleratedLosses));
  Settings.ClusterSecret = readClusterSecret(Kind, Object);
  Settings.Operators = readOperators(Object.at("operators").as_array());
  Settings.HostLeaseMs = static_cast<std::uint32_t>(
      integerField(Object, "host_lease_ms", Settings.HostLeaseMs));
  Settings.TargetSlotLeaseMs = static_cast<std::uint32_t>(
      integerField(Object, "target_hold_ms", Settings.TargetSlotLeaseMs));
  readRollouts(Object, Settings);
  Settings.Log = readLogSettings(Object);
  Settings.Adapter = jsonField(Object, "adapter");
  return Settings;
}

} // namespace pomelo
