#include "pomeloswitch/state/configuration_packing.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace pomelo {
namespace {

//! A configuration with 1000 routes.
wire::replace_configuration largeConfiguration() {
  wire::replace_configuration Change;
  Change.set_number(7);
  std::string Routes;
  for (unsigned Number = 0; Number < 1000; ++Number)
    Routes += fmt::format(R"({{"name": "r{}", "path_prefix": "/p{}/",)"
                          R"( "service": "archive", "deadline_ms": 2000}},)",
                          Number, Number);
  Change.set_inventory_json(R"({"services": []})");
  Change.set_rules_json(Routes);
  Change.set_source(Routes);
  Change.add_keys()->set_key_id("k1");
  return Change;
}

TEST(configuration_packing, returns_what_was_packed) {
  wire::replace_configuration Change = largeConfiguration();
  packConfiguration(Change);
  EXPECT_EQ(Change.number(), 7U);
  EXPECT_EQ(unpackConfiguration(Change).SerializeAsString(),
            largeConfiguration().SerializeAsString());
}

// Several such configurations a second have to pass an entry host's link.
TEST(configuration_packing, fills_no_link_with_a_large_configuration) {
  wire::replace_configuration Change = largeConfiguration();
  const std::size_t Before = Change.ByteSizeLong();
  packConfiguration(Change);
  EXPECT_LT(Change.ByteSizeLong(), Before / 5);
}

TEST(configuration_packing, takes_a_configuration_that_was_not_packed) {
  EXPECT_EQ(unpackConfiguration(largeConfiguration()).SerializeAsString(),
            largeConfiguration().SerializeAsString());
}

TEST(configuration_packing, refuses_what_cannot_be_read) {
  wire::replace_configuration Change = largeConfiguration();
  packConfiguration(Change);
  Change.mutable_packed()->resize(Change.packed().size() / 2);
  EXPECT_THROW(static_cast<void>(unpackConfiguration(Change)), pomelo_error);
}

} // namespace
} // namespace pomelo
