//! The stand-in for the platform's balancer before the entry hosts.
#ifndef POMELOSWITCH_TOOLS_CALLER_BALANCER_HPP
#define POMELOSWITCH_TOOLS_CALLER_BALANCER_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace pomelo::caller {

struct entry_address {
  std::string CallerAddress;
  std::string OpsAddress; //!< Empty for an entry that is always ready.
  double Weight = 1;
};

//! Chooses an entry host for each connection by weight among those whose
//! readiness endpoint answers.
class balancer {
public:
  balancer(boost::asio::io_context &Io, std::vector<entry_address> Entries,
           std::uint64_t Seed);

  //! Reads the readiness endpoints once and again until the context stops.
  void start();

  //! The chosen entry's number; any if none is ready.
  std::size_t choose();
  //! Takes an entry out until its next good probe: it refused a connection.
  void reportDown(std::size_t Number) { Ready[Number] = false; }

  [[nodiscard]] const std::vector<entry_address> &entries() const {
    return Entries;
  }
  [[nodiscard]] bool ready(std::size_t Number) const { return Ready[Number]; }

private:
  boost::asio::awaitable<void> probeLoop(std::size_t Number);
  boost::asio::awaitable<void> probe(std::size_t Number);

  boost::asio::io_context &Io;
  std::vector<entry_address> Entries;
  std::vector<bool> Ready;
  std::mt19937_64 Random;
};

} // namespace pomelo::caller

#endif
