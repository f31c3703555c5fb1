#include "platform/report_codec.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace pomelo::platform {
namespace {

std::string makeReport(std::string_view Born = "1764835200000",
                       std::string_view State = "\"ready\"",
                       std::string_view Cold = "0") {
  return fmt::format(
      R"({{"address": "10.0.0.1:8080", "born": {},
          "information": {{"service": "s", "version": "v1", "zone": "a",
                           "slots": 4}},
          "status": {{"state": {}, "sequence": 7,
                      "cold_remaining_s": {}}}}})",
      Born, State, Cold);
}

TEST(target_report, is_read_into_the_products_terms) {
  const auto Report = readReport("i-1", makeReport());
  EXPECT_EQ(Report.Target.TargetId, "i-1");
  EXPECT_EQ(Report.Target.Service, "s");
  EXPECT_EQ(Report.Target.FailureDomain, "a");
  EXPECT_EQ(Report.Target.Address, "10.0.0.1:8080");
  EXPECT_EQ(Report.Target.Slots, 4U);
  EXPECT_EQ(Report.Target.Incarnation, 1764835200000U);
  EXPECT_TRUE(Report.Target.OrderedByCall);
  EXPECT_FALSE(Report.Target.Leaving);
  EXPECT_FALSE(Report.Target.Cold);
  EXPECT_EQ(Report.Sequence, 7U);
}

TEST(target_report, tells_of_leaving_and_cold_targets) {
  const auto Report = readReport("i-1", makeReport("1", "\"draining\"", "1.5"));
  EXPECT_TRUE(Report.Target.Leaving);
  EXPECT_TRUE(Report.Target.Cold);
}

class unreadable_report : public testing::TestWithParam<std::string> {};

TEST_P(unreadable_report, is_refused) {
  try {
    readReport("i-1", GetParam());
    FAIL() << "an invalid report was accepted";
  } catch (const pomelo_error &Refusal) {
    EXPECT_EQ(Refusal.kind(), error_kind::BadRequest);
  }
}

INSTANTIATE_TEST_SUITE_P(
    each, unreadable_report,
    testing::Values("", "[]", "{\"address\": ", "\xff\xfe", "{}",
                    makeReport("\"soon\""), makeReport("1.5"), makeReport("-1"),
                    makeReport("1", "\"asleep\""), makeReport("1", "3"),
                    makeReport("1", "\"ready\"", "\"x\"")));

struct odd_report {
  std::string Name;
  std::string Part;        //!< Of a valid report.
  std::string Replacement; //!< What the odd one has instead.
  std::string TargetId = "i-1";
};

void PrintTo(const odd_report &Case, std::ostream *Out) { *Out << Case.Name; }

class odd_target_report : public testing::TestWithParam<odd_report> {};

TEST_P(odd_target_report, names_no_target) {
  std::string Body = makeReport();
  const auto At = Body.find(GetParam().Part);
  ASSERT_NE(At, std::string::npos);
  Body.replace(At, GetParam().Part.size(), GetParam().Replacement);
  try {
    readReport(GetParam().TargetId, Body);
    FAIL() << "an odd report was accepted";
  } catch (const pomelo_error &Refusal) {
    EXPECT_EQ(Refusal.kind(), error_kind::BadRequest);
  }
}

