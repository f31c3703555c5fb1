#include "deployment.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace review {
namespace {

constexpr double CallSeconds = 1;
constexpr double LatestStart = 0.28; // The pages allow 0.3 s.

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

std::string hostText(const address &Id, const std::string &Ip) {
  return "{ \"id\": " + quoted(Id.text()) +
         ", \"address\": " + quoted(Ip + ":" + std::to_string(Id.Port)) + " }";
}

} // namespace

child_process::child_process(std::string Program, std::string SettingsFile,
                             std::string LogFile)
    : Program(std::move(Program)), SettingsFile(std::move(SettingsFile)),
      LogFile(std::move(LogFile)) {}

child_process::~child_process() { kill(); }

void child_process::start() {
  Process = ::fork();
  if (Process != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Log =
      ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(Log, STDOUT_FILENO);
  ::dup2(Log, STDERR_FILENO);
  ::setenv("POMELOSWITCH_BOOT", SettingsFile.c_str(), 1);
  ::execl(Program.c_str(), Program.c_str(), nullptr);
  ::_exit(127);
}

void child_process::send(int Signal) const {
  if (Process > 0)
    ::kill(Process, Signal);
}

void child_process::kill() {
  if (Process <= 0)
    return;
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
  Process = -1;
}

std::optional<std::string> child_process::endedByItself() {
  int Status = 0;
  if (Process <= 0 || ::waitpid(Process, &Status, WNOHANG) != Process)
    return std::nullopt;
  Process = -1;
  return WIFSIGNALED(Status)
             ? "by signal " + std::to_string(WTERMSIG(Status))
             : "with exit code " + std::to_string(WEXITSTATUS(Status));
}

const std::vector<std::string> deployment::Zones{"zone-a", "zone-b", "zone-c"};

deployment::deployment(record &Record, unsigned EntriesPerZone)
    : Record(Record), Net(32 + static_cast<unsigned>(::getpid()) % 200),
      PeerPort(freePort()), AdminPort(freePort()) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  Folder = ::mkdtemp(Template.data());
  const std::uint16_t ControlPort = freePort();
  const std::uint16_t FrontPort = freePort();
  const std::uint16_t ReadyPort = freePort();
  for (unsigned Zone = 0; Zone < Zones.size(); ++Zone) {
    const std::string Ip = ip(Zone, 1);
    Controls.push_back({Zones[Zone], {Ip, ControlPort}, {Ip, PeerPort}, {}});
    for (unsigned Number = 0; Number < EntriesPerZone; ++Number) {
      const std::string EntryIp = ip(Zone, 10 + Number);
      Entries.push_back({"front-" + Zones[Zone] + "-" + std::to_string(Number),
                         Zones[Zone],
                         {EntryIp, FrontPort},
                         {EntryIp, ReadyPort},
                         {}});
    }
  }
}

deployment::~deployment() {
  Entries.clear();
  Controls.clear();
  std::error_code Ignored;
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(Folder, Ignored);
}

std::string deployment::ip(unsigned Zone, unsigned Number) const {
  return "127." + std::to_string(Net) + "." + std::to_string(Zone + 1) + "." +
         std::to_string(Number);
}

std::string
deployment::hostsAsSeenBy(std::size_t From,
                          const std::vector<std::size_t> &Hosts) const {
  std::string Out;
  for (const std::size_t To : Hosts) {
    const bool Routed = Route_ && From < Controls.size() && From != To;
    const std::string Ip = Routed ? Route_(From, To) : Controls[To].Calls.Ip;
    Out += (Out.empty() ? "" : ", ") + hostText(Controls[To].Calls, Ip);
  }
  return "[" + Out + "]";
}

