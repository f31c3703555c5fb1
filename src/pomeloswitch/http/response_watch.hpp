//! Detection of a target's response while its request's body is being sent.
#ifndef POMELOSWITCH_HTTP_RESPONSE_WATCH_HPP
#define POMELOSWITCH_HTTP_RESPONSE_WATCH_HPP

#include "pomeloswitch/http/input_observer.hpp"
#include "pomeloswitch/http/upstream_pool.hpp"

#include <cstddef>
#include <functional>
#include <optional>

namespace pomelo {

//! Removes the complete interim (1xx) responses at the start of \p Buffer,
//! at the expense of \p Allowance, bytes. Returns whether the rest, if any, may
//! yet become a further one. 101 counts as final.
bool takeInterimResponses(boost::beast::flat_buffer &Buffer,
                          std::size_t &Allowance);

//! Calls back at most once, when a final response begins, an interim one is
//! longer than what is allowed, or the connection ends; never after its own
//! destruction.
class response_watch {
public:
  //! \p Allowance, bytes, bounds the interim responses.
  response_watch(upstream_connection &Connection, std::size_t &Allowance,
                 std::function<void()> OnFinal);

private:
  void arm();
  //! Takes in what has arrived. Returns whether the wait goes on.
  bool takeInput();

  upstream_connection &Connection;
  std::size_t &Allowance;
  std::function<void()> OnFinal;
  std::optional<input_observer> Observer;
};

} // namespace pomelo

#endif
