#include "emulator/standard_documents.hpp"

#include "pomeloswitch/wire/secret_hash.hpp"

#include <boost/json.hpp>

namespace pomelo::emulator {

namespace json = boost::json;

std::string standardInventory(const std::vector<std::string> &FailureDomains) {
  json::array Domains;
  for (const auto &Name : FailureDomains)
    Domains.push_back(json::object{{"name", Name}, {"region", "r1"}});
  const std::string Hash = sha256Hex(TargetCredential);
  return json::serialize(json::object{
      {"failure_domains", std::move(Domains)},
      {"services", json::array{json::object{{"name", "archive"},
                                            {"divided_by_key", true},
                                            {"key_slots", 64},
                                            {"announce_sha256", Hash}},
                               json::object{{"name", "registry"},
                                            {"announce_sha256", Hash}}}},
      {"client_accounts", json::array{json::object{{"name", "large"},
                                                   {"rate_per_s", 5000},
                                                   {"burst", 5000}},
                                      json::object{{"name", "small"},
                                                   {"rate_per_s", 1000},
                                                   {"burst", 1000}}}}});
}

std::string standardRules() {
  const json::object Key{{"from", "path_segment"}, {"segment", 1}};
  return json::serialize(json::object{
      {"routes",
       json::array{json::object{{"name", "report-read"},
                                {"path_prefix", "/reports/"},
                                {"methods", json::array{"GET", "HEAD"}},
                                {"service", "archive"},
                                {"key", Key},
                                {"idempotent", true}},
                   json::object{{"name", "report-write"},
                                {"path_prefix", "/reports/"},
                                {"service", "archive"},
                                {"key", Key}},
                   json::object{{"name", "certificates"},
                                {"path_prefix", "/certificates"},
                                {"service", "registry"},
                                {"deadline_ms", 20000}},
                   json::object{{"name", "public"},
                                {"path_prefix", "/public"},
                                {"service", "registry"},
                                {"access", "open"},
                                {"idempotent", true}}}}});
}

} // namespace pomelo::emulator
