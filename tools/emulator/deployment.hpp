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

//! A stand-in target to start.
struct target_plan {
  std::string TargetId;
  std::string Service;
  std::string FailureDomain;
  std::vector<std::string> ExtraArguments;
};

//! Hosts, targets and documents of a deployment.
struct deployment_plan {
  std::vector<std::string> FailureDomains{"a", "b", "c"};
  unsigned ControlHosts = 1; //!< Spread over the failure domains.
  unsigned EntryHostsPerDomain = 1;
  std::vector<target_plan> Targets;
  std::string InventoryJson; //!< Empty for standardInventory().
  std::string RulesJson;     //!< Empty for standardRules().
  //! Fields merged into every entry host's settings.
  boost::json::object EntrySettings;
  //! Routes connections between entry hosts and control hosts, among control
  //! hosts, and between entry hosts and targets through the fault proxy.
  bool FaultProxy = false;
};

//! A process of the deployment and the contents of its ready file.
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

//! Running processes of a deployment; the destructor kills them.
class deployment {
public:
  class builder;
  ~deployment();

  //! A member by id: "c1"... for control hosts, "a-e1"... for entry hosts of
  //! the failure domain a, and the target ids of the plan.
  member &at(const std::string &Id) { return *Members.at(Id); }
  std::vector<member *> membersOf(const std::string &Role);

  //! Caller addresses of the entry hosts, ordered by host id.
  std::vector<std::string> callerAddresses();
  std::vector<std::string> adminAddresses();

  //! Kills a member if it is running and starts it with the same arguments.
  void restart(const std::string &Id);
  //! Kills all members of \p Ids at the same moment.
  void killTogether(const std::vector<std::string> &Ids);
  void startTarget(const target_plan &Plan);

  //! Runs pomeloctl with \p Arguments against all control hosts; the exit
  //! code is -1 if it does not end in time.
  command_outcome ctl(std::vector<std::string> Arguments);
  //! Issues an API key for \p Account and returns the key text.
  std::string issueKey(const std::string &Account);
  boost::json::object status();

  //! Waits until every entry host is ready, every planned target has joined
  //! and every slot of a service with planned targets has an active owner;
  //! returns false after \p Timeout.
  bool waitServing(std::chrono::milliseconds Timeout);

  //! Returns the links between members, on which faults can be injected.
  //! \throws std::logic_error if the plan has no fault proxy.
  fault_links &links();

  //! Path of the journal of \p TargetId.
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
  //! Writes the files to \p Value and keeps them. Without this call, a
  //! temporary folder is used and removed on destruction, unless the
  //! environment variable POMELO_KEEP_FOLDERS is set.
  builder &withFolder(std::filesystem::path Value);
  //! Starts all processes and applies the inventory and the rules.
  //! \throws std::runtime_error if a process is not ready in time.
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
  //! Control host addresses that member \p FromId connects to; these are proxy
  //! addresses if the plan has a fault proxy.
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

//! Returns the path of a program of this build, such as "apps/pomelo-entry".
std::string program(std::string_view Name);

} // namespace pomelo::emulator

#endif
