#include "pomeloswitch/wire/peer_link.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/observe/log.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <chrono>

namespace pomelo {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t ReadChunkBytes = 64 * 1024;
constexpr std::size_t MaxQueuedBytes = 2 * MaxFrameBytes;
constexpr auto RedialDelay = std::chrono::milliseconds(100);
constexpr auto DialTimeout = std::chrono::milliseconds(1000);

const component_logger &log() {
  static const component_logger Log("wire");
  return Log;
}

} // namespace

peer_link::peer_link(tcp::socket Socket, link_side Side, std::string Secret,
                     handlers Handlers)
    : Socket(std::move(Socket)), Side(Side), Secret(std::move(Secret)),
      Handlers(std::move(Handlers)), OwnPreamble(makePreamble()) {}

void peer_link::start() {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Outgoing.push_back(OwnPreamble);
  QueuedBytes += OwnPreamble.size();
  writeNext();
  readPreamble();
}

void peer_link::readPreamble() {
  ReadBuffer.resize(PreambleBytes);
  auto Self = shared_from_this();
  boost::asio::async_read(Socket, boost::asio::buffer(ReadBuffer),
                          [Self](error_code Error, std::size_t) {
                            if (Error)
                              return Self->close();
                            try {
                              Self->Codec = std::make_unique<frame_codec>(
                                  Self->Side, Self->Secret, Self->OwnPreamble,
                                  Self->ReadBuffer);
                            } catch (const pomelo_error &Failure) {
                              log().warn("Link rejected: {}.", Failure.what());
                              return Self->close();
                            }
                            Self->ReadBuffer.resize(ReadChunkBytes);
                            Self->Handlers.OnOpen(Self);
                            Self->readSome();
                          });
}

void peer_link::readSome() {
  if (Closed)
    return;
  auto Self = shared_from_this();
  Socket.async_read_some(
      boost::asio::buffer(ReadBuffer),
      [Self](error_code Error, std::size_t Count) {
        // The read may have completed before the link was closed; its bytes
        // must not be delivered after OnClose.
        if (Self->Closed)
          return;
        if (Error)
          return Self->close();
        Self->ReceivedBytes += Count;
        Self->deliver(std::string_view(Self->ReadBuffer).substr(0, Count));
        Self->readSome();
      });
}

void peer_link::deliver(std::string_view Bytes) {
  try {
    Codec->feed(Bytes);
    while (auto Payload = Codec->next()) {
      wire::envelope Message;
      if (!Message.ParseFromString(*Payload))
        throw pomelo_error(error_kind::BadRequest,
                           "an inner protocol message cannot be parsed");
      Handlers.OnMessage(shared_from_this(), Message);
      if (Closed)
        return;
    }
  } catch (const pomelo_error &Failure) {
    log().warn("Link closed: {}.", Failure.what());
    close();
  }
}

void peer_link::send(const wire::envelope &Message) {
  if (!open())
    return;
  Outgoing.push_back(Codec->seal(Message.SerializeAsString()));
  QueuedBytes += Outgoing.back().size();
  if (QueuedBytes > MaxQueuedBytes) {
    log().warn("Link closed: the peer reads too slowly.");
    return close();
  }
  if (!Writing)
    writeNext();
}

void peer_link::writeNext() {
  if (Closed || Outgoing.empty())
    return;
  Writing = true;
  auto Self = shared_from_this();
  boost::asio::async_write(Socket, boost::asio::buffer(Outgoing.front()),
                           [Self](error_code Error, std::size_t Count) {
                             Self->Writing = false;
                             if (Error)
                               return Self->close();
                             Self->SentBytes += Count;
                             Self->QueuedBytes -= Count;
                             Self->Outgoing.pop_front();
                             Self->writeNext();
                           });
}

void peer_link::close() {
  if (Closed)
    return;
  Closed = true;
  error_code Ignored;
  Socket.close(Ignored);
  Handlers.OnClose(shared_from_this());
}

peer_listener::peer_listener(boost::asio::io_context &Io,
                             const tcp::endpoint &Address, std::string Secret,
                             peer_link::handlers Handlers)
    : Acceptor(Io, Address), Secret(std::move(Secret)),
      Handlers(std::move(Handlers)) {
  acceptNext();
}

tcp::endpoint peer_listener::address() const {
  return Acceptor.local_endpoint();
}

void peer_listener::stop() {
  error_code Ignored;
  Acceptor.close(Ignored);
}

void peer_listener::acceptNext() {
  Acceptor.async_accept([this](error_code Error, tcp::socket Socket) {
    if (Error == boost::asio::error::operation_aborted)
      return;
    if (!Error)
      std::make_shared<peer_link>(std::move(Socket), link_side::Listener,
                                  Secret, Handlers)
          ->start();
    acceptNext();
  });
}

peer_dialer::peer_dialer(boost::asio::io_context &Io, tcp::endpoint Address,
                         std::string Secret, peer_link::handlers Handlers)
    : Io(Io), Address(std::move(Address)), Secret(std::move(Secret)),
      Handlers(std::move(Handlers)), Timer(Io) {}

void peer_dialer::start() { dial(); }

void peer_dialer::stop() {
  Stopped = true;
  Timer.cancel();
  if (Link)
    Link->close();
}

bool peer_dialer::send(const wire::envelope &Message) {
  if (!open())
    return false;
  Link->send(Message);
  return true;
}

void peer_dialer::reset() {
  if (Link)
    Link->close();
}

void peer_dialer::dial() {
  auto Socket = std::make_shared<tcp::socket>(Io);
  Timer.expires_after(DialTimeout);
  Timer.async_wait([Socket](error_code Error) {
    error_code Ignored;
    if (!Error)
      Socket->close(Ignored);
  });
  Socket->async_connect(Address, [this, Socket](error_code Error) {
    Timer.cancel();
    if (Stopped)
      return;
    if (Error || !Socket->is_open())
      return scheduleRedial();
    auto RedialingHandlers = Handlers;
    RedialingHandlers.OnClose =
        [this](const std::shared_ptr<peer_link> &Closing) {
          Handlers.OnClose(Closing);
          if (!Stopped)
            scheduleRedial();
        };
    Link = std::make_shared<peer_link>(std::move(*Socket), link_side::Dialer,
                                       Secret, std::move(RedialingHandlers));
    Link->start();
  });
}

void peer_dialer::scheduleRedial() {
  Timer.expires_after(RedialDelay);
  Timer.async_wait([this](error_code Error) {
    if (!Error && !Stopped)
      dial();
  });
}

tcp::endpoint parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  unsigned Port = 0;
  error_code Error;
  boost::asio::ip::address Ip;
  // make_address() would ignore what follows a zero byte.
  bool Valid = Colon != std::string_view::npos &&
               Text.find('\0') == std::string_view::npos;
  if (Valid) {
    const std::string_view Digits = Text.substr(Colon + 1);
    const auto [End, Failure] =
        std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
    Ip = boost::asio::ip::make_address(Text.substr(0, Colon), Error);
    Valid = !Error && Failure == std::errc() &&
            End == Digits.data() + Digits.size() && Port <= 65535;
  }
  if (!Valid)
    throw pomelo_error(error_kind::BadSettings,
                       fmt::format("\"{}\" is not an address of the form "
                                   "IP:port",
                                   Text));
  return {Ip, static_cast<std::uint16_t>(Port)};
}

std::string toString(const tcp::endpoint &Address) {
  return fmt::format("{}:{}", Address.address().to_string(), Address.port());
}

} // namespace pomelo
