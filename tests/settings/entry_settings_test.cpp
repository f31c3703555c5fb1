#include "pomeloswitch/settings/entry_settings.hpp"
#include "process_folder.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <limits>

namespace pomelo {
namespace {

std::string writeSecretFile() {
  static const process_folder Folder("entry_settings");
  return Folder.write("secret", "a secret of the cluster\n");
}

boost::json::object validSettings() {
  return {{"host_id", "e1"},
          {"failure_domain", "a"},
          {"caller_address", "127.0.0.1:0"},
          {"announce_address", "127.0.0.1:0"},
          {"ops_address", "127.0.0.1:0"},
          {"control_hosts", boost::json::array{boost::json::object{
                                {"id", "c1"}, {"address", "127.0.0.1:9000"}}}},
          {"cluster_secret_file", writeSecretFile()}};
}

TEST(entry_settings, valid_settings_are_read_whole) {
  const entry_settings Settings =
      parseEntrySettings(boost::json::serialize(validSettings()));
  EXPECT_EQ(Settings.HostId, "e1");
  EXPECT_EQ(Settings.ControlHosts.size(), 1U);
  EXPECT_EQ(Settings.ClusterSecret, "a secret of the cluster");
  EXPECT_EQ(Settings.TrafficThreads, 1U);
}

TEST(entry_settings, a_stop_limit_does_not_stand_beside_a_grace_period) {
  boost::json::object Settings = validSettings();
  Settings["stop_limit_s"] = 10;
  EXPECT_EQ(parseEntrySettings(boost::json::serialize(Settings))
                .StopLimitSeconds.value_or(0),
            10);
  Settings["stop_grace_ms"] = 3000;
  EXPECT_THROW(parseEntrySettings(boost::json::serialize(Settings)),
               pomelo_error);
}

struct bad_field {
  std::string Field;
  boost::json::value Value;
  std::string NamedPath;
};

void PrintTo(const bad_field &Case, std::ostream *Out) { *Out << Case.Field; }

class bad_entry_settings : public testing::TestWithParam<bad_field> {};

TEST_P(bad_entry_settings, are_refused_with_the_path_of_the_field) {
  boost::json::object Settings = validSettings();
  Settings[GetParam().Field] = GetParam().Value;
  try {
    parseEntrySettings(boost::json::serialize(Settings));
    FAIL() << "accepted";
  } catch (const pomelo_error &Error) {
    const std::string Message = Error.what();
    EXPECT_EQ(Error.kind(), error_kind::BadSettings);
    EXPECT_NE(Message.find(GetParam().NamedPath), std::string::npos) << Message;
    EXPECT_EQ(Message.find('\n'), std::string::npos) << Message;
  }
}

INSTANTIATE_TEST_SUITE_P(
    each_fault, bad_entry_settings,
    testing::Values(
        bad_field{"unknown_field", 1, "unknown_field"},
        bad_field{"host_id", 7, "host_id"},
        bad_field{"traffic_threads", 0, "traffic_threads"},
        bad_field{"caller_address", "localhost", "caller_address"},
        bad_field{"caller_address", "127.0.0.1:99999", "caller_address"},
        bad_field{"caller_address", boost::json::string(100000, '1'),
                  "caller_address"},
        bad_field{"traffic_threads", 1e308, "traffic_threads"},
        bad_field{"traffic_threads", -1, "traffic_threads"},
        bad_field{"traffic_threads", 1.5, "traffic_threads"},
        bad_field{"traffic_threads", std::numeric_limits<std::uint64_t>::max(),
                  "traffic_threads"},
        bad_field{"control_hosts", boost::json::array{}, "control_hosts"},
        bad_field{"control_hosts",
                  boost::json::array{boost::json::object{{"id", "c1"}}},
                  "control_hosts[0]"},
        bad_field{"cluster_secret_file", "/nowhere/secret",
                  "/nowhere/secret"}));

class unreadable_entry_settings : public testing::TestWithParam<std::string> {};

TEST_P(unreadable_entry_settings, are_refused) {
  EXPECT_THROW(parseEntrySettings(GetParam()), pomelo_error);
}

INSTANTIATE_TEST_SUITE_P(each, unreadable_entry_settings,
                         testing::Values("", "{", "[]", "{\"host_id\": 1e999}",
                                         "{\"host_id\": \"\xff\"}",
                                         "{\"host_id\": " +
                                             std::string(10000, '[') +
                                             std::string(10000, ']') + "}"));

} // namespace
} // namespace pomelo
