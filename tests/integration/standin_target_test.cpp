#include "emulator/deployment.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <iterator>

namespace pomelo::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! One stand-in target whose announcements are not answered.
class standin_target : public testing::Test {
protected:
  void start(std::vector<std::string> Extra) {
    std::string Pattern = testing::TempDir() + "standin-XXXXXX";
    Folder = mkdtemp(Pattern.data());
    std::vector<std::string> Arguments{"--id=t",
                                       "--service=s",
                                       "--domain=a",
                                       "--credential=c",
                                       "--announce=127.0.0.1:1",
                                       "--journal=" + Folder + "/journal",
                                       "--ready-file=" + Folder + "/ready"};
    Arguments.insert(Arguments.end(), Extra.begin(), Extra.end());
    Process = std::make_unique<child_process>(program("tools/standin-target"),
                                              Arguments, Folder + "/log");
    ASSERT_TRUE(
        waitUntil([this] { return std::filesystem::exists(Folder + "/ready"); },
                  seconds(10)));
    Address = boost::json::parse(read("/ready")).at("address").as_string();
  }
  void TearDown() override {
    Process.reset();
    std::filesystem::remove_all(Folder);
  }

  std::string read(const std::string &Name) {
    std::ifstream File(Folder + Name);
    return {std::istreambuf_iterator<char>(File), {}};
  }
  //! Waits until the journal contains \p Event.
  bool waitForEvent(const std::string &Event) {
    return waitUntil(
        [&] {
          return read("/journal").find("\"event\":\"" + Event + "\"") !=
                 std::string::npos;
        },
        seconds(5));
  }
  http_answer get(const std::string &Path, milliseconds Timeout = seconds(5)) {
    return call(Address, {"GET", Path, {}, {}, Timeout});
  }
  int control(const std::string &Body) {
    return call(Address, {"POST", "/standin/control", {}, Body}).Status;
  }

  std::string Folder;
  std::string Address;
  std::unique_ptr<child_process> Process;
};

TEST_F(standin_target, notices_a_cancellation_and_frees_the_slot) {
  start({"--slots=1", "--queue=0", "--work-us=3000000"});
  EXPECT_EQ(get("/x", milliseconds(200)).Status, 0);
  EXPECT_TRUE(waitForEvent("cancelled"));
  EXPECT_EQ(control(R"({"slow_factor":0.0001})"), 200);
  EXPECT_EQ(get("/x").Status, 200);
}

TEST_F(standin_target, is_slow_and_sheds_while_cold_until_it_served_enough) {
  start({"--cold-requests=1", "--cold-open=0"});
  const http_answer Cold = get("/x");
  EXPECT_EQ(Cold.Status, 503);
  EXPECT_EQ(Cold.Header.at("Pomelo-Not-Run"), "cold");
  EXPECT_EQ(control(R"({"cold":false})"), 200);
  EXPECT_EQ(get("/x").Status, 200);
  EXPECT_EQ(control(R"({"cold":true})"), 200);
  EXPECT_EQ(get("/x").Status, 503);
}

TEST_F(standin_target, answers_nothing_while_frozen) {
  start({});
  EXPECT_EQ(control(R"({"frozen":true})"), 200);
  EXPECT_EQ(get("/x", milliseconds(200)).Status, 0);
  EXPECT_EQ(control(R"({"frozen":false})"), 200);
  EXPECT_EQ(get("/x").Status, 200);
}

TEST_F(standin_target, misleads_about_health_and_load_when_told) {
  start({});
  EXPECT_EQ(get("/health").Status, 200);
  EXPECT_EQ(control(R"({"health":"failing","load_claimed":99})"), 200);
  EXPECT_EQ(get("/health").Status, 503);
  EXPECT_EQ(boost::json::parse(get("/load").Body).at("running").as_int64(), 99);
  EXPECT_EQ(get("/x").Status, 200);
  EXPECT_EQ(control(R"({"unknown":1})"), 400);
}

TEST_F(standin_target, ends_at_once_on_the_second_signal) {
  start({});
  Process->signal(SIGTERM);
  EXPECT_TRUE(waitForEvent("leaving"));
  EXPECT_TRUE(Process->running());
  Process->signal(SIGTERM);
  EXPECT_EQ(Process->wait(seconds(5)), 0);
}

} // namespace
} // namespace pomelo::emulator
