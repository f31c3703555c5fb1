//! TCP connections of the inner protocol. All callbacks of a link run on the
//! executor of its socket; processes run it on their control thread.
#ifndef POMELOSWITCH_WIRE_PEER_LINK_HPP
#define POMELOSWITCH_WIRE_PEER_LINK_HPP

#include "pomeloswitch/wire/frame.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace pomelo::wire {
class envelope;
}

namespace pomelo {

//! One connection between two processes of the system.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
  struct handlers {
    std::function<void(const std::shared_ptr<peer_link> &)> OnOpen;
    std::function<void(const std::shared_ptr<peer_link> &,
                       const wire::envelope &)>
        OnMessage;
    //! Called exactly once, even if the link was never open.
    std::function<void(const std::shared_ptr<peer_link> &)> OnClose;
  };

  peer_link(boost::asio::ip::tcp::socket Socket, link_side Side,
            std::string Secret, handlers Handlers);

  //! Exchanges preambles, then reads messages until the link closes.
  void start();

  //! Queues a message. Ignored unless the link is open. Closes the link if the
  //! peer reads too slowly and too many bytes are queued.
  void send(const wire::envelope &Message);

  void close();

  //! True after the exchange of preambles until the link closes.
  [[nodiscard]] bool open() const { return Codec != nullptr && !Closed; }
  //! Bytes that are queued and not yet written to the socket.
  [[nodiscard]] std::size_t queuedBytes() const { return QueuedBytes; }
  [[nodiscard]] std::uint64_t sentBytes() const { return SentBytes; }
  [[nodiscard]] std::uint64_t receivedBytes() const { return ReceivedBytes; }

private:
  void readPreamble();
  void readSome();
  void deliver(std::string_view Bytes);
  void writeNext();

  boost::asio::ip::tcp::socket Socket;
  link_side Side;
  std::string Secret;
  handlers Handlers;
  std::string OwnPreamble;
  std::string ReadBuffer;
  std::unique_ptr<frame_codec> Codec;
  std::deque<std::string> Outgoing;
  std::size_t QueuedBytes = 0;
  std::uint64_t SentBytes = 0;
  std::uint64_t ReceivedBytes = 0;
  bool Writing = false;
  bool Closed = false;
};

//! Accepts links on one address from its construction until stop().
class peer_listener {
public:
  //! \throws boost::system::system_error if the address cannot be bound.
  peer_listener(boost::asio::io_context &Io,
                const boost::asio::ip::tcp::endpoint &Address,
                std::string Secret, peer_link::handlers Handlers);

  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;
  void stop();

private:
  void acceptNext();

  boost::asio::ip::tcp::acceptor Acceptor;
  std::string Secret;
  peer_link::handlers Handlers;
};

//! Maintains one outgoing link and dials again after it closes or if the
//! connection attempt fails.
class peer_dialer {
public:
  peer_dialer(boost::asio::io_context &Io,
              boost::asio::ip::tcp::endpoint Address, std::string Secret,
              peer_link::handlers Handlers);

  void start();
  void stop();

  //! Sends \p Message if the link is open; returns whether it was open.
  bool send(const wire::envelope &Message);

  //! Closes the link, if there is one; it is then dialed again.
  void reset();

  [[nodiscard]] bool open() const { return Link && Link->open(); }
  [[nodiscard]] const std::shared_ptr<peer_link> &link() const { return Link; }

private:
  void dial();
  void scheduleRedial();

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::endpoint Address;
  std::string Secret;
  peer_link::handlers Handlers;
  boost::asio::steady_timer Timer;
  std::shared_ptr<peer_link> Link;
  bool Stopped = false;
};

//! Parses "IP:port".
//! \throws pomelo_error BadSettings if \p Text has another form.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view Text);

//! Returns "IP:port".
std::string toString(const boost::asio::ip::tcp::endpoint &Address);

} // namespace pomelo

#endif
