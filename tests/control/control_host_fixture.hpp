//! A control host that is alone in its group, in the process of the test.
#ifndef POMELOSWITCH_TESTS_CONTROL_CONTROL_HOST_FIXTURE_HPP
#define POMELOSWITCH_TESTS_CONTROL_CONTROL_HOST_FIXTURE_HPP

#include "pomeloswitch/control/control_host.hpp"
#include "pomeloswitch/raft/local_log.hpp"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

namespace pomelo {

class control_host_fixture : public testing::Test {
protected:
  static constexpr const char *Secret = "secret of this test only";
  static constexpr std::chrono::seconds Patience{5};

  control_host_fixture() {
    control_settings Settings;
    Settings.HostId = "c1";
    Settings.PeerAddress = Settings.AdminAddress = "127.0.0.1:0";
    Settings.ClusterSecret = Secret;
    Control = control_host::builder()
                  .withIo(Io)
                  .withSettings(std::move(Settings))
                  .withLog(std::make_unique<local_log>("c1"))
                  .build();
    Control->start();
  }

  [[nodiscard]] std::string peerAddress() const {
    const auto Description = boost::json::parse(Control->describe());
    return std::string(Description.at("peer_address").as_string());
  }

  //! Runs the I/O context until \p Condition is true, for Patience at most.
  template <typename Predicate> bool runUntil(Predicate Condition) {
    const auto Deadline = std::chrono::steady_clock::now() + Patience;
    while (!Condition() && std::chrono::steady_clock::now() < Deadline)
      Io.run_one_for(std::chrono::seconds(1));
    return Condition();
  }

  boost::asio::io_context Io;
  std::unique_ptr<control_host> Control;
};

} // namespace pomelo

#endif
