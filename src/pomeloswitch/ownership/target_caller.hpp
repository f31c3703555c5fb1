//! Interface for the calls that an order_scheduler requests.
#ifndef POMELOSWITCH_OWNERSHIP_TARGET_CALLER_HPP
#define POMELOSWITCH_OWNERSHIP_TARGET_CALLER_HPP

#include "pomeloswitch/ownership/order_scheduler.hpp"

#include <functional>

namespace pomelo {

//! Sends grants and releases to targets.
class target_caller {
public:
  using completion = std::function<void(const order_result &)>;

  virtual ~target_caller() = default;

  //! Calls the target and passes the result to \p Done, after \p Timeout at the
  //! latest. \p Done is never called before call() has returned.
  virtual void call(const target_order &Order, milliseconds Timeout,
                    completion Done) = 0;
};

} // namespace pomelo

#endif
