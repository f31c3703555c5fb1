//! Carries the replicated log's messages between control hosts.
//!
//! Each host dials every other one. A request travels on the link that its
//! sender dialed and the answer returns on the same link, so silence shows
//! that a link is dead although it looks open.
#ifndef POMELOSWITCH_RAFT_PEER_NETWORK_HPP
#define POMELOSWITCH_RAFT_PEER_NETWORK_HPP

#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch/raft/raft_types.hpp"
#include "pomeloswitch/wire/peer_link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelo {

class peer_network {
public:
  using receiver = std::function<void(const wire::raft_message &)>;

  peer_network(boost::asio::io_context &Io, std::string HostId,
               std::string Secret, receiver Receiver);
  ~peer_network();

  //! Dials \p HostId at \p Address from now on, at no other address.
  void connect(const std::string &HostId, const std::string &Address);
  void stop();

  //! Sends a request by the dialed link, an answer by the link on which the
  //! addressee's last request came. Dropped if there is none.
  void send(const wire::raft_message &Message, raft_time Now);

  //! Takes a message that came on a link that the peer dialed.
  void receive(const std::shared_ptr<peer_link> &Link,
               const wire::raft_message &Message);

  //! Dials again where a link is silent.
  void tick(raft_time Now);

private:
  struct peer {
    std::string Address;
    std::unique_ptr<peer_dialer> Dialer;
    raft_time SilentSince{}; //!< When an unanswered request was first sent.
    raft_time ClosedSince{}; //!< When the link was first seen not open.
    bool Bulk = false;       //!< A snapshot is on its way.
  };

  peer_link::handlers handlersOf(const std::string &HostId);

  boost::asio::io_context &Io;
  part_log Log{"raft"};
  std::string HostId;
  std::string Secret;
  receiver Receiver;
  std::map<std::string, peer> Peers;
  std::map<std::string, std::weak_ptr<peer_link>> Inbound;
  //! Stopped dialers stay until the end, since their callbacks may still run.
  std::vector<std::unique_ptr<peer_dialer>> Retired;
};

} // namespace pomelo

#endif