std::string deployment::controlSettings(std::size_t Index,
                                        const std::vector<std::size_t> &Seeds,
                                        bool Bootstrap) const {
  const control_machine &Machine = Controls[Index];
  std::string Domains;
  for (const std::string &Zone : Zones)
    Domains += (Domains.empty() ? "" : ", ") + quoted(Zone) + ": \"region\"";
  std::ostringstream Out;
  Out << "{ \"host_id\": " << quoted(Machine.Calls.text())
      << ", \"failure_domain\": " << quoted(Machine.Zone)
      << ", \"peer_address\": " << quoted(Machine.Peers.text())
      << ", \"admin_address\": "
      << quoted(Machine.Calls.Ip + ":" + std::to_string(AdminPort))
      << ", \"data_folder\": "
      << quoted(Folder + "/data-" + std::to_string(Index))
      << ", \"members\": " << hostsAsSeenBy(Index, Seeds)
      << ", \"may_found\": " << (Bootstrap ? "true" : "false")
      << ", \"tolerated_losses\": 1, \"peer_port\": " << PeerPort
      << ", \"cluster_secret_file\": \"deploy/cluster-secret\", "
         "\"operators\": [], \"adapter\": { \"failure_domains\": {"
      << Domains << "} }, \"log\": { \"level\": \"info\" } }";
  return Out.str();
}

std::string deployment::entrySettings(std::size_t Index) const {
  const entry_machine &Machine = Entries[Index];
  std::ostringstream Out;
  Out << "{ \"host_id\": " << quoted(Machine.Name)
      << ", \"failure_domain\": " << quoted(Machine.Zone)
      << ", \"caller_address\": " << quoted(Machine.Front.text())
      << ", \"ops_address\": " << quoted(Machine.Ready.text())
      << ", \"control_hosts\": " << hostsAsSeenBy(Controls.size(), {0, 1, 2})
      << ", \"peer_port\": " << PeerPort
      << ", \"cluster_secret_file\": \"deploy/cluster-secret\", "
         "\"link_mbit_per_s\": 1000.0, \"max_caller_connections\": 2000, "
         "\"stop_notice_ms\": 2600, \"stop_grace_ms\": 3000, "
         "\"retries\": { \"ratio\": 0.2, \"spare\": 64 }, "
         "\"log\": { \"level\": \"info\" } }";
  return Out.str();
}

std::unique_ptr<child_process>
deployment::makeProcess(const std::string &Program, const std::string &Name,
                        const std::string &Settings) const {
  const std::string File = Folder + "/" + Name + ".json";
  std::ofstream(File) << Settings << '\n';
  return std::make_unique<child_process>("target/platform/" + Program, File,
                                         Folder + "/" + Name + ".log");
}

void deployment::startControl(std::size_t Index,
                              const std::vector<std::size_t> &Seeds,
                              bool Bootstrap) {
  Controls[Index].Process =
      makeProcess("pomelo-platform-control", "control-" + std::to_string(Index),
                  controlSettings(Index, Seeds, Bootstrap));
  Controls[Index].Process->start();
}

void deployment::addControl(const std::string &Zone,
                            const std::vector<std::size_t> &Seeds) {
  const std::size_t Index = Controls.size();
  const std::string Ip = ip(0, 200 + static_cast<unsigned>(Index));
  Controls.push_back(
      {Zone, {Ip, Controls.front().Calls.Port}, {Ip, PeerPort}, {}});
  std::vector<std::size_t> AndItself = Seeds;
  AndItself.push_back(Index);
  startControl(Index, AndItself, false);
}

void deployment::start(std::optional<std::size_t> Last) {
  for (std::size_t Index = 0; Index < Controls.size(); ++Index)
    if (Index != Last)
      startControl(Index, {0, 1, 2}, true);
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    Entries[Index].Process = makeProcess(
        "pomelo-platform-entry", Entries[Index].Name, entrySettings(Index));
    Entries[Index].Process->start();
  }
  if (Last) {
    sleepFor(LatestStart);
    startControl(*Last, {0, 1, 2}, true);
  }
  Record.line("started " + std::to_string(Controls.size()) +
              " control machines and " + std::to_string(Entries.size()) +
              " entry machines");
}

bool deployment::awaitReady(seconds Until) const {
  for (const entry_machine &Entry : Entries) {
    const auto Request =
        makeRequest("GET", "/pomeloswitch/readiness", Entry.Ready.text());
    while (call(Entry.Ready, Request, CallSeconds).status() != 200) {
      if (Record.now() >= Until)
        return false;
      sleepFor(0.1);
    }
  }
  return true;
}

