//! Links between the members of a deployment, with fault injection.
#ifndef POMELOSWITCH_TOOLS_EMULATOR_FAULT_LINKS_HPP
#define POMELOSWITCH_TOOLS_EMULATOR_FAULT_LINKS_HPP

#include "fault_proxy/fault_proxy_thread.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pomelo::emulator {

//! How a network cut affects the connections that cross it.
enum class cut_kind {
  Silent,   //!< Connections stay open; nothing passes either way.
  Reset,    //!< Connections are reset, new ones too.
  Outbound, //!< Blocks data that leaves the domain.
  Inbound,  //!< Blocks data that enters the domain.
};

//! The network link of one host, seen from the host.
struct host_link {
  std::shared_ptr<fault_proxy::shared_link> Inbound;
  std::shared_ptr<fault_proxy::shared_link> Outbound;
};

//! A member as one end of a link.
struct link_end {
  std::string Id;
  std::string FailureDomain;
};

//! Routes links between members through a fault proxy and cuts them on request.
class fault_links {
public:
  //! Adds a proxy route from \p From to \p To and returns its listening
  //! address. The route is named "FROM>TO" after the member ids.
  std::string addLink(const link_end &From, const link_end &To,
                      const std::string &Address);

  //! Adds a proxy route to the target, shared by all entry hosts, and returns
  //! its listening address. The route is named "*>TARGET"; its sources are
  //! named after the entry host ids.
  std::string addTarget(const std::string &TargetId,
                        const std::string &FailureDomain,
                        const std::string &Address);

  //! Sets the process id of a member; call it again after a restart.
  void setProcess(const std::string &Id, pid_t Pid);

  //! Cuts the domain off from all other domains. A link from an entry host to
  //! a target is cut per entry host, by its failure domain.
  void cutDomain(const std::string &FailureDomain,
                 cut_kind Kind = cut_kind::Silent);
  //! Cuts one member off from all members that it has links with.
  void cutMember(const std::string &Id, cut_kind Kind = cut_kind::Silent);
  //! Carries all that the member sends and receives on its links over one
  //! network link of \p BytesPerSecond each way.
  host_link limitLink(const std::string &Id, std::uint64_t BytesPerSecond);
  //! Removes the faults of all links.
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
