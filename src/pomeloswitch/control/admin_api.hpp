//! The HTTP/JSON administration API for operators.
#ifndef POMELOSWITCH_CONTROL_ADMIN_API_HPP
#define POMELOSWITCH_CONTROL_ADMIN_API_HPP

#include "pomeloswitch/http/simple_server.hpp"
#include "pomeloswitch/membership/in_force.hpp"
#include "pomeloswitch/state/cluster_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/fwd.hpp>

#include <functional>
#include <string>

namespace pomelo::wire {
class command;
} // namespace pomelo::wire

namespace pomelo {

class lease_table;
class replicated_log;
struct control_settings;

//! Interface through which the administration API uses its control host.
class admin_backend {
public:
  using change_completion =
      std::function<void(const apply_result &, std::uint64_t Index)>;

  virtual ~admin_backend() = default;
  //! Proposes \p Command to the replicated log and calls \p Done with its
  //! result and log index; the index is 0 if the command was not committed.
  virtual void proposeChange(wire::command Command, change_completion Done) = 0;
  [[nodiscard]] virtual const cluster_state &state() const = 0;
  [[nodiscard]] virtual const lease_table &leases() const = 0;
  [[nodiscard]] virtual const replicated_log &log() const = 0;
  [[nodiscard]] virtual replicated_log &log() = 0;
  [[nodiscard]] virtual const control_settings &settings() const = 0;
};

//! Authenticates operators and dispatches their requests to endpoint handlers.
class admin_api {
public:
  admin_api(boost::asio::io_context &Io, admin_backend &Backend)
      : Io(Io), Backend(Backend) {}

  //! Handles one request.
  //! \throws pomelo_error if the request is rejected or fails.
  boost::asio::awaitable<text_response> handle(const text_request &Request);

private:
  using endpoint_handler = boost::asio::awaitable<boost::json::object> (
      admin_api::*)(const text_request &Request);
  struct endpoint {
    boost::beast::http::verb Method;
    std::string_view Path;
    bool LeaderOnly;
    endpoint_handler Handler;
  };
  static const endpoint Endpoints[];

  void checkOperator(const text_request &Request) const;
  boost::asio::awaitable<boost::json::object>
  applyChange(const text_request &Request, wire::command Command);

  //! Waits up to \p Timeout until the change at \p Index is in force on all
  //! entry hosts, and describes whether it is and which hosts are missing.
  boost::asio::awaitable<boost::json::object>
  awaitInForce(std::uint64_t Index, isolated_routing Isolated,
               std::chrono::milliseconds Timeout);

  boost::asio::awaitable<boost::json::object>
  getInForce(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  getStatus(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  getInventory(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  getRules(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  getExplain(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  putInventory(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  putRules(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  postKey(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  postWithdrawal(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  postDrain(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  getRollouts(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  getRollout(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  postRollout(const text_request &Request);

  // control_group_api.cpp
  boost::asio::awaitable<boost::json::object>
  getControlHosts(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  postControlHost(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  postControlRemoval(const text_request &Request);
  boost::asio::awaitable<boost::json::object>
  getSnapshot(const text_request &Request);
  boost::asio::awaitable<void> awaitCommit(std::uint64_t Index);

  boost::asio::io_context &Io;
  admin_backend &Backend;
};

} // namespace pomelo

#endif