std::optional<std::size_t> deployment::leader() const {
  for (std::size_t Index = 0; Index < Controls.size(); ++Index) {
    const auto Request = makeRequest("GET", "/pomeloswitch/Configuration.Read",
                                     Controls[Index].Calls.text());
    if (call(Controls[Index].Calls, Request, CallSeconds).status() == 200)
      return Index;
  }
  return std::nullopt;
}

unsigned deployment::reportEnded() {
  unsigned Count = 0;
  const auto Look = [&](const std::string &Name, child_process *Process) {
    if (!Process)
      return;
    if (const auto How = Process->endedByItself()) {
      Record.say("process of " + Name + " ended " + *How);
      ++Count;
    }
  };
  for (const control_machine &Machine : Controls)
    Look("control machine " + Machine.Zone, Machine.Process.get());
  for (const entry_machine &Machine : Entries)
    Look("entry machine " + Machine.Name, Machine.Process.get());
  return Count;
}

std::string configuration::text() const {
  std::ostringstream Out;
  char Number[16];
  std::snprintf(Number, sizeof(Number), "%08x", Version);
  Out << "{\"version\":" << quoted(Number) << ",\"routes\":{";
  const char *Comma = "";
  for (const route_text &Route : Routes) {
    Out << Comma << quoted(Route.Name)
        << ":{\"host\":" << quoted(Route.Name + ".example")
        << ",\"path_prefix\":" << quoted("/" + Route.Name + "/")
        << ",\"kind\":" << quoted(Route.Kind)
        << ",\"timeout_s\":" << Route.TimeoutSeconds
        << ",\"target_latency_s\":" << Route.AimSeconds
        << ",\"priority\":1,\"service\":" << quoted(Route.Service)
        << ",\"max_attempts\":" << Route.MaxAttempts
        << ",\"allow_anonymous\":false}";
    Comma = ",";
  }
  Out << "},\"services\":{";
  Comma = "";
  for (const service_text &Service : Services) {
    Out << Comma << quoted(Service.Name)
        << ":{\"health_check_path\":\"/health\",\"connection_limit\":130,"
           "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,"
           "\"cold_per_s\":2.5";
    if (Service.Sharded)
      Out << ",\"sharded\":true,\"warm_up_s\":2.0,\"grants\":\"request\"";
    Out << "}";
    Comma = ",";
  }
  Out << "},\"limits\":{\"max_header_bytes\":" << MaxHeaderBytes
      << ",\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
         "\"idle_timeout_s\":15}";
  if (!KeyOfTenant.empty())
    Out << ",\"tenants\":{\"tenant-1\":{\"api_keys\":[" << quoted(KeyOfTenant)
        << "],\"priority\":1}}";
  Out << "}";
  return Out.str();
}

std::optional<seconds>
site_operator::order(const std::string &Method, const std::string &Path,
                     const std::string &Body,
                     const std::vector<std::size_t> &Nodes, double Seconds) {
  const seconds Until = Record.now() + Seconds;
  for (std::size_t Try = 0; Record.now() < Until; ++Try) {
    const std::size_t Node = Nodes[Try % Nodes.size()];
    address To = Deployment.Controls[Node].Calls;
    call_result Result;
    for (int Redirects = 0; Redirects <= 2; ++Redirects) {
      Record.line(std::string("operator sends ")
                      .append(Method)
                      .append(" ")
                      .append(Path)
                      .append(" to ")
                      .append(To.text()));
      Result =
          call(To, makeRequest(Method, Path, To.text(), Body), CallSeconds);
      if (Result.status() != 307)
        break;
      const std::string Location = Result.Answer->field("Location");
      const auto Begin = Location.find("//") + 2;
      To = parseAddress(
          Location.substr(Begin, Location.find('/', Begin) - Begin));
    }
    Record.line("operator gets " + Result.text() + " for " + Path);
    if (Result.status() / 100 == 2)
      return Record.now();
    sleepFor(0.1 * static_cast<double>(Try + 1));
  }
  return std::nullopt;
}

std::optional<seconds>
site_operator::configure(const configuration &Configuration) {
  return order("POST", "/pomeloswitch/Configuration.Replace",
               Configuration.text(), {0, 1, 2}, 20);
}

} // namespace review
