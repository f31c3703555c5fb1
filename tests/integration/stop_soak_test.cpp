//! Series of stops and reloads of entry hosts under load, with real processes.
#include "emulator/deployment.hpp"
#include "judge/journal.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace pomelo::emulator {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned CallerCount = 24;
constexpr std::size_t UploadBytes = 300000;
constexpr auto SoakDuration = seconds(10);
constexpr unsigned DefaultSeeds = 2;

//! For a longer run by hand: the seeds 1 to POMELO_SOAK_SEEDS.
unsigned soakSeeds() {
  const char *Value = std::getenv("POMELO_SOAK_SEEDS");
  return Value ? std::strtoul(Value, nullptr, 10) : DefaultSeeds;
}

//! What callers have seen.
class soak_record {
public:
  void answered(int Status, std::string_view RunState) {
    const std::lock_guard Lock(Mutex);
    ++Statuses[Status];
    Unknown += RunState == "unknown" ? 1 : 0;
  }
  void cut(const std::string &Path) {
    const std::lock_guard Lock(Mutex);
    Cut.insert(Path);
  }

  std::mutex Mutex;
  std::map<int, unsigned> Statuses;
  unsigned Unknown = 0;      //!< Answers of hosts that gave a target up.
  std::set<std::string> Cut; //!< Paths of requests without a whole answer.
};

//! Addresses of the entry hosts, which change when these are started again.
class address_list {
public:
  void set(std::vector<std::string> Values) {
    const std::lock_guard Lock(Mutex);
    Addresses = std::move(Values);
  }
  std::string any(std::mt19937 &Random) {
    const std::lock_guard Lock(Mutex);
    return Addresses[Random() % Addresses.size()];
  }

private:
  std::mutex Mutex;
  std::vector<std::string> Addresses;
};

//! Sends requests one after the other on connections that it keeps until they
//! end.
class keeping_caller {
public:
  keeping_caller(unsigned Number, unsigned Seed, const std::string &Key,
                 address_list &Addresses, soak_record &Record)
      : Number(Number), Random(Seed * CallerCount + Number), Key(Key),
        Addresses(Addresses), Record(Record) {}

  void run(const std::atomic<bool> &Done) {
    while (!Done)
      useConnection(Done);
  }

private:
  void useConnection(const std::atomic<bool> &Done) {
    boost::asio::io_context Io;
    boost::asio::ip::tcp::socket Socket(Io);
    boost::system::error_code Error;
    Socket.connect(parseEndpoint(Addresses.any(Random)), Error);
    if (Error)
      return std::this_thread::sleep_for(milliseconds(20));
    boost::beast::flat_buffer Buffer;
    for (bool Keep = true; Keep && !Done;) {
      std::this_thread::sleep_for(milliseconds(Random() % 30));
      Keep = exchange(Socket, Buffer);
    }
  }

  //! Returns whether the connection can be used again.
  bool exchange(boost::asio::ip::tcp::socket &Socket,
                boost::beast::flat_buffer &Buffer) {
    const std::string Path = "/certificates/" + std::to_string(Number) + "-" +
                             std::to_string(++Sent) + "-";
    http::request<http::string_body> Request(http::verb::post, Path, 11);
    Request.set(http::field::host, "h");
    Request.set(http::field::authorization, "Bearer " + Key);
    Request.body().assign(Random() % 4 == 0 ? UploadBytes : 4, 'b');
    Request.prepare_payload();
    boost::system::error_code Error;
    http::write(Socket, Request, Error);
    http::response<http::string_body> Response;
    if (!Error)
      http::read(Socket, Buffer, Response, Error);
    if (Error) {
      Record.cut(Path);
      return false;
    }
    Record.answered(static_cast<int>(Response.result_int()),
                    Response["Pomelo-Run-State"]);
    return Response.keep_alive();
  }

  unsigned Number;
  unsigned Sent = 0;
  std::mt19937 Random;
  const std::string &Key;
  address_list &Addresses;
  soak_record &Record;
};

class stop_soak : public testing::TestWithParam<unsigned> {
protected:
  static deployment_plan plan() {
    deployment_plan Plan;
    Plan.FailureDomains = {"a", "b"};
    Plan.EntryHostsPerDomain = 2;
    Plan.EntrySettings = {{"stop_notice_ms", 300}, {"stop_limit_s", 4}};
    unsigned Number = 0;
    for (const char *Work : {"20000", "100000", "300000", "900000"})
      for (const char *Domain : {"a", "b"})
        Plan.Targets.push_back(
            {"registry-" + std::to_string(++Number),
             "registry",
             Domain,
             {std::string("--work-us=") + Work, "--slots=4"}});
    return Plan;
  }

  void stopInSeries(member &Host) {
    constexpr std::array Signals{SIGTERM, SIGTERM, SIGINT, SIGHUP};
    if (Random() % 2 == 0)
      Host.Process->signal(SIGHUP);
    Host.Process->signal(SIGTERM);
    for (unsigned Left = Random() % 4; Left > 0; --Left) {
      std::this_thread::sleep_for(milliseconds(Random() % 400));
      if (Host.Process->running())
        Host.Process->signal(Signals[Random() % Signals.size()]);
    }
  }

  //! Stops one or two hosts, and starts them again once they have ended.
  void rollSome(deployment &Deployment, address_list &Addresses) {
    auto Hosts = Deployment.membersOf("entry");
    std::shuffle(Hosts.begin(), Hosts.end(), Random);
    Hosts.resize(1 + Random() % 2);
    for (member *Host : Hosts)
      stopInSeries(*Host);
    for (member *Host : Hosts) {
      EXPECT_EQ(Host->Process->wait(seconds(6)), 0) << Host->Id;
      Deployment.restart(Host->Id);
      Addresses.set(Deployment.callerAddresses());
    }
  }

  std::mt19937 Random{GetParam()};
};

// Whole requests that a target worked on were closed without an answer.
TEST_P(stop_soak, cuts_no_request_that_a_target_has_begun) {
  const auto Deployment = deployment::builder().withPlan(plan()).build();
  const std::string Key = Deployment->issueKey("large");
  ASSERT_TRUE(Deployment->waitServing(seconds(10)));
  address_list Addresses;
  Addresses.set(Deployment->callerAddresses());
  soak_record Record;
  std::atomic<bool> Done = false;
  std::vector<std::thread> Callers;
  for (unsigned Number = 0; Number < CallerCount; ++Number)
    Callers.emplace_back([&, Number] {
      keeping_caller(Number, GetParam(), Key, Addresses, Record).run(Done);
    });
  const auto End = std::chrono::steady_clock::now() + SoakDuration;
  while (std::chrono::steady_clock::now() < End)
    rollSome(*Deployment, Addresses);
  Done = true;
  for (auto &Caller : Callers)
    Caller.join();
  std::vector<std::string> Journals;
  for (const member *Target : Deployment->membersOf("target"))
    Journals.push_back(Deployment->journalOf(Target->Id));
  for (const auto &Execution : judge::readJournals(Journals).Executions)
    EXPECT_FALSE(Record.Cut.contains(Execution.Path))
        << Execution.Path << " began at " << Execution.Target;
  for (const auto &[Status, Count] : Record.Statuses)
    std::printf("%u answers with status %d\n", Count, Status);
  std::printf("%zu requests crossed a close\n", Record.Cut.size());
  EXPECT_GT(Record.Statuses[200], 0U);
  EXPECT_EQ(Record.Unknown, 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, stop_soak, testing::Range(1U, 1 + soakSeeds()));

} // namespace
} // namespace pomelo::emulator
