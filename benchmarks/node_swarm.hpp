//! Simulates many announced nodes in one process with the inner protocol only.
#ifndef POMELOSWITCH_BENCHMARKS_NODE_SWARM_HPP
#define POMELOSWITCH_BENCHMARKS_NODE_SWARM_HPP

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pomelo::bench {

//! Bytes that a swarm has exchanged with the control host over its current
//! connections.
struct swarm_traffic {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
};

//! Simulates entry hosts that follow the log and report the targets announced
//! to them, all in one thread. Serves no requests.
class node_swarm {
public:
  //! Creates \p EntryHosts links to \p Address, each of which reports
  //! \p TargetsPerHost targets of \p Service in failure domain \p Domain.
  node_swarm(boost::asio::io_context &Io, const std::string &Address,
             const std::string &Secret, const std::string &Service,
             const std::string &Domain, unsigned EntryHosts,
             unsigned TargetsPerHost);
  ~node_swarm();

  void start();
  void stop();
  [[nodiscard]] swarm_traffic traffic() const;

private:
  class swarm_host;

  std::vector<std::unique_ptr<swarm_host>> Hosts;
};

} // namespace pomelo::bench

#endif
