#include "pomeloswitch/retry/request_fingerprint.hpp"

#include <gtest/gtest.h>

namespace pomelo {
namespace {

const fingerprint_parts Base{"large", "POST", "/certificates?a=1", "body", 4};

struct change_case {
  const char *Name;
  fingerprint_parts Parts;
};

class changed_request : public testing::TestWithParam<change_case> {};

TEST_P(changed_request, has_another_fingerprint) {
  EXPECT_EQ(fingerprintOf(Base), fingerprintOf(Base));
  EXPECT_NE(fingerprintOf(Base), fingerprintOf(GetParam().Parts));
}

INSTANTIATE_TEST_SUITE_P(
    each_part, changed_request,
    testing::Values(
        change_case{"account",
                    {"l", "argePOST", "/certificates?a=1", "body", 4}},
        change_case{"method", {"large", "PUT", "/certificates?a=1", "body", 4}},
        change_case{"query", {"large", "POST", "/certificates?a=2", "body", 4}},
        change_case{"body", {"large", "POST", "/certificates?a=1", "bodY", 4}},
        change_case{"length",
                    {"large", "POST", "/certificates?a=1", "body", 5}},
        change_case{
            "no_length",
            {"large", "POST", "/certificates?a=1", "body", std::nullopt}}));

} // namespace
} // namespace pomelo
