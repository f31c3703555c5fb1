#include "emulator/deployment.hpp"
#include "pomeloswitch/settings/entry_settings.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <fstream>
#include <functional>

namespace pomelo::emulator {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace json = boost::json;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr double LinkMegabitsPerSecond = 2.9;
constexpr double LinkBytesPerSecond = LinkMegabitsPerSecond * 1e6 / 8;
constexpr seconds LoadTime{8};
constexpr std::array<std::size_t, 3> UploadBytes{30'000, 60'000, 240'000};
constexpr double MeanUploadBytes = 110'000;
constexpr milliseconds SmallInterval{100};
constexpr milliseconds SmallObjective{500};
constexpr milliseconds SmallDeadline{1000};
constexpr milliseconds UploadObjective{2000};
constexpr milliseconds UploadDeadline{3000};
//! How long a caller waits beyond the deadline.
constexpr milliseconds CallerPatience{1000};
constexpr milliseconds RefusalTime{1000};
constexpr double SmallShareInTime = 0.95;
constexpr double UploadShareServed = 0.5;
constexpr double RefusalShareInTime = 0.95;
constexpr milliseconds SampleInterval{50};

//! A request and what became of it.
struct exchange_record {
  std::string Path;
  std::size_t BodyBytes = 0;
  milliseconds Objective{0};
  milliseconds Deadline{0};
  int Status = 0; //!< 0 without an answer.
  steady_clock::duration Took{};

  [[nodiscard]] bool served() const { return Status == 200; }
  [[nodiscard]] bool servedInTime() const {
    return served() && Took <= Objective;
  }
  [[nodiscard]] bool refused() const { return Status != 0 && !served(); }
  [[nodiscard]] bool refusedInTime() const {
    return refused() && Took <= RefusalTime;
  }
};

double inSeconds(steady_clock::duration Duration) {
  return std::chrono::duration<double>(Duration).count();
}

std::size_t countOf(const std::deque<exchange_record> &Records,
                    bool (exchange_record::*Holds)() const) {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(), std::mem_fn(Holds)));
}

std::string summary(const std::deque<exchange_record> &Records) {
  return fmt::format("{} sent, {} served, {} in time, {} refused, {} in time",
                     Records.size(), countOf(Records, &exchange_record::served),
                     countOf(Records, &exchange_record::servedInTime),
                     countOf(Records, &exchange_record::refused),
                     countOf(Records, &exchange_record::refusedInTime));
}

//! Callers of one address that send on schedule, whatever comes back. An answer
//! is read while the body is still being sent.
class open_loop {
public:
  open_loop(std::string Address, std::string Key)
      : Address(std::move(Address)), Key(std::move(Key)) {}

  //! Sends the requests of \p Plan, one each \p Interval, for LoadTime.
  void add(std::deque<exchange_record> &Plan, steady_clock::duration Interval) {
    auto Due = Start;
    for (exchange_record &Record : Plan) {
      asio::co_spawn(Io, send(Record, Due), asio::detached);
      Due += Interval;
    }
  }

  //! Calls \p Observe each SampleInterval, for LoadTime.
  void sample(std::function<void()> Observe) {
    asio::co_spawn(Io, observe(std::move(Observe)), asio::detached);
  }

  void run() { Io.run(); }

private:
  using stream = std::shared_ptr<beast::tcp_stream>;

  asio::awaitable<void> waitUntil(steady_clock::time_point Due) {
    asio::steady_timer Timer(Io, Due);
    co_await Timer.async_wait(asio::use_awaitable);
  }

  asio::awaitable<void> observe(std::function<void()> Observe) {
    for (auto Due = Start; Due < Start + LoadTime; Due += SampleInterval) {
      co_await waitUntil(Due);
      Observe();
    }
  }

  static asio::awaitable<void> write(stream Stream, std::string Text) {
    error_code Ignored; // A caller that is refused cannot send the rest.
    co_await asio::async_write(
        *Stream, asio::buffer(Text),
        asio::redirect_error(asio::use_awaitable, Ignored));
  }

  asio::awaitable<void> send(exchange_record &Record,
                             steady_clock::time_point Due) {
    co_await waitUntil(Due);
    const auto Stream = std::make_shared<beast::tcp_stream>(Io);
    Stream->expires_at(Due + Record.Deadline + CallerPatience);
    error_code Error;
    co_await Stream->async_connect(
        parseEndpoint(Address),
        asio::redirect_error(asio::use_awaitable, Error));
    asio::co_spawn(Io, write(Stream, textOf(Record)), asio::detached);
    beast::flat_buffer Buffer;
    beast::http::response<beast::http::string_body> Response;
    co_await beast::http::async_read(
        *Stream, Buffer, Response,
        asio::redirect_error(asio::use_awaitable, Error));
    Record.Took = steady_clock::now() - Due;
    if (!Error)
      Record.Status = static_cast<int>(Response.result_int());
    Stream->close();
  }

  [[nodiscard]] std::string textOf(const exchange_record &Record) const {
    return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n"
                       "Authorization: Bearer {}\r\n\r\n{}",
                       Record.Path, Record.BodyBytes, Key,
                       std::string(Record.BodyBytes, 'x'));
  }

  std::string Address;
  std::string Key;
  asio::io_context Io{1};
  steady_clock::time_point Start = steady_clock::now() + milliseconds(50);
};

json::object route(std::string_view Name, std::string_view Prefix,
                   milliseconds Objective, milliseconds Deadline) {
  return {{"name", Name},
          {"path_prefix", Prefix},
          {"service", "registry"},
          {"idempotent", true},
          {"aim_ms", Objective.count()},
          {"deadline_ms", Deadline.count()}};
}

