#include "pomeloswitch/settings/entry_settings.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace pomelo {
namespace {

const std::string &schema() {
  static const std::string Schema = fmt::format(R"json({{
  "definitions": {{ {} }},
  "type": "object", "additionalProperties": false,
  "required": ["host_id", "failure_domain", "caller_address", "ops_address",
               "control_hosts", "cluster_secret_file"],
  "properties": {{
    "host_id": {{"$ref": "#/definitions/name"}},
    "failure_domain": {{"$ref": "#/definitions/name"}},
    "caller_address": {{"$ref": "#/definitions/address"}},
    "announce_address": {{"$ref": "#/definitions/address"}},
    "ops_address": {{"$ref": "#/definitions/address"}},
    "control_hosts": {{"$ref": "#/definitions/hosts"}},
    "cluster_secret_file": {{"type": "string", "minLength": 1}},
    "traffic_threads": {{"type": "integer", "minimum": 1, "maximum": 64}},
    "max_caller_connections":
      {{"type": "integer", "minimum": 1, "maximum": 1000000}},
    "header_timeout_ms": {{"type": "integer", "minimum": 10, "maximum": 600000}},
    "stop_grace_ms": {{"type": "integer", "minimum": 0, "maximum": 600000}},
    "peer_port": {{"type": "integer", "minimum": 1, "maximum": 65535}},
    "stop_notice_ms": {{"type": "integer", "minimum": 0, "maximum": 600000}},
    "stop_limit_s": {{"type": "number", "minimum": 0, "maximum": 1200}},
    "link_mbit_per_s": {{"type": "number", "minimum": 0}},
    "retries": {{
      "type": "object", "additionalProperties": false,
      "properties": {{
        "ratio": {{"type": "number", "minimum": 0, "maximum": 10}},
        "spare": {{"type": "number", "minimum": 0, "maximum": 1000000}}
      }}
    }},
    "adapter": {{"type": "object"}},
    "log": {{"$ref": "#/definitions/log"}},
    "trace_file": {{"type": "string"}}
  }}
}})json",
                                                CommonDefinitions);
  return Schema;
}

std::optional<double> readStopLimit(const document_kind &Kind,
                                    const boost::json::object &Object) {
  if (!Object.contains("stop_limit_s"))
    return std::nullopt;
  if (Object.contains("stop_grace_ms"))
    throw pomelo_error(Kind.ErrorKind,
                       "entry settings: /stop_limit_s: cannot stand beside "
                       "stop_grace_ms, which it replaces");
  return doubleField(Object, "stop_limit_s", 0);
}

} // namespace

entry_settings parseEntrySettings(std::string_view Text) {
  const document_kind Kind{"entry settings", schema(), error_kind::BadSettings};
  const boost::json::value Document = parseDocument(Kind, Text);
  const auto &Object = Document.as_object();
  entry_settings Settings;
  Settings.HostId = stringField(Object, "host_id");
  Settings.FailureDomain = stringField(Object, "failure_domain");
  Settings.CallerAddress = stringField(Object, "caller_address");
  Settings.AnnounceAddress = stringField(Object, "announce_address");
  Settings.OpsAddress = stringField(Object, "ops_address");
  Settings.ControlHosts = readHostAddresses(Kind, Object, "control_hosts");
  Settings.ClusterSecret = readClusterSecret(Kind, Object);
  Settings.TrafficThreads = static_cast<unsigned>(
      integerField(Object, "traffic_threads", Settings.TrafficThreads));
  Settings.MaxCallerConnections = static_cast<unsigned>(integerField(
      Object, "max_caller_connections", Settings.MaxCallerConnections));
  Settings.HeaderTimeoutMs = static_cast<std::uint32_t>(
      integerField(Object, "header_timeout_ms", Settings.HeaderTimeoutMs));
  Settings.StopGraceMs = static_cast<std::uint32_t>(
      integerField(Object, "stop_grace_ms", Settings.StopGraceMs));
  Settings.StopNoticeMs = static_cast<std::uint32_t>(
      integerField(Object, "stop_notice_ms", Settings.StopNoticeMs));
  Settings.StopLimitSeconds = readStopLimit(Kind, Object);
  Settings.LinkMegabitsPerSecond =
      doubleField(Object, "link_mbit_per_s", Settings.LinkMegabitsPerSecond);
  if (const auto *Retries = Object.if_contains("retries")) {
    const auto &Limits = Retries->as_object();
    Settings.Retries.Ratio =
        doubleField(Limits, "ratio", Settings.Retries.Ratio);
    Settings.Retries.Burst =
        doubleField(Limits, "spare", Settings.Retries.Burst);
  }
  Settings.Log = readLogSettings(Object);
  Settings.Adapter = jsonField(Object, "adapter");
  Settings.TraceFile = stringField(Object, "trace_file");
  return Settings;
}

} // namespace pomelo
