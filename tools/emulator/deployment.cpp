#include "emulator/deployment.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace pomelo::emulator {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds StartTimeout = seconds(20);

std::string readText(const std::filesystem::path &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

void writeFile(const std::filesystem::path &Path, std::string_view Text) {
  std::ofstream(Path) << Text;
}

//! Writes the bound addresses into the settings file, so that a restarted
//! process listens on the same addresses.
void storeBoundAddresses(const member &Member) {
  json::object Settings =
      json::parse(readText(Member.SettingsFile)).as_object();
  for (const auto &Field : Member.Description)
    if (Field.key().ends_with("_address") && Settings.contains(Field.key()))
      Settings[Field.key()] = Field.value();
  writeFile(Member.SettingsFile, json::serialize(Settings));
}

} // namespace

std::string program(std::string_view Name) {
  return fmt::format("{}/{}", POMELO_BINARY_FOLDER, Name);
}

deployment::~deployment() {
  for (auto &[Id, Member] : Members)
    if (Member->Process)
      Member->Process->kill();
  std::error_code Ignored;
  if (!KeepFolder)
    std::filesystem::remove_all(Folder, Ignored);
}

member &deployment::add(member Member) {
  Member.LogFile = (Folder / (Member.Id + ".log")).string();
  Member.ReadyFile = (Folder / (Member.Id + ".ready")).string();
  Member.Arguments.push_back("--ready-file=" + Member.ReadyFile);
  const std::string Id = Member.Id;
  return *(Members[Id] = std::make_unique<member>(std::move(Member)));
}

void deployment::launch(member &Member) {
  std::filesystem::remove(Member.ReadyFile);
  Member.Process = std::make_unique<child_process>(
      Member.Program, Member.Arguments, Member.LogFile);
  const bool Ready = waitUntil(
      [&] {
        return std::filesystem::exists(Member.ReadyFile) ||
               !Member.Process->running();
      },
      StartTimeout);
  if (!Ready || !Member.Process->running())
    throw std::runtime_error(fmt::format("{} did not start: {}", Member.Id,
                                         readText(Member.LogFile)));
  Member.Description = json::parse(readText(Member.ReadyFile)).as_object();
  if (Links)
    Links->setProcess(Member.Id, Member.Process->pid());
}

void deployment::restart(const std::string &Id) {
  member &Member = at(Id);
  Member.Process->kill();
  if (!Member.SettingsFile.empty())
    storeBoundAddresses(Member);
  launch(Member);
}

void deployment::killTogether(const std::vector<std::string> &Ids) {
  for (const std::string &Id : Ids)
    at(Id).Process->signal(SIGKILL);
  for (const std::string &Id : Ids)
    at(Id).Process->kill();
}

void deployment::startTarget(const target_plan &Target) {
  std::string Announce;
  for (member *Entry : membersOf("entry"))
    if (Entry->FailureDomain == Target.FailureDomain)
      Announce +=
          (Announce.empty() ? "" : ",") +
          std::string(Entry->Description.at("announce_address").as_string());
  const std::string Address = fmt::format("127.0.0.1:{}", freePort());
  std::vector<std::string> Arguments{
      "--id=" + Target.TargetId,
      "--service=" + Target.Service,
      "--domain=" + Target.FailureDomain,
      fmt::format("--credential={}", TargetCredential),
      "--announce=" + Announce,
      "--address=" + Address,
      "--journal=" + journalOf(Target.TargetId)};
  if (Links)
    Arguments.push_back(
        "--announce-address=" +
        Links->addTarget(Target.TargetId, Target.FailureDomain, Address));
  Arguments.insert(Arguments.end(), Target.ExtraArguments.begin(),
                   Target.ExtraArguments.end());
  member Member;
  Member.Id = Target.TargetId;
  Member.Role = "target";
  Member.FailureDomain = Target.FailureDomain;
  Member.Program = program("tools/standin-target");
  Member.Arguments = std::move(Arguments);
  launch(add(std::move(Member)));
}

std::vector<member *> deployment::membersOf(const std::string &Role) {
  std::vector<member *> Found;
  for (auto &[Id, Member] : Members)
    if (Member->Role == Role)
      Found.push_back(Member.get());
  return Found;
}

std::vector<std::string> deployment::callerAddresses() {
  std::vector<std::string> Addresses;
  for (member *Entry : membersOf("entry"))
    Addresses.emplace_back(Entry->Description.at("caller_address").as_string());
  return Addresses;
}

std::vector<std::string> deployment::adminAddresses() {
  std::vector<std::string> Addresses;
  for (member *Control : membersOf("control"))
    Addresses.emplace_back(
        Control->Description.at("admin_address").as_string());
  return Addresses;
}

command_outcome deployment::ctl(std::vector<std::string> Arguments) {
  std::string Control;
  for (const auto &Address : adminAddresses())
    Control += (Control.empty() ? "" : ",") + Address;
  Arguments.insert(Arguments.begin(),
                   {"--json", "--control=" + Control,
                    "--credential=" + operatorCredentialFile()});
  const auto Output = Folder / "ctl.out";
  std::filesystem::remove(Output);
  child_process Process(program("apps/pomeloctl"), std::move(Arguments),
                        Output.string());
  const auto ExitCode = Process.wait(StartTimeout);
  return {ExitCode.value_or(-1), readText(Output)};
}

std::string deployment::issueKey(const std::string &Account) {
  const auto Outcome = ctl({"key", "issue", Account});
  if (Outcome.ExitCode != 0)
    throw std::runtime_error(Outcome.Output);
  return std::string(
      json::parse(Outcome.Output).as_object().at("key").as_string());
}

json::object deployment::status() {
  const auto Outcome = ctl({"status"});
  if (Outcome.ExitCode != 0)
    throw std::runtime_error(Outcome.Output);
  return json::parse(Outcome.Output).as_object();
}

bool deployment::waitServing(milliseconds Timeout) {
  return waitUntil(
      [this] {
        for (member *Entry : membersOf("entry")) {
          const std::string Ops(
              Entry->Description.at("ops_address").as_string());
          if (call(Ops, {"GET", "/readyz", {}, {}, seconds(1)}).Status != 200)
            return false;
        }
        const json::object Status = status();
        if (Status.at("targets").as_array().size() < membersOf("target").size())
          return false;
        for (const auto &Service : Status.at("slots").as_object()) {
          if (!hasTargets(Service.key()))
            continue;
          const auto &Phases = Service.value().as_object();
          if (Phases.at("unowned").to_number<int>() +
                  Phases.at("granted").to_number<int>() +
                  Phases.at("revoking").to_number<int>() >
              0)
            return false;
        }
        return true;
      },
      Timeout);
}

bool deployment::hasTargets(std::string_view Service) const {
  return std::any_of(Plan.Targets.begin(), Plan.Targets.end(),
                     [Service](const target_plan &Target) {
                       return Target.Service == Service;
                     });
}

fault_links &deployment::links() {
  if (!Links)
    throw std::logic_error("the plan has no fault proxy");
  return *Links;
}

std::string deployment::journalOf(const std::string &TargetId) const {
  return (Folder / (TargetId + ".journal")).string();
}

std::string deployment::operatorCredentialFile() const {
  return (Folder / "operator-credential").string();
}

} // namespace pomelo::emulator
