//! Outcomes of the sends of one request, and whether to retry it.
#ifndef POMELOSWITCH_SENDING_SEND_HISTORY_HPP
#define POMELOSWITCH_SENDING_SEND_HISTORY_HPP

#include "pomeloswitch/errors/error_kind.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! The retry policy of a route.
struct retry_policy {
  unsigned MaxTargets = 1; //!< Targets one request may be sent to.
  bool Idempotent = false; //!< The request may run more than once.
  bool KeyBound = false;   //!< Only the owner of the key may run it.
};

//! Limits the sends of one request: it may go to a limited number of targets,
//! and again to a target that did not run it. Targets to which nothing was
//! sent, because they were unreachable or had to be abandoned before the first
//! byte, do not count.
class send_history {
public:
  //! Records that the request is about to be sent to \p TargetId.
  void recordSend(std::string_view TargetId);
  //! Records how the latest send ended. \p MightHaveRun is false only if the
  //! target certainly did not run the request and will not run it.
  void recordOutcome(bool MightHaveRun, bool ConnectionLost);
  //! Records an attempt that ended before anything was sent.
  void recordUnsent() { ++Unsent; }

  [[nodiscard]] unsigned sendCount() const { return Sends; }
  //! Whether any send so far might have run the request.
  [[nodiscard]] bool mightHaveRun() const { return AnyMightHaveRun; }
  //! Whether the request may be sent to the target at all.
  [[nodiscard]] bool maySendTo(std::string_view TargetId,
                               unsigned MaxTargets) const;
  //! Whether the request may be retried after a failure with \p Kind. The
  //! fleet-wide retry budget is not considered.
  [[nodiscard]] bool mayRetry(error_kind Kind,
                              const retry_policy &Policy) const;
  //! Returns the error that is correct for all sends together: if an earlier
  //! send may have run, a later refusal must not claim that nothing ran.
  [[nodiscard]] pomelo_error
  withEarlierSends(const pomelo_error &Failure) const;

private:
  [[nodiscard]] bool wasSentTo(std::string_view TargetId) const;

  std::vector<std::string> Targets; //!< Targets sent to, without duplicates.
  unsigned Sends = 0;
  unsigned Unsent = 0;
  unsigned LostConnections = 0; //!< Sends that lost their connection.
  bool AnyMightHaveRun = false;
  bool EarlierMightHaveRun = false; //!< Before the latest send.
};

} // namespace pomelo

#endif
