//! A small deployment on loopback addresses: the programs of the deploy file,
//! started as the platform starts them, and the platform's operator.
#ifndef POMELOSWITCH_REVIEW_HARNESS_DEPLOYMENT_HPP
#define POMELOSWITCH_REVIEW_HARNESS_DEPLOYMENT_HPP

#include "child.hpp"
#include "http.hpp"
#include "record.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo::review {

//! What the platform's sheet says of a deployment.
struct deployment_plan {
  std::vector<std::string> Zones;
  std::vector<std::string> CoreZones;  //!< Of each control host.
  std::vector<std::string> FrontZones; //!< Of each entry host.
  boost::json::object Bounds;
  //! How many machines with a disk may be lost at once.
  unsigned MachinesToLose = 1;
  std::chrono::milliseconds HeartbeatInterval{870};
  double FrontLinkMbps = 1000; //!< Of each entry host.
};

//! The bounds of the small deployments' sheets.
boost::json::object smallBounds();

class deployment {
public:
  //! Starts all machines at once on empty disks.
  deployment(deployment_plan Plan, record &Record);
  ~deployment();
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  //! Names are core-N and front-N, from 1.
  void signal(const std::string &Name, int Number);
  void kill(const std::string &Name);
  void start(const std::string &Name);
  //! Empties the disk of a machine that does not run.
  void loseDisk(const std::string &Name);
  //! Whether a process has ended that this deployment did not kill.
  bool endedByItself();

  [[nodiscard]] std::string controlAddress(const std::string &Name) const;
  [[nodiscard]] std::string frontAddress(const std::string &Name) const;
  [[nodiscard]] std::vector<std::string> controlAddresses() const;
  [[nodiscard]] const deployment_plan &plan() const { return Plan; }
  [[nodiscard]] record &log() const { return Record; }
  //! An unused loopback address for a stand-in.
  std::string newIp();

  //! One call of the operator or of a server, as PROTOCOL says: it follows a
  //! redirection twice and moves on to another control host after a failure, a
  //! 5xx, 408 or 429 or a second without an answer. Nothing at the deadline.
  std::optional<message> callControl(std::string_view Method,
                                     const std::string &Path,
                                     const std::string &Body,
                                     std::chrono::milliseconds Timeout,
                                     const std::string &First = {}) const;
  //! Sends a configuration until it is acknowledged.
  bool replaceConfiguration(const std::string &Body,
                            std::chrono::milliseconds Timeout);
  bool awaitReady(std::chrono::milliseconds Timeout) const;

private:
  struct machine {
    std::string Name;
    std::string Role;
    std::string Zone;
    std::string Ip;
    std::unique_ptr<child> Process;
    bool Started = false;
    bool Killed = false;
  };

  void addMachines(const std::string &Role,
                   const std::vector<std::string> &MachineZones);
  machine &find(const std::string &Name);
  [[nodiscard]] const machine &find(const std::string &Name) const;
  void choosePorts();
  void launch(machine &Machine);
  [[nodiscard]] boost::json::object fieldsOf(const machine &Machine) const;
  [[nodiscard]] std::string address(const machine &Machine, int Port) const;

  deployment_plan Plan;
  record &Record;
  std::filesystem::path Folder;
  std::vector<machine> Machines;
  int Network = 0; //!< Second number of all addresses.
  int NextIp = 1;
  int ControlPort = 0;
  int FrontPort = 0;
  int ReadyPort = 0;
  int InternalPort = 0; //!< First of 16.
};

//! A configuration with one service and one route for it.
struct simple_configuration {
  std::uint32_t Version = 1;
  std::string Service = "huvo11a";
  bool Sharded = false;
  std::string Kind = "unsafe";
  double TimeoutSeconds = 2;
  double LatencySeconds = 0.8;
};

inline constexpr std::string_view RouteHost = "jepu9.example";
inline constexpr std::string_view RoutePath = "/lepu270/";
inline constexpr std::string_view TenantKey = "ctnfzs989anu6wsjnban";
inline constexpr std::string_view TenantName = "sese880";

std::string configurationText(const simple_configuration &Wanted);

} // namespace pomelo::review

#endif
