#include "emulator/free_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <random>
#include <stdexcept>

namespace pomelo::emulator {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::uint16_t FirstPort = 12000;
constexpr std::uint16_t LastPort = 32000;
constexpr int MaxAttempts = 1000;

bool isFree(std::uint16_t Port) {
  asio::io_context Io;
  tcp::acceptor Acceptor(Io);
  Acceptor.open(tcp::v4());
  boost::system::error_code Error;
  Acceptor.bind({asio::ip::address_v4::loopback(), Port}, Error);
  return !Error;
}

} // namespace

std::uint16_t freePort() {
  static std::mt19937 Engine{std::random_device{}()};
  std::uniform_int_distribution<std::uint16_t> Ports(FirstPort, LastPort);
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const std::uint16_t Port = Ports(Engine);
    if (isFree(Port))
      return Port;
  }
  throw std::runtime_error("no free loopback port found");
}

} // namespace pomelo::emulator
