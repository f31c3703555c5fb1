#include "caller/trace_generator.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

namespace pomelo::caller {
namespace {

constexpr std::chrono::seconds Duration{10};

std::string serializeTrace(const trace &Trace) {
  std::ostringstream Out;
  writeTrace(Out, Trace);
  return Out.str();
}

class generated_trace : public testing::TestWithParam<std::string> {};

TEST_P(generated_trace, is_the_same_for_the_same_seed_and_survives_reading) {
  const trace_shape &Shape = findTraceShape(GetParam());
  const std::string Text = serializeTrace(generateTrace(Shape, Duration, 7));
  EXPECT_EQ(Text, serializeTrace(generateTrace(Shape, Duration, 7)));
  EXPECT_NE(Text, serializeTrace(generateTrace(Shape, Duration, 8)));
  std::istringstream In(Text);
  EXPECT_EQ(Text, serializeTrace(readTrace(In)));
}

TEST_P(generated_trace, is_in_order_and_mostly_reads_of_few_large_accounts) {
  const trace_shape &Shape = findTraceShape(GetParam());
  const trace Trace = generateTrace(Shape, Duration, 7);
  ASSERT_GT(Trace.size(), 1000U);
  EXPECT_TRUE(std::is_sorted(
      Trace.begin(), Trace.end(),
      [](const auto &Left, const auto &Right) { return Left.At < Right.At; }));
  const auto Reads = std::count_if(Trace.begin(), Trace.end(),
                                   [](const auto &R) { return R.Idempotent; });
  const auto Largest =
      std::count_if(Trace.begin(), Trace.end(), [&](const auto &R) {
        return R.Account == Shape.Accounts.front().Name;
      });
  EXPECT_GT(Reads * 10, static_cast<std::ptrdiff_t>(Trace.size()) * 7);
  EXPECT_GT(Largest * 10, static_cast<std::ptrdiff_t>(Trace.size()) * 3);
}

INSTANTIATE_TEST_SUITE_P(each_shape, generated_trace,
                         testing::Values("statika", "hinokuni"));

class faulty_trace : public testing::TestWithParam<std::string> {};

TEST_P(faulty_trace, is_refused_with_its_line) {
  std::istringstream In(R"({"at_us":1,"id":"a","method":"GET","path":"/x"})"
                        "\n" +
                        GetParam());
  try {
    readTrace(In);
    FAIL() << "no error";
  } catch (const pomelo_error &Failure) {
    EXPECT_EQ(Failure.kind(), error_kind::BadSettings);
    EXPECT_NE(std::string(Failure.what()).find("trace line 2"),
              std::string::npos)
        << Failure.what();
  }
}

INSTANTIATE_TEST_SUITE_P(
    each_fault, faulty_trace,
    testing::Values(R"({"at_us":-1,"id":"a","method":"GET","path":"/x"})",
                    R"({"at_us":1,"method":"GET","path":"/x"})",
                    R"({"at_us":1,"id":"a","method":"GET","path":"x"})",
                    R"({"at_us":1,"id":"a","method":"GET","path":"/","q":1})",
                    "not JSON"));

} // namespace
} // namespace pomelo::caller
