#include "emulator/deployment.hpp"

#include "pomeloswitch/wire/secret_hash.hpp"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace pomelo::emulator {
namespace {

namespace json = boost::json;

constexpr std::string_view ClusterSecret = "cluster secret for emulation only";
constexpr std::string_view OperatorCredential = "operator-credential";
constexpr std::chrono::milliseconds StartTimeout = std::chrono::seconds(20);

void writeFile(const std::filesystem::path &Path, std::string_view Text) {
  std::ofstream(Path) << Text;
}

} // namespace

deployment::builder &deployment::builder::withPlan(deployment_plan Value) {
  Plan = std::move(Value);
  return *this;
}

deployment::builder &
deployment::builder::withFolder(std::filesystem::path Value) {
  Folder = std::move(Value);
  return *this;
}

std::unique_ptr<deployment> deployment::builder::build() {
  Built.reset(new deployment());
  Built->KeepFolder = !Folder.empty() || std::getenv("POMELO_KEEP_FOLDERS");
  Built->Plan = Plan;
  if (Plan.FaultProxy)
    Built->Links = std::make_unique<fault_links>();
  prepareFolder();
  planControlHosts();
  launchControlHosts();
  launchEntryHosts();
  applyDocuments();
  for (const target_plan &Target : Plan.Targets)
    Built->startTarget(Target);
  if (!Built->waitServing(StartTimeout))
    throw std::runtime_error(fmt::format(
        "the deployment in {} did not become ready", Folder.string()));
  return std::move(Built);
}

void deployment::builder::prepareFolder() {
  if (Folder.empty()) {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "pomelo-XXXXXX").string();
    if (!mkdtemp(Pattern.data()))
      throw std::runtime_error("cannot create a temporary folder");
    Folder = Pattern;
  }
  std::filesystem::create_directories(Folder);
  Built->Folder = Folder;
  writeFile(Folder / "secret", ClusterSecret);
  writeFile(Folder / "operator-credential", OperatorCredential);
}

void deployment::builder::planControlHosts() {
  for (unsigned Number = 0; Number < Plan.ControlHosts; ++Number)
    ControlHosts.push_back(
        {fmt::format("c{}", Number + 1),
         Plan.FailureDomains[Number % Plan.FailureDomains.size()],
         fmt::format("127.0.0.1:{}", freePort())});
}

json::array
deployment::builder::controlHostsFor(const std::string &FromId,
                                     const std::string &FromDomain) {
  json::array Hosts;
  for (const control_address &Host : ControlHosts) {
    const bool Direct = !Built->Links || Host.Id == FromId;
    Hosts.push_back(json::object{
        {"id", Host.Id},
        {"address", Direct
                        ? Host.Address
                        : Built->Links->addLink({FromId, FromDomain},
                                                {Host.Id, Host.FailureDomain},
                                                Host.Address)}});
  }
  return Hosts;
}

void deployment::builder::launchDaemon(const std::string &Id,
                                       const std::string &Role,
                                       const std::string &FailureDomain,
                                       const json::object &Settings) {
  const auto File = Folder / (Id + ".json");
  writeFile(File, json::serialize(Settings));
  member Member;
  Member.Id = Id;
  Member.Role = Role;
  Member.FailureDomain = FailureDomain;
  Member.Program = program("apps/pomelo-" + Role);
  Member.Arguments = {"--settings=" + File.string()};
  Member.SettingsFile = File.string();
  Built->launch(Built->add(std::move(Member)));
}

void deployment::builder::launchControlHosts() {
  const json::object Operator{{"name", "emulator"},
                              {"key_sha256", sha256Hex(OperatorCredential)}};
  for (const control_address &Host : ControlHosts)
    launchDaemon(Host.Id, "control", Host.FailureDomain,
                 {{"host_id", Host.Id},
                  {"failure_domain", Host.FailureDomain},
                  {"peer_address", Host.Address},
                  {"admin_address", "127.0.0.1:0"},
                  {"data_folder", (Folder / (Host.Id + ".data")).string()},
                  {"members", controlHostsFor(Host.Id, Host.FailureDomain)},
                  {"cluster_secret_file", (Folder / "secret").string()},
                  {"operators", json::array{Operator}}});
}

void deployment::builder::launchEntryHosts() {
  for (const auto &Domain : Plan.FailureDomains)
    for (unsigned Number = 1; Number <= Plan.EntryHostsPerDomain; ++Number) {
      const std::string Id = fmt::format("{}-e{}", Domain, Number);
      json::object Settings{
          {"host_id", Id},
          {"failure_domain", Domain},
          {"caller_address", "127.0.0.1:0"},
          {"announce_address", "127.0.0.1:0"},
          {"ops_address", "127.0.0.1:0"},
          {"control_hosts", controlHostsFor(Id, Domain)},
          {"cluster_secret_file", (Folder / "secret").string()}};
      for (const auto &Field : Plan.EntrySettings)
        Settings[Field.key()] = Field.value();
      launchDaemon(Id, "entry", Domain, Settings);
    }
}

void deployment::builder::applyDocuments() {
  writeFile(Folder / "inventory.json",
            Plan.InventoryJson.empty() ? standardInventory(Plan.FailureDomains)
                                       : Plan.InventoryJson);
  writeFile(Folder / "rules.json",
            Plan.RulesJson.empty() ? standardRules() : Plan.RulesJson);
  for (const std::string Kind : {"inventory", "rules"}) {
    const auto Outcome =
        Built->ctl({Kind, "apply", (Folder / (Kind + ".json")).string()});
    if (Outcome.ExitCode != 0)
      throw std::runtime_error(Outcome.Output);
  }
}

} // namespace pomelo::emulator
