#include "fault_proxy/proxied_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace pomelo::fault_proxy {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

//! Makes closing \p Socket send a TCP reset.
void resetOnClose(tcp::socket &Socket) {
  error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
}

//! On a shared link the connection's window holds the sender back, and an end
//! that does not read holds back the window: the proxy's buffers are small.
void limitBuffers(tcp::socket &Socket, const route_faults &Faults) {
  constexpr int BufferBytes = 16 * 1024;
  if (!Faults.ToUpstream.Link && !Faults.ToClient.Link)
    return;
  error_code Ignored;
  Socket.set_option(asio::socket_base::receive_buffer_size(BufferBytes),
                    Ignored);
  Socket.set_option(asio::socket_base::send_buffer_size(BufferBytes), Ignored);
}

} // namespace

proxied_connection::proxied_connection(tcp::socket ClientSocket)
    : Client(std::move(ClientSocket)), Server(Client.get_executor()),
      FaultsChanged(Client.get_executor()),
      ToUpstream(Client, Server, Faults.ToUpstream),
      ToClient(Server, Client, Faults.ToClient) {}

const std::string &proxied_connection::source(const source_table &Sources) {
  if (!Source)
    Source = Sources.sourceOf(Client);
  return *Source;
}

void proxied_connection::start(const tcp::endpoint &Upstream,
                               std::function<void()> Handler) {
  OnEnd = std::move(Handler);
  Started = true;
  if (Faults.Cut)
    return reset();
  auto Self = shared_from_this();
  asio::co_spawn(Client.get_executor(), connect(Upstream),
                 [Self](const std::exception_ptr &Failure) {
                   if (Failure)
                     return Self->reset();
                   if (Self->Closed)
                     return;
                   Self->startDirection(Self->ToUpstream);
                   Self->startDirection(Self->ToClient);
                 });
}

asio::awaitable<void> proxied_connection::connect(tcp::endpoint Address) {
  // Blocked routes delay new connections as well.
  while (!Closed &&
         (Silenced || Faults.ToUpstream.Blocked || Faults.ToClient.Blocked)) {
    FaultsChanged.expires_at(std::chrono::steady_clock::time_point::max());
    error_code Ignored;
    co_await FaultsChanged.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
  if (Closed)
    co_return;
  Server.open(Address.protocol());
  limitBuffers(Server, Faults);
  co_await Server.async_connect(Address, asio::use_awaitable);
  error_code Ignored;
  Client.set_option(tcp::no_delay(true), Ignored);
  Server.set_option(tcp::no_delay(true), Ignored);
}

void proxied_connection::startDirection(direction &Direction) {
  auto Self = shared_from_this();
  ++OpenDirections;
  asio::co_spawn(Client.get_executor(), Direction.read(),
                 [Self](const std::exception_ptr &Failure) {
                   if (Failure)
                     Self->reset();
                 });
  asio::co_spawn(
      Client.get_executor(), Direction.write(),
      [Self](const std::exception_ptr &Failure, limit_outcome Outcome) {
        Self->finish(Failure ? limit_outcome::Reset : Outcome);
      });
}

void proxied_connection::finish(limit_outcome Outcome) {
  --OpenDirections;
  if (Outcome == limit_outcome::Reset)
    reset();
  else if (Outcome == limit_outcome::Close || OpenDirections == 0)
    close();
}

void proxied_connection::setFaults(const route_faults &Value) {
  Faults = Value;
  limitBuffers(Client, Faults);
  if (!Started)
    return;
  if (Faults.Cut)
    return reset();
  FaultsChanged.cancel();
  ToUpstream.wake();
  ToClient.wake();
}

void proxied_connection::silence() {
  Silenced = true;
  ToUpstream.silence();
  ToClient.silence();
}

void proxied_connection::reset() {
  resetOnClose(Client);
  resetOnClose(Server);
  close();
}

void proxied_connection::close() {
  if (Closed)
    return;
  Closed = true;
  error_code Ignored;
  Client.close(Ignored);
  Server.close(Ignored);
  FaultsChanged.cancel();
  ToUpstream.stop();
  ToClient.stop();
  OnEnd();
}

} // namespace pomelo::fault_proxy