std::string nested(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

odd_report oddAddress(const std::string &Name, const std::string &Address) {
  return {"address_" + Name, "10.0.0.1:8080", Address};
}

odd_report oddBorn(const std::string &Name, const std::string &Born) {
  return {"born_" + Name, "1764835200000", Born};
}

odd_report oddSlots(const std::string &Name, const std::string &Slots) {
  return {"slots_" + Name, "\"slots\": 4", "\"slots\": " + Slots};
}

odd_report oddId(const std::string &Name, const std::string &Id) {
  return {"id_" + Name, "ready", "ready", Id};
}

const auto ReportCaseName = [](const auto &Info) { return Info.param.Name; };

INSTANTIATE_TEST_SUITE_P(
    nesting, odd_target_report,
    testing::Values(oddBorn("nested_10000", nested(10000)),
                    oddSlots("nested_10000", nested(10000)),
                    odd_report{"unknown_member_nested_10000", "\"born\"",
                               "\"x\": " + nested(10000) + ", \"born\""}),
    ReportCaseName);

INSTANTIATE_TEST_SUITE_P(
    numbers, odd_target_report,
    testing::Values(oddBorn("above_64_bits", "18446744073709551616"),
                    oddBorn("1e999", "1e999"), oddBorn("1e308", "1e308"),
                    oddBorn("nan", "NaN"), oddBorn("fraction", "0.5"),
                    oddBorn("null", "null"), oddSlots("zero", "0"),
                    oddSlots("negative", "-1"), oddSlots("text", "\"4\""),
                    oddSlots("two_to_the_32", "4294967296"),
                    oddSlots("two_to_the_32_and_1", "4294967297"),
                    oddSlots("above_any_in_use", "65537"),
                    odd_report{"cold_1e999", "_s\": 0", "_s\": 1e999"},
                    odd_report{"cold_negative", "_s\": 0", "_s\": -1"},
                    odd_report{"sequence_1e308", ": 7", ": 1e308"},
                    odd_report{"sequence_negative", ": 7", ": -7"}),
    ReportCaseName);

INSTANTIATE_TEST_SUITE_P(
    addresses, odd_target_report,
    testing::Values(
        oddAddress("empty", ""), oddAddress("port_0", "10.0.0.1:0"),
        oddAddress("port_65536", "10.0.0.1:65536"),
        oddAddress("port_99999", "10.0.0.1:99999"),
        oddAddress("port_above_64_bits", "10.0.0.1:18446744073709551617"),
        oddAddress("port_negative", "10.0.0.1:-1"),
        oddAddress("port_signed", "10.0.0.1:+80"),
        oddAddress("port_missing", "10.0.0.1:"),
        oddAddress("space", " 10.0.0.1:80"), oddAddress("name", "host:80"),
        oddAddress("brackets", "[::1]:80"),
        oddAddress("any_host", "0.0.0.0:80"), oddAddress("any_host_6", ":::80"),
        oddAddress("long", std::string(100000, '1') + ":80"),
        oddAddress("zero_byte", "10.0.0.1\\u0000x:80"),
        oddAddress("not_utf_8", "\xff:80")),
    ReportCaseName);

INSTANTIATE_TEST_SUITE_P(
    ids, odd_target_report,
    testing::Values(oddId("empty", ""), oddId("not_utf_8", "i-\xff\xfe"),
                    oddId("latin_1", "caf\xe9"),
                    oddId("control_character", "i\x01"),
                    oddId("long", std::string(16000, 'i'))),
    ReportCaseName);

odd_report withoutField(const std::string &Name, const std::string &Field) {
  return {Name + "_missing", Field, ""};
}

odd_report oddVersion(const std::string &Name, const std::string &Version) {
  return {"version_" + Name, "\"version\": \"v1\"", "\"version\": " + Version};
}

// Guards against a report that is not whole and displaces the target at its
// address, whose keys then have two owners (OWNER, review/6).
INSTANTIATE_TEST_SUITE_P(
    fields, odd_target_report,
    testing::Values(withoutField("version", "\"version\": \"v1\", "),
                    withoutField("service", "\"service\": \"s\", "),
                    withoutField("zone", "\"zone\": \"a\","),
                    withoutField("address", "\"address\": \"10.0.0.1:8080\", "),
                    withoutField("born", "\"born\": 1764835200000,"),
                    withoutField("state", "\"state\": \"ready\", "),
                    withoutField("sequence", "\"sequence\": 7,"),
                    oddVersion("number", "7"), oddVersion("null", "null"),
                    oddVersion("list", "[\"v1\"]"), oddVersion("object", "{}"),
                    odd_report{"zone_empty", "\"a\"", "\"\""},
                    odd_report{"zone_number", "\"a\"", "1"},
                    odd_report{"service_list", "\"s\"", "[\"s\"]"},
                    odd_report{"information_list", "{\"service\"",
                               "[1], \"x\": {\"service\""}),
    ReportCaseName);

TEST(target_report, names_one_address_in_one_way) {
  std::string Body = makeReport();
  Body.replace(Body.find("8080"), 4, "08080");
  EXPECT_EQ(readReport("i-1", Body).Target.Address, "10.0.0.1:8080");
}

TEST(leave_request, may_name_the_process_start) {
  EXPECT_EQ(readLeaveRequest(""), std::nullopt);
  EXPECT_EQ(readLeaveRequest("{}"), std::nullopt);
  EXPECT_EQ(readLeaveRequest(R"({"born": 12})"), 12U);
}

} // namespace
} // namespace pomelo::platform
