//! The entry process: takes callers' requests and forwards them to targets.
#ifndef POMELOSWITCH_ENTRY_ENTRY_HOST_HPP
#define POMELOSWITCH_ENTRY_ENTRY_HOST_HPP

#include "pomeloswitch/entry/announce_api.hpp"
#include "pomeloswitch/entry/control_session.hpp"
#include "pomeloswitch/entry/diagnostics.hpp"
#include "pomeloswitch/entry/log_records.hpp"
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

  //! Stops without cutting a request: says so on the readiness endpoint,
  //! serves what is open and then lets run() of the control context return.
  void beginStop();

  //! Takes over what can change while the process runs: the control hosts to
  //! start from.
  void reload(const entry_settings &Changed);

  //! The bound addresses as a JSON object, for tools that start processes.
  [[nodiscard]] std::string describe() const;

private:
  entry_host(boost::asio::io_context &Io, entry_settings Settings,
             std::unique_ptr<const target_dialect> Dialect,
             std::string ReadinessPath);

  control_session::callbacks makeCallbacks();
  void onState(const cluster_state &State);
  [[nodiscard]] std::uint64_t quiescedIndex() const;
  boost::asio::awaitable<text_response> handleOps(const text_request &Request);
  [[nodiscard]] adopted_state adopted() const;
  boost::asio::awaitable<std::string> metrics();
  void addLoads(wire::heartbeat &Beat);
  void flushSpans();
  void onThreadIdle();
  void settleRecords();
  void finishStop();

  boost::asio::io_context &Io;
  entry_settings Settings;
  std::unique_ptr<const target_dialect> Dialect;
  std::string ReadinessPath;
  part_log Log{"entry"};
  routing_lease RoutingLease;
  host_quota Quota;
  span_sink Spans; // The traffic threads add to it until they end.
  std::unique_ptr<control_session> Session;
  std::unique_ptr<log_records> Records;
  std::unique_ptr<announce_api> Announcements;
  std::unique_ptr<diagnostics> Diagnostics;
  std::vector<std::unique_ptr<traffic_thread>> Threads;
  std::unique_ptr<simple_server> AnnounceServer; //!< Null if none is wanted.
  std::unique_ptr<simple_server> OpsServer;
  boost::asio::steady_timer SpanTimer;
  boost::asio::steady_timer StopTimer;
  std::size_t BusyThreads = 0;
  steady_time SettleUntil{};
  bool Stopping = false;
  //! The load report of each thread that was told last.
  std::vector<std::shared_ptr<const traffic_thread::load_report>> ToldLoads;
};

//! Builds an entry host; the addresses are bound by build().
class entry_host::builder {
public:
  builder &withIo(boost::asio::io_context &Value);
  builder &withSettings(entry_settings Value);
  //! How targets and callers are spoken to; the project's own way if not set.
  builder &withDialect(std::unique_ptr<const target_dialect> Value);
  //! Where the balancer asks whether new callers should be sent here.
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
