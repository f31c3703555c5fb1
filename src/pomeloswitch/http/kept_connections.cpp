#include "pomeloswitch/http/kept_connections.hpp"

#include "pomeloswitch/http/input_observer.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace pomelo {
namespace {

constexpr std::size_t FirstReadBytes = 4096;

} // namespace

namespace asio = boost::asio;
using asio::ip::tcp;

asio::awaitable<boost::system::error_code>
awaitRequest(kept_connection &Connection, std::chrono::milliseconds Timeout) {
  boost::system::error_code Error;
  if (Connection.Buffer.size() > 0)
    co_return Error;
  Connection.Stream.expires_after(Timeout);
  const std::size_t Count = co_await Connection.Stream.async_read_some(
      Connection.Buffer.prepare(FirstReadBytes),
      asio::redirect_error(asio::use_awaitable, Error));
  Connection.Buffer.commit(Count);
  co_return Error;
}

kept_connections::registration::registration(
    std::shared_ptr<connection_set> GivenConnections, tcp::socket Socket)
    : Connections(std::move(GivenConnections)),
      Connection(std::make_shared<kept_connection>(std::move(Socket))) {
  Connections->insert(Connection);
}

kept_connections::registration::~registration() {
  Connections->erase(Connection);
}

std::unique_ptr<kept_connections::registration>
kept_connections::add(tcp::socket Socket) const {
  return std::make_unique<registration>(Connections, std::move(Socket));
}

// Cancels only the pending read and does not shut down the receiving side: a
// request that arrives at this moment would take the end of input for a
// disconnected caller.
void kept_connections::cancelIdle() const {
  boost::system::error_code Ignored;
  for (const auto &Connection : *Connections)
    if (!Connection->Serving && Connection->Buffer.size() == 0 &&
        peekInput(Connection->Stream.socket()) == input_state::Nothing)
      Connection->Stream.socket().cancel(Ignored);
}

} // namespace pomelo
