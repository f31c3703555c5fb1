//! A small deployment of real processes on loopback.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_DEPLOYMENT_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_DEPLOYMENT_HPP

#include "emulator/child_process.hpp"
#include "emulator/fault_links.hpp"
#include "emulator/free_port.hpp"
#include "emulator/http_call.hpp"
#include "emulator/standard_documents.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo::emulator {

struct target_plan {
  std::string TargetId;
  std::string Service;
  std::string FailureDomain;
  std::vector<std::string> ExtraArguments;
};

struct deployment_plan {
  std::vector<std::string> FailureDomains{"a", "b", "c"};
  unsigned ControlHosts = 1; //!< Spread over the failure domains.
  unsigned EntryHostsPerDomain = 1;
  std::vector<target_plan> Targets;
  std::string InventoryJson; //!< Empty for standardInventory().
  std::string RulesJson;     //!< Empty for standardRules().
  //! Fields merged into every entry host's settings.
  boost::json::object EntrySettings;
  //! Puts the fault proxy between entry hosts and control hosts, among control
  //! hosts, and between entry hosts and targets.
  bool FaultProxy = false;
};

//! A process of the deployment and what it wrote into its ready file.
struct member {
  std::string Id;
  std::string Role; //!< "control", "entry" or "target".
  std::string FailureDomain;
  std::string Program;
  std::vector<std::string> Arguments;
  std::string LogFile;
  std::string ReadyFile;
  std::string SettingsFile; //!< Empty for a target.
  boost::json::object Description;
  std::unique_ptr<child_process> Process;
};

//! The outcome of one pomeloctl command.
struct command_outcome {
  int ExitCode = 0;
  std::string Output;
};

class deployment {
public:
  class builder;
  ~deployment();

  //! A member by id: "c1"... for control hosts, "a-e1"... for entry hosts of
  //! the failure domain a, and the target ids of the plan.
  member &at(const std::string &Id) { return *Members.at(Id); }
  std::vector<member *> membersOf(const std::string &Role);

  //! Addresses of the entry hosts for callers, in the order of their ids.
  std::vector<std::string> callerAddresses();
  std::vector<std::string> adminAddresses();

  //! Starts a member again with the arguments that it had.
  void restart(const std::string &Id);
  void startTarget(const target_plan &Plan);

  command_outcome ctl(std::vector<std::string> Arguments);
  //! Issues a key for the account and returns its text.
  std::string issueKey(const std::string &Account);
  boost::json::object status();

  //! Waits until every entry host is ready and every planned target joined
  //! and every slot has an active owner.
  bool waitServing(std::chrono::milliseconds Timeout);

  //! Faults between the members.
  //! \throws std::logic_error if the plan has no fault proxy.
  fault_links &links();

  [[nodiscard]] std::string journalOf(const std::string &TargetId) const;
  [[nodiscard]] const std::filesystem::path &folder() const { return Folder; }
  [[nodiscard]] std::string operatorCredentialFile() const;

private:
  deployment() = default;

  void launch(member &Member);
  [[nodiscard]] bool hasTargets(std::string_view Service) const;
  member &add(member Member);

  std::filesystem::path Folder;
  bool KeepFolder = false;
  deployment_plan Plan;
  std::unique_ptr<fault_links> Links; //!< Outlives the members.
  std::map<std::string, std::unique_ptr<member>> Members;
};

class deployment::builder {
public:
  builder &withPlan(deployment_plan Value);
  //! Keeps the files there; otherwise a temporary folder is removed at the
  //! end unless a test failed to start.
  builder &withFolder(std::filesystem::path Value);
  //! Starts all processes and applies inventory and rules.
  //! \throws std::runtime_error if they do not come up in time.
  std::unique_ptr<deployment> build();

private:
  struct control_address {
    std::string Id;
    std::string FailureDomain;
    std::string Address;
  };

  void prepareFolder();
  void planControlHosts();
  void launchControlHosts();
  void launchEntryHosts();
  void applyDocuments();
  //! The control hosts' addresses as member \p FromId sees them.
  boost::json::array controlHostsFor(const std::string &FromId,
                                     const std::string &FromDomain);
  void launchDaemon(const std::string &Id, const std::string &Role,
                    const std::string &FailureDomain,
                    const boost::json::object &Settings);

  deployment_plan Plan;
  std::filesystem::path Folder;
  std::vector<control_address> ControlHosts;
  std::unique_ptr<deployment> Built;
};

//! The path of a program of this build, for instance "apps/pomelo-entry".
std::string program(std::string_view Name);

} // namespace pomelo::emulator

#endif
