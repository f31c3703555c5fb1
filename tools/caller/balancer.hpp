//! Simulates the platform's load balancer in front of the entry hosts.
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
  std::string OpsAddress; //!< Empty: no probes, always ready at the start.
  double Weight = 1;
};

//! Chooses an entry host for each new connection: at random by weight, among
//! the hosts whose readiness endpoint answers with 200.
class balancer {
public:
  balancer(boost::asio::io_context &Io, std::vector<entry_address> Entries,
           std::uint64_t Seed);

  //! Starts periodic readiness probes, which run until the context stops.
  void start();

  //! Returns the index of the chosen entry host; any host if none is ready.
  std::size_t choose();
  //! Excludes an entry host that refused a connection until its next
  //! successful probe.
  void markUnavailable(std::size_t Index) { Ready[Index] = false; }

  [[nodiscard]] const std::vector<entry_address> &entries() const {
    return Entries;
  }
  [[nodiscard]] bool ready(std::size_t Index) const { return Ready[Index]; }

private:
  boost::asio::awaitable<void> probeLoop(std::size_t Index);
  boost::asio::awaitable<void> probe(std::size_t Index);

  boost::asio::io_context &Io;
  std::vector<entry_address> Entries;
  std::vector<bool> Ready;
  std::mt19937_64 Random;
};

} // namespace pomelo::caller

#endif
