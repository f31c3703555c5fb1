#include "pomeloswitch/http/kept_connections.hpp"

#include "pomeloswitch/http/input_observer.hpp"

#include <utility>

namespace pomelo {

using boost::asio::ip::tcp;

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
