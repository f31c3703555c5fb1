//! The entry process: accepts callers' requests and forwards them to targets.
#ifndef POMELOSWITCH_ENTRY_ENTRY_HOST_HPP
#define POMELOSWITCH_ENTRY_ENTRY_HOST_HPP

#include "pomeloswitch/entry/announce_api.hpp"
#include "pomeloswitch/entry/control_session.hpp"
#include "pomeloswitch/entry/diagnostics.hpp"
#include "pomeloswitch/entry/replicated_records.hpp"
#include "pomeloswitch/entry/speed_changes.hpp"
#include "pomeloswitch/entry/traffic_thread.hpp"
#include "pomeloswitch/http/simple_server.hpp"
#include "pomeloswitch/settings/entry_settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace pomelo {

class entry_host {
public:
  class builder;
  ~entry_host();

  void start();

  //! Starts a graceful stop: reports not ready, finishes open requests within
  //! the grace period, then stops the control I/O context.
  void beginStop();

  //! Applies the settings that can change at run time: connects to control
  //! hosts that are not known yet. Other settings are ignored.
  void reload(const entry_settings &Changed);

  //! Returns the host's bound addresses and current state as a JSON object, for
  //! tools that start processes.
  [[nodiscard]] std::string describe() const;

private:
  entry_host(boost::asio::io_context &Io, entry_settings Settings,
             std::unique_ptr<const target_dialect> Dialect,
             std::string ReadinessPath);

  control_session::callbacks makeCallbacks();
  void wakeTokenWaiters();
  void adoptShares(const wire::heartbeat_ack &Ack);
  void onState(const cluster_state &State);
  [[nodiscard]] std::uint64_t quiescedIndex() const;
  boost::asio::awaitable<text_response> handleOps(const text_request &Request);
  [[nodiscard]] adopted_state oldestAdoptedState() const;
  boost::asio::awaitable<std::string> metrics();
  void addLoads(wire::heartbeat &Heartbeat);
  void addOutcomes(wire::heartbeat &Heartbeat) const;
  void flushSpans();
  void onThreadIdle();
  void awaitPendingRecords();
  void finishStop();

  boost::asio::io_context &Io;
  entry_settings Settings;
  std::unique_ptr<const target_dialect> Dialect;
  std::string ReadinessPath;
  component_logger Log{"entry"};
  routing_lease RoutingLease;
  host_quota Quota;
  span_sink Spans; // Must outlive the traffic threads, which write to it.
  std::unique_ptr<control_session> Session;
  std::unique_ptr<replicated_records> Records;
  std::unique_ptr<announce_api> Announcements;
  std::unique_ptr<diagnostics> Diagnostics;
  std::vector<std::unique_ptr<traffic_thread>> Threads;
  //! Null without an announce address.
  std::unique_ptr<simple_server> AnnounceServer;
  std::unique_ptr<simple_server> OpsServer;
  boost::asio::steady_timer SpanTimer;
  boost::asio::steady_timer StopTimer;
  std::size_t BusyThreads = 0;
  steady_time EndsAt{}; //!< When the process ends, once its stop has begun.
  steady_time RecordsDeadline{};
  bool Stopping = false;
  bool SharesInForce = false; //!< The latest answer named overloaded owners.
  //! The load reports last sent in a heartbeat, one for each thread.
  std::vector<std::shared_ptr<const traffic_thread::load_report>> ReportedLoads;
  std::vector<speed_changes> SpeedChanges; //!< One for each thread.
};

//! Builds an entry host. build() binds the addresses.
class entry_host::builder {
public:
  builder &withIo(boost::asio::io_context &Value);
  builder &withSettings(entry_settings Value);
  //! Protocol spoken with targets and callers. Default: pomelo_dialect.
  builder &withDialect(std::unique_ptr<const target_dialect> Value);
  //! Path that the load balancer polls for readiness. Default: /readyz.
  builder &withReadinessPath(std::string Value);
  //! \throws pomelo_error BadSettings without an I/O context,
  //!         boost::system::system_error if an address cannot be bound.
  std::unique_ptr<entry_host> build();

private:
  boost::asio::io_context *Io = nullptr;
  entry_settings Settings;
  std::unique_ptr<const target_dialect> Dialect =
      std::make_unique<pomelo_dialect>();
  std::string ReadinessPath = "/readyz";
};

} // namespace pomelo

#endif
