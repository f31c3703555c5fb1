#include "pomeloswitch/raft/peer_network.hpp"

namespace pomelo {
namespace {

using std::chrono::milliseconds;

//! Time for an answer to a request before the link is redialed.
constexpr milliseconds MaxAnswerDelay{600};
constexpr milliseconds MaxSnapshotAnswerDelay{10000};
//! Time for a link to open before it is redialed.
constexpr milliseconds MaxConnectTime{1500};

bool isAnswer(const wire::raft_message &Message) {
  return Message.has_vote_answer() || Message.has_append_answer() ||
         Message.has_found_answer() || Message.has_identity_answer() ||
         Message.has_join_answer();
}

} // namespace

peer_network::peer_network(boost::asio::io_context &Io, std::string HostId,
                           std::string Secret, receiver Receiver)
    : Io(Io), HostId(std::move(HostId)), Secret(std::move(Secret)),
      Receiver(std::move(Receiver)) {}

peer_network::~peer_network() = default;

void peer_network::connect(const std::string &PeerId,
                           const std::string &Address) {
  peer &Peer = Peers[PeerId];
  if (PeerId == HostId || Peer.Address == Address)
    return;
  if (Peer.Dialer) {
    Peer.Dialer->stop();
    StoppedDialers.push_back(std::move(Peer.Dialer));
  }
  Peer = peer();
  Peer.Address = Address;
  Peer.Dialer = std::make_unique<peer_dialer>(Io, parseEndpoint(Address),
                                              Secret, makeHandlers(PeerId));
  Peer.Dialer->start();
}

peer_link::handlers peer_network::makeHandlers(const std::string &PeerId) {
  peer_link::handlers Handlers;
  Handlers.OnOpen = [this](const std::shared_ptr<peer_link> &Link) {
    wire::envelope Hello;
    Hello.mutable_hello()->set_role(wire::hello::CONTROL);
    Hello.mutable_hello()->set_id(HostId);
    Link->send(Hello);
  };
  Handlers.OnMessage = [this, PeerId](const std::shared_ptr<peer_link> &,
                                      const wire::envelope &Message) {
    if (!Message.has_raft())
      return;
    peer &Peer = Peers.at(PeerId);
    Peer.AwaitingAnswerSince = raft_time();
    Peer.SnapshotInFlight = false;
    Receiver(Message.raft());
  };
  Handlers.OnClose = [](const std::shared_ptr<peer_link> &) {};
  return Handlers;
}

void peer_network::stop() {
  for (auto &[PeerId, Peer] : Peers)
    if (Peer.Dialer)
      Peer.Dialer->stop();
}

void peer_network::send(const wire::raft_message &Message, raft_time Now) {
  wire::envelope Envelope;
  *Envelope.mutable_raft() = Message;
  if (isAnswer(Message)) {
    const auto Found = Inbound.find(Message.to_host());
    const auto Link = Found == Inbound.end() ? nullptr : Found->second.lock();
    if (Link)
      Link->send(Envelope);
    return;
  }
  const auto Found = Peers.find(Message.to_host());
  if (Found == Peers.end() || !Found->second.Dialer ||
      !Found->second.Dialer->send(Envelope))
    return;
  if (Found->second.AwaitingAnswerSince == raft_time())
    Found->second.AwaitingAnswerSince = Now;
  Found->second.SnapshotInFlight |= Message.has_snapshot_request();
}

bool peer_network::connectedTo(const std::string &PeerId) const {
  const auto Found = Peers.find(PeerId);
  return Found != Peers.end() && Found->second.Dialer &&
         Found->second.Dialer->open();
}

bool peer_network::sendTo(const std::string &PeerId,
                          const wire::envelope &Message) {
  const auto Found = Peers.find(PeerId);
  return Found != Peers.end() && Found->second.Dialer &&
         Found->second.Dialer->send(Message);
}

void peer_network::receive(const std::shared_ptr<peer_link> &Link,
                           const wire::raft_message &Message) {
  Inbound[Message.from_host()] = Link;
  Receiver(Message);
}

void peer_network::tick(raft_time Now) {
  for (auto &[PeerId, Peer] : Peers) {
    if (!Peer.Dialer)
      continue;
    if (Peer.Dialer->open())
      Peer.ClosedSince = raft_time();
    else if (Peer.ClosedSince == raft_time())
      Peer.ClosedSince = Now;
    const auto Limit =
        Peer.SnapshotInFlight ? MaxSnapshotAnswerDelay : MaxAnswerDelay;
    const bool AnswerOverdue = Peer.AwaitingAnswerSince != raft_time() &&
                               Now - Peer.AwaitingAnswerSince > Limit;
    const bool ConnectOverdue = Peer.ClosedSince != raft_time() &&
                                Now - Peer.ClosedSince > MaxConnectTime;
    if (!AnswerOverdue && !ConnectOverdue)
      continue;
    if (AnswerOverdue && Peer.Dialer->open())
      Log.debug("Control host {} does not answer; redialing.", PeerId);
    Peer.AwaitingAnswerSince = raft_time();
    Peer.ClosedSince = raft_time();
    Peer.SnapshotInFlight = false;
    Peer.Dialer->reset();
  }
}

} // namespace pomelo
