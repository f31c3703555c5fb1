#include "endpoint.hpp"

#include <chrono>
#include <cstdlib>
#include <random>
#include <sstream>

namespace review {
namespace {

constexpr double BeatSeconds = 0.87;
constexpr unsigned KeyCount = 65536;
constexpr unsigned QueueLength = 8;

//! Value of a number in a flat JSON object; 0 if there is none.
double numberIn(const std::string &Json, const std::string &Name) {
  const auto Found = Json.find("\"" + Name + "\":");
  return Found == std::string::npos
             ? 0
             : std::atof(Json.c_str() + Found + Name.size() + 3);
}

std::uint64_t unixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

void run_list::add(run_event Event) {
  const std::lock_guard Lock(Mutex);
  Events.push_back(std::move(Event));
}

std::vector<run_event> run_list::all() const {
  const std::lock_guard Lock(Mutex);
  return Events;
}

endpoint::endpoint(record &Record, const deployment &Deployment, run_list &Runs,
                   endpoint_options Options)
    : Record(Record), Deployment(Deployment), Runs(Runs),
      Options(std::move(Options)) {}

endpoint::~endpoint() { crash(); }

bool endpoint::start() {
  Born = unixMs();
  Keys.assign(Options.Sharded ? KeyCount : 0, {});
  Server = std::make_unique<http_server>(
      [this](const http_message &Request) { return handle(Request); });
  if (!Server->start(Options.At))
    return false;
  Running = true;
  Reporter = std::thread([this] { report(); });
  return true;
}

void endpoint::crash() {
  if (!Running.exchange(false))
    return;
  SlotFree.notify_all();
  Server->stop();
  Reporter.join();
}

bool endpoint::restartAs(const std::string &Id) {
  Options.Id = Id;
  Busy = Waiting = 0;
  return start();
}

std::vector<grant_event> endpoint::grants() const {
  const std::lock_guard Lock(Mutex);
  return Grants;
}

std::optional<http_message> endpoint::handle(const http_message &Request) {
  const std::string Expected = Request.field("X-Expected-Instance");
  if (!Expected.empty() && Expected != Options.Id)
    return makeAnswer(421, {}, {{"X-Instance-Id", Options.Id}});
  if (Request.path() == "/health")
    return makeAnswer(200, {}, {{"X-Instance-Id", Options.Id}});
  if (Request.path() == "/pomeloswitch/grant")
    return grant(Request);
  if (Request.path() == "/pomeloswitch/release")
    return release(Request);
  return run(Request);
}

http_message endpoint::grant(const http_message &Request) {
  const auto From = static_cast<unsigned>(numberIn(Request.Body, "from"));
  const auto To = static_cast<unsigned>(numberIn(Request.Body, "target"));
  const auto Fence =
      static_cast<std::uint64_t>(numberIn(Request.Body, "fence"));
  const double Hold = numberIn(Request.Body, "hold_s");
  if (!Options.Sharded || To >= KeyCount || From > To)
    return makeAnswer(400);
  const std::lock_guard Lock(Mutex);
  for (unsigned Key = From; Key <= To; ++Key)
    if (Keys[Key].Fence > Fence)
      return makeAnswer(409);
  const seconds Now = Record.now();
  const bool New = Keys[From].Fence != Fence;
  for (unsigned Key = From; Key <= To; ++Key)
    Keys[Key] = {Fence, Now + Hold};
  if (New) {
    Grants.push_back({Now, Born, From, To, Fence});
    Record.line("endpoint " + Options.Id + " born " + std::to_string(Born) +
                " takes keys " + std::to_string(From) + " to " +
                std::to_string(To) + " with fence " + std::to_string(Fence));
  }
  return makeAnswer(200);
}

http_message endpoint::release(const http_message &Request) {
  const auto From = static_cast<unsigned>(numberIn(Request.Body, "from"));
  const auto To = static_cast<unsigned>(numberIn(Request.Body, "target"));
  if (!Options.Sharded || To >= KeyCount)
    return makeAnswer(400);
  {
    const std::lock_guard Lock(Mutex);
    for (unsigned Key = From; Key <= To; ++Key)
      Keys[Key].Until = 0;
  }
  Record.line("endpoint " + Options.Id + " releases keys " +
              std::to_string(From) + " to " + std::to_string(To));
  sleepFor(Options.WorkSeconds);
  return makeAnswer(200, {}, {{"X-Handover", "5c0e7a21d94b36f8"}});
}

bool endpoint::holds(unsigned Key) const {
  const std::lock_guard Lock(Mutex);
  return Running && Key < Keys.size() && Record.now() < Keys[Key].Until;
}

std::optional<http_message> endpoint::run(const http_message &Request) {
  const std::string Id = Request.field("X-Request-Id");
  const std::string Key = Request.field("X-Shard-Key");
  const bool Held =
      !Key.empty() && holds(static_cast<unsigned>(std::atoi(Key.c_str())));
  if (Options.Sharded && !Held)
    return makeAnswer(421, {}, {{"X-Request-Id", Id}, {"X-Not-Executed", "1"}});
  {
    std::unique_lock Lock(Mutex);
    if (Waiting >= QueueLength)
      return makeAnswer(503, {},
                        {{"X-Request-Id", Id}, {"X-Not-Executed", "1"}});
    ++Waiting;
    SlotFree.wait(Lock, [this] { return !Running || Busy < Options.Slots; });
    --Waiting;
    if (!Running)
      return std::nullopt;
    ++Busy;
  }
  Runs.add({Record.now(), Id, Request.path(), Options.Id, Options.Zone});
  Record.line("endpoint " + Options.Id + " in " + Options.Zone + " runs " + Id +
              " " + Request.method() + " " + Request.path());
  const bool Crashes = Fate && Fate(Request) == run_fate::Crash;
  if (!Crashes)
    sleepFor(Options.WorkSeconds);
  std::string Load;
  {
    const std::lock_guard Lock(Mutex);
    --Busy;
    std::ostringstream Text;
    Text << Busy << "," << Waiting << "," << Options.Slots;
    Load = Text.str();
  }
  SlotFree.notify_one();
  if (Crashes)
    return std::nullopt;
  return makeAnswer(200, "done by " + Options.Id + "\n",
                    {{"X-Request-Id", Id},
                     {"X-Response-Signature", "signed." + Id},
                     {"X-Server-Load", Load}});
}

//! Reports to a node until one fails, then to the next.
void endpoint::report() {
  std::mt19937 Random(static_cast<unsigned>(Born) +
                      static_cast<unsigned>(Options.At.Port));
  address To = Deployment.Controls[Random() % Deployment.Controls.size()].Calls;
  for (double Slept = 0; Running && Slept < Options.FirstReportAfter;
       Slept += 0.02)
    sleepFor(0.02);
  for (std::uint64_t Sequence = 1; Running; ++Sequence) {
    std::ostringstream Body;
    Body << R"({"born":)" << Born << R"(,"address":")" << Options.At.text()
         << R"(","information":{"service":")" << Options.Service
         << R"(","version":"v1","zone":")" << Options.Zone << R"(","slots":)"
         << Options.Slots << R"(},"status":{"state":"ready","sequence":)"
         << Sequence << R"(,"cold_remaining_s":0}})";
    for (int Try = 0; Running && Try < 4; ++Try) {
      const auto Answer = call(
          To,
          makeRequest("POST", "/pomeloswitch/Instances.Heartbeat/" + Options.Id,
                      To.text(), Body.str()),
          1);
      if (Answer.status() == 200)
        break;
      To = Deployment.Controls[Random() % Deployment.Controls.size()].Calls;
    }
    for (double Slept = 0; Running && Slept < BeatSeconds; Slept += 0.02)
      sleepFor(0.02);
  }
}

} // namespace review