//! Tells the entry host what its link carries, if its settings know of it.
template <typename Settings> json::object linkSettings() {
  if constexpr (requires(Settings Value) { Value.LinkMegabitsPerSecond; })
    return {{"link_mbit_per_s", LinkMegabitsPerSecond}};
  return {};
}

deployment_plan plan() {
  deployment_plan Plan;
  Plan.FailureDomains = {"a"};
  Plan.ControlHosts = 3;
  Plan.FaultProxy = true;
  Plan.EntrySettings = linkSettings<entry_settings>();
  Plan.RulesJson = json::serialize(json::object{
      {"routes",
       json::array{route("upload", "/upload", UploadObjective, UploadDeadline),
                   route("small", "/small", SmallObjective, SmallDeadline)}}});
  for (const std::string Id : {"registry-1", "registry-2", "registry-3"})
    Plan.Targets.push_back({Id, "registry", "a", {"--slots=8"}});
  return Plan;
}

std::size_t linesWith(const std::string &File, std::string_view Text) {
  std::ifstream Log(File);
  std::size_t Count = 0;
  for (std::string Line; std::getline(Log, Line);)
    Count += Line.find(Text) != std::string::npos ? 1 : 0;
  return Count;
}

struct full_link_case {
  std::string Name;
  double Load; //!< Bytes of uploads, as a share of what the link carries.
};

void PrintTo(const full_link_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

class full_link : public testing::TestWithParam<full_link_case> {
protected:
  void SetUp() override {
    Key = Deployment->issueKey("large");
    const std::string Direct = Deployment->callerAddresses().front();
    const std::string Address = Deployment->links().addLink(
        {"callers", "callers"}, {"a-e1", "a"}, Direct);
    Link = Deployment->links().limitLink(
        "a-e1", static_cast<std::uint64_t>(LinkBytesPerSecond));
    ASSERT_TRUE(waitUntil([&] { return warmUp(Direct) == 200; }, seconds(4)));
    Callers = std::make_unique<open_loop>(Address, Key);
  }

  int warmUp(const std::string &Address) const {
    return call(Address,
                {"POST", "/small", {{"Authorization", "Bearer " + Key}}, {}})
        .Status;
  }

  void planUploads(double PerSecond) {
    const auto Count =
        static_cast<std::size_t>(PerSecond * inSeconds(LoadTime));
    for (std::size_t Number = 0; Number < Count; ++Number)
      Uploads.push_back({fmt::format("/upload/{}", Number),
                         UploadBytes[Number % UploadBytes.size()],
                         UploadObjective, UploadDeadline});
  }

  void planSmall() {
    for (int Number = 0; Number < LoadTime / SmallInterval; ++Number)
      Small.push_back(
          {fmt::format("/small/{}", Number), 0, SmallObjective, SmallDeadline});
  }

  void observeLink() {
    const auto Now = steady_clock::now();
    MaxInbound = std::max(MaxInbound, Link.Inbound->backlog(Now));
    MaxOutbound = std::max(MaxOutbound, Link.Outbound->backlog(Now));
  }

  [[nodiscard]] std::size_t logged(std::string_view Text) const {
    return linesWith(Deployment->at("a-e1").LogFile, Text);
  }

  [[nodiscard]] std::string report() const {
    return fmt::format(
        "uploads: {}; small: {}; longest wait for the link: inbound {:.2f} s, "
        "outbound {:.2f} s; leases lost {}, control links given up {}",
        summary(Uploads), summary(Small), inSeconds(MaxInbound),
        inSeconds(MaxOutbound), logged("lease_lost"),
        logged("does not respond; reconnecting"));
  }

  std::unique_ptr<deployment> Deployment =
      deployment::builder().withPlan(plan()).build();
  std::string Key;
  host_link Link;
  std::unique_ptr<open_loop> Callers;
  std::deque<exchange_record> Uploads;
  std::deque<exchange_record> Small;
  steady_clock::duration MaxInbound{};
  steady_clock::duration MaxOutbound{};
};

TEST_P(full_link, serves_what_fits_and_keeps_the_lease) {
  const double PerSecond =
      GetParam().Load * LinkBytesPerSecond / MeanUploadBytes;
  planUploads(PerSecond);
  planSmall();
  Callers->add(Uploads, std::chrono::duration_cast<steady_clock::duration>(
                            std::chrono::duration<double>(1 / PerSecond)));
  Callers->add(Small, SmallInterval);
  Callers->sample([this] { observeLink(); });
  const std::size_t LostBefore = logged("lease_lost");
  Callers->run();
  SCOPED_TRACE(report());
  RecordProperty("report", report());

  EXPECT_EQ(logged("lease_lost"), LostBefore);
  EXPECT_GE(countOf(Small, &exchange_record::servedInTime),
            SmallShareInTime * static_cast<double>(Small.size()));
  double ServedBytes = 0;
  for (const exchange_record &Upload : Uploads)
    ServedBytes +=
        Upload.servedInTime() ? static_cast<double>(Upload.BodyBytes) : 0;
  EXPECT_GE(ServedBytes, UploadShareServed * std::min(GetParam().Load, 1.0) *
                             LinkBytesPerSecond * inSeconds(LoadTime));
  const auto NotServed =
      Uploads.size() - countOf(Uploads, &exchange_record::served);
  EXPECT_GE(countOf(Uploads, &exchange_record::refusedInTime),
            RefusalShareInTime * static_cast<double>(NotServed));
}

INSTANTIATE_TEST_SUITE_P(each_load, full_link,
                         testing::Values(full_link_case{"a_quarter", 0.25},
                                         full_link_case{"half", 0.5},
                                         full_link_case{"all", 1.0},
                                         full_link_case{"too_much", 1.5}));

} // namespace
} // namespace pomelo::emulator
