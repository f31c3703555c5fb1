//! Transports the messages of the replicated log between control hosts.
//!
//! Each host dials every other host. A request is sent on the link that its
//! sender dialed, and the answer returns on the same link. A request without an
//! answer therefore reveals a dead link that still looks open.
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

//! Sends and receives Raft messages and reopens links that do not respond.
class peer_network {
public:
  using receiver = std::function<void(const wire::raft_message &)>;

  peer_network(boost::asio::io_context &Io, std::string HostId,
               std::string Secret, receiver Receiver);
  ~peer_network();

  //! Keeps a link to \p HostId at \p Address. A link to an earlier address of
  //! the host is closed. Does nothing for this host itself.
  void connect(const std::string &HostId, const std::string &Address);
  void stop();

  //! Sends a request on the link dialed to the recipient, and an answer on the
  //! link that delivered the recipient's last message. Drops the message if
  //! there is no such link.
  void send(const wire::raft_message &Message, raft_time Now);

  //! Whether the link dialed to \p PeerId is open.
  [[nodiscard]] bool connectedTo(const std::string &PeerId) const;
  //! Sends a message without an answer on the link dialed to \p PeerId. Returns
  //! false if that link is not open.
  bool sendTo(const std::string &PeerId, const wire::envelope &Message);

  //! Handles a message that arrived on \p Link, which the peer dialed.
  void receive(const std::shared_ptr<peer_link> &Link,
               const wire::raft_message &Message);

  //! Redials links on which an answer is overdue or that fail to open in time.
  void tick(raft_time Now);

private:
  struct peer {
    std::string Address;
    std::unique_ptr<peer_dialer> Dialer;
    //! Send time of the first unanswered request; zero if there is none.
    raft_time AwaitingAnswerSince{};
    //! When tick() first saw the link closed; zero while it is open.
    raft_time ClosedSince{};
    //! Whether a snapshot was sent and no message has arrived since.
    bool SnapshotInFlight = false;
  };

  peer_link::handlers makeHandlers(const std::string &HostId);

  boost::asio::io_context &Io;
  component_logger Log{"raft"};
  std::string HostId;
  std::string Secret;
  receiver Receiver;
  std::map<std::string, peer> Peers;
  std::map<std::string, std::weak_ptr<peer_link>> Inbound;
  //! Kept until destruction because their callbacks may still run.
  std::vector<std::unique_ptr<peer_dialer>> StoppedDialers;
};

} // namespace pomelo

#endif
