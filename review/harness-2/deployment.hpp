//! Starts the programs of the deploy file as separate processes on loopback
//! addresses, with the settings that its templates give for a small site.
#ifndef POMELOSWITCH_REVIEW_HARNESS_2_DEPLOYMENT_HPP
#define POMELOSWITCH_REVIEW_HARNESS_2_DEPLOYMENT_HPP

#include "http.hpp"
#include "record.hpp"

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review {

//! A process that is killed when this object is destroyed.
class child_process {
public:
  child_process(std::string Program, std::string SettingsFile,
                std::string LogFile);
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  void start();
  void send(int Signal) const;
  //! Kills the process and waits for its end.
  void kill();
  //! Returns how the process ended by itself, if it has.
  std::optional<std::string> endedByItself();

private:
  std::string Program;
  std::string SettingsFile;
  std::string LogFile;
  pid_t Process = -1;
};

struct control_machine {
  std::string Zone;
  address Calls; //!< Where endpoints and the operator call; also its id.
  address Peers;
  std::unique_ptr<child_process> Process;
};

struct entry_machine {
  std::string Name;
  std::string Zone;
  address Front;
  address Ready;
  std::unique_ptr<child_process> Process;
};

//! Where one control machine reaches the peer port of another.
using peer_route = std::function<std::string(std::size_t From, std::size_t To)>;

class deployment {
public:
  //! Three zones, each with one control machine and \p EntriesPerZone entry
  //! machines. Files go to a new temporary folder.
  deployment(record &Record, unsigned EntriesPerZone);
  ~deployment();
  deployment(const deployment &) = delete;
  deployment &operator=(const deployment &) = delete;

  //! Lets control machines reach each other through other loopback addresses,
  //! e.g. of a proxy, with the peer port of all. Call before start().
  void routePeers(peer_route Route) { Route_ = std::move(Route); }
  //! Starts all machines. If \p Last is given, this control machine starts
  //! 0.28 s after the others.
  void start(std::optional<std::size_t> Last = std::nullopt);
  //! Adds a control machine with an empty disk at a new address while the
  //! system runs. Its settings name the machines with the indexes \p Seeds and
  //! itself.
  void addControl(const std::string &Zone,
                  const std::vector<std::size_t> &Seeds);

  //! An address of this deployment: 127.X.Zone.Number.
  [[nodiscard]] std::string ip(unsigned Zone, unsigned Number) const;
  [[nodiscard]] std::uint16_t peerPort() const { return PeerPort; }
  [[nodiscard]] const std::string &folder() const { return Folder; }

  std::vector<control_machine> Controls;
  std::vector<entry_machine> Entries;
  static const std::vector<std::string> Zones;

  //! Waits until all entry machines say that they are ready.
  bool awaitReady(seconds Until) const;
  //! Index of the control machine that leads: the one that others name when
  //! asked for the configuration. Nothing if none can be told.
  [[nodiscard]] std::optional<std::size_t> leader() const;
  //! Says which processes ended by themselves. Returns their number.
  unsigned reportEnded();

private:
  [[nodiscard]] std::string
  hostsAsSeenBy(std::size_t From, const std::vector<std::size_t> &Hosts) const;
  [[nodiscard]] std::string
  controlSettings(std::size_t Index, const std::vector<std::size_t> &Seeds,
                  bool Bootstrap) const;
  void startControl(std::size_t Index, const std::vector<std::size_t> &Seeds,
                    bool Bootstrap);
  [[nodiscard]] std::string entrySettings(std::size_t Index) const;
  std::unique_ptr<child_process> makeProcess(const std::string &Program,
                                             const std::string &Name,
                                             const std::string &Settings) const;

  record &Record;
  std::string Folder;
  unsigned Net = 0; //!< Second number of all addresses.
  std::uint16_t PeerPort = 0;
  std::uint16_t AdminPort = 0;
  peer_route Route_;
};

//! A service of a configuration.
struct service_text {
  std::string Name;
  bool Sharded = false;
};

struct route_text {
  std::string Name;
  std::string Kind;
  std::string Service;
  double TimeoutSeconds = 2;
  double AimSeconds = 0.8;
  unsigned MaxAttempts = 2;
};

//! A whole configuration like that of the pages. Each route has the host
//! NAME.example and the prefix /NAME/. Without \p KeyOfTenant all are open.
struct configuration {
  unsigned Version = 1;
  std::vector<service_text> Services;
  std::vector<route_text> Routes;
  std::string KeyOfTenant;
  unsigned MaxHeaderBytes = 16384;
  [[nodiscard]] std::string text() const;
};

//! The operator: sends an order to a node, follows two redirects, and moves on
//! to the next after a failure, a 5xx, 408 or 429, or a second without answer.
class site_operator {
public:
  site_operator(record &Record, const deployment &Deployment)
      : Record(Record), Deployment(Deployment) {}

  //! Sends the order to the nodes in this order, again and again, until it is
  //! confirmed or \p Seconds have passed. Returns when it was confirmed.
  std::optional<seconds> order(const std::string &Method,
                               const std::string &Path, const std::string &Body,
                               const std::vector<std::size_t> &Nodes,
                               double Seconds);
  std::optional<seconds> configure(const configuration &Configuration);

private:
  record &Record;
  const deployment &Deployment;
};

} // namespace review

#endif
