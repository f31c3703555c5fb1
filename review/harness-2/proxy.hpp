//! A TCP proxy that can cut the links through it, as a network does: nothing
//! passes, nothing is said, and what was sent arrives once the cut heals,
//! unless its sender has reset the connection.
#ifndef POMELOSWITCH_REVIEW_HARNESS_2_PROXY_HPP
#define POMELOSWITCH_REVIEW_HARNESS_2_PROXY_HPP

#include "http.hpp"

#include <atomic>
#include <list>
#include <mutex>
#include <thread>

namespace review {

class cut_proxy {
public:
  cut_proxy(address At, address To) : At(std::move(At)), To(std::move(To)) {}
  ~cut_proxy() { stop(); }
  cut_proxy(const cut_proxy &) = delete;
  cut_proxy &operator=(const cut_proxy &) = delete;

  bool start();
  void stop();
  void cut() { Cut = true; }
  void heal() { Cut = false; }

private:
  void acceptLoop();
  void serve(int Near);
  void pass(int From, int Into);

  address At;
  address To;
  std::atomic<bool> Cut{false};
  std::atomic<bool> Stopping{false};
  int Listener = -1;
  std::thread Acceptor;
  std::mutex Mutex;
  std::list<std::thread> Threads;
};

} // namespace review

#endif
