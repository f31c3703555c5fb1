//! The network between the members of a deployment, with faults on demand.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_FAULT_LINKS_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_FAULT_LINKS_HPP

#include "fault_proxy/fault_proxy_thread.hpp"

#include <string>
#include <vector>

namespace pomelo::emulator {

//! What a cut between failure domains does to their connections.
enum class cut_kind {
  Silent,   //!< Connections stay open; nothing passes either way.
  Reset,    //!< Connections are reset, new ones too.
  Outbound, //!< Nothing leaves the domain; what is sent to it arrives.
  Inbound,  //!< Nothing enters the domain; what it sends arrives.
};

//! A member as one end of a link.
struct link_end {
  std::string Id;
  std::string FailureDomain;
};

class fault_links {
public:
  //! Lets \p From reach \p To at the returned address. The proxy's route is
  //! called "FROM>TO" by their ids.
  std::string addLink(const link_end &From, const link_end &To,
                      const std::string &Address);

  //! Lets everybody reach the target at the returned address; its route is
  //! called "*>TARGET", and its sources by the ids of the entry hosts.
  std::string addTarget(const std::string &TargetId,
                        const std::string &FailureDomain,
                        const std::string &Address);

  //! Tells which process a member is, also after a restart.
  void setProcess(const std::string &Id, pid_t Pid);

  //! Cuts the domain off from all other domains; the entry hosts' links to
  //! targets are cut by the domain of the entry host.
  void cutDomain(const std::string &FailureDomain,
                 cut_kind Kind = cut_kind::Silent);
  //! Cuts one member off from every other one, as far as it was linked.
  void cutMember(const std::string &Id, cut_kind Kind = cut_kind::Silent);
  void heal();

  fault_proxy::fault_proxy_thread &proxy() { return Proxy; }

private:
  struct link {
    link_end From;
    link_end To;
    std::string Route;
    bool BySource = false; //!< A target's route, shared by all sources.
  };

  template <typename IsInside> void cut(const IsInside &Inside, cut_kind Kind);
  void setFaults(const link &Link, const fault_proxy::route_faults &Faults);

  fault_proxy::fault_proxy_thread Proxy;
  std::vector<link> Links;
};

} // namespace pomelo::emulator

#endif
