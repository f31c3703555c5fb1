#include "node_swarm.hpp"

#include "pomeloswitch/wire/packing.hpp"
#include "pomeloswitch/wire/peer_link.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace pomelo::bench {
namespace {

constexpr std::chrono::milliseconds HeartbeatInterval{200};
constexpr std::uint32_t TargetSlots = 2;
constexpr std::uint32_t TargetConnections = 130;
constexpr std::uint64_t Incarnation = 1;

} // namespace

class node_swarm::swarm_host {
public:
  swarm_host(boost::asio::io_context &Io, const std::string &Address,
             const std::string &Secret, wire::heartbeat Heartbeat)
      : Timer(Io), Heartbeat(std::move(Heartbeat)),
        Dialer(Io, parseEndpoint(Address), Secret, makeHandlers()) {}

  void start() {
    Dialer.start();
    scheduleHeartbeat();
  }

  void stop() {
    Timer.cancel();
    Dialer.stop();
  }

  [[nodiscard]] swarm_traffic traffic() const {
    const auto &Link = Dialer.link();
    return Link ? swarm_traffic{Link->sentBytes(), Link->receivedBytes()}
                : swarm_traffic();
  }

private:
  peer_link::handlers makeHandlers() {
    peer_link::handlers Handlers;
    Handlers.OnOpen = [this](const std::shared_ptr<peer_link> &Link) {
      wire::envelope Message;
      Message.mutable_hello()->set_role(wire::hello::ENTRY);
      Message.mutable_hello()->set_id(Heartbeat.host_id());
      Message.mutable_hello()->set_incarnation(Incarnation);
      Link->send(Message);
      Message.mutable_subscribe()->set_next_index(1);
      Link->send(Message);
    };
    Handlers.OnMessage = [this](const std::shared_ptr<peer_link> &,
                                const wire::envelope &Message) {
      if (Message.has_log_batch())
        applyLogBatch(Message.log_batch());
    };
    Handlers.OnClose = [](const std::shared_ptr<peer_link> &) {};
    return Handlers;
  }

  void applyLogBatch(const wire::log_batch &Batch) {
    std::uint64_t Index = Heartbeat.applied_index();
    if (!Batch.packed_snapshot().empty()) {
      wire::state_snapshot Snapshot;
      if (!unpackMessage(Batch.packed_snapshot(), Snapshot))
        throw std::runtime_error("cannot read a packed snapshot");
      Index = std::max<std::uint64_t>(Index, Snapshot.index());
    }
    for (const wire::log_entry &Entry : Batch.entries())
      Index = std::max<std::uint64_t>(Index, Entry.index());
    Heartbeat.set_applied_index(Index);
    Heartbeat.set_quiesced_index(Index);
    for (wire::target_report &Report : *Heartbeat.mutable_targets()) {
      Report.set_taken_index(Index);
      Report.set_settled_index(Index);
    }
  }

  void scheduleHeartbeat() {
    Timer.expires_after(HeartbeatInterval);
    Timer.async_wait([this](boost::system::error_code Error) {
      if (Error)
        return;
      Heartbeat.set_sequence(Heartbeat.sequence() + 1);
      wire::envelope Message;
      *Message.mutable_heartbeat() = Heartbeat;
      Dialer.send(Message);
      scheduleHeartbeat();
    });
  }

  boost::asio::steady_timer Timer;
  wire::heartbeat Heartbeat;
  peer_dialer Dialer;
};

node_swarm::node_swarm(boost::asio::io_context &Io, const std::string &Address,
                       const std::string &Secret, const std::string &Service,
                       const std::string &Domain, unsigned EntryHosts,
                       unsigned TargetsPerHost) {
  for (unsigned Host = 0; Host < EntryHosts; ++Host) {
    wire::heartbeat Heartbeat;
    Heartbeat.set_host_id(fmt::format("swarm-e{}", Host));
    Heartbeat.set_incarnation(Incarnation);
    Heartbeat.set_failure_domain(Domain);
    for (unsigned Number = 0; Number < TargetsPerHost; ++Number) {
      auto *Target = Heartbeat.add_targets()->mutable_target();
      Target->set_target_id(fmt::format("swarm-{}-{}", Host, Number));
      Target->set_incarnation(Incarnation);
      Target->set_service(Service);
      Target->set_failure_domain(Domain);
      Target->set_address(
          fmt::format("127.0.0.1:{}", 10000 + Host * TargetsPerHost + Number));
      Target->set_slots(TargetSlots);
      Target->set_connections(TargetConnections);
      Target->set_checks_fence(true);
    }
    Hosts.push_back(std::make_unique<swarm_host>(Io, Address, Secret,
                                                 std::move(Heartbeat)));
  }
}

node_swarm::~node_swarm() = default;

void node_swarm::start() {
  for (const auto &Host : Hosts)
    Host->start();
}

void node_swarm::stop() {
  for (const auto &Host : Hosts)
    Host->stop();
}

swarm_traffic node_swarm::traffic() const {
  swarm_traffic Total;
  for (const auto &Host : Hosts) {
    const swarm_traffic HostTraffic = Host->traffic();
    Total.Sent += HostTraffic.Sent;
    Total.Received += HostTraffic.Received;
  }
  return Total;
}

} // namespace pomelo::bench
