//! The requests of one traffic thread that wait for tokens of their account.
#ifndef POMELOSWITCH_HTTP_TOKEN_WAITERS_HPP
#define POMELOSWITCH_HTTP_TOKEN_WAITERS_HPP

#include "pomeloswitch/admission/account_bucket.hpp"

#include <boost/asio/steady_timer.hpp>

#include <list>

namespace pomelo {

//! Wakes requests, in the order of their arrival, when their bucket has tokens.
//! A request waits on a timer of its own; waking it cancels the timer.
class token_waiters {
  struct waiter {
    account_bucket *Bucket;
    boost::asio::steady_timer *Timer;
  };

public:
  //! Keeps a request registered until destruction.
  class registration {
  public:
    registration(token_waiters &Waiters, account_bucket &Bucket,
                 boost::asio::steady_timer &Timer)
        : Waiters(Waiters), Entry(Waiters.Waiting.insert(Waiters.Waiting.end(),
                                                         {&Bucket, &Timer})) {}
    ~registration() { Waiters.Waiting.erase(Entry); }
    registration(const registration &) = delete;
    registration &operator=(const registration &) = delete;

  private:
    token_waiters &Waiters;
    std::list<waiter>::iterator Entry;
  };

  void wake(account_bucket::time_point Now) {
    for (const waiter &Each : Waiting)
      if (Each.Bucket->hasToken(Now))
        Each.Timer->cancel();
  }

private:
  std::list<waiter> Waiting;
};

} // namespace pomelo

#endif
