//! What became of one request's sends so far, and whether another may follow.
#ifndef POMELOSWITCH_SENDING_SEND_HISTORY_HPP
#define POMELOSWITCH_SENDING_SEND_HISTORY_HPP

#include "pomeloswitch/errors/error_kind.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! What a route allows.
struct send_terms {
  unsigned MaxTargets = 1; //!< That may get one request.
  bool Idempotent = false; //!< It may run more than once.
  bool KeyBound = false;   //!< Only the owner of its key may run it.
};

//! A request goes to few targets, and again to one that did not run it. Targets
//! that nothing was sent to, since they could not be reached or had to be left
//! at the last moment, do not count as such.
class send_history {
public:
  //! Bytes of the request are about to go to \p TargetId.
  void sent(std::string_view TargetId);
  //! How the latest send ended. \p MightHaveRun is false only if the target
  //! surely did not run it and will not.
  void ended(bool MightHaveRun, bool ConnectionLost);
  //! An attempt ended before anything was sent.
  void unsent() { ++Unsent; }

  [[nodiscard]] unsigned sends() const { return Sends; }
  //! In any send so far.
  [[nodiscard]] bool mightHaveRun() const { return Ran; }
  //! Whether the request may go to the target at all.
  [[nodiscard]] bool mayGoTo(std::string_view TargetId,
                             unsigned MaxTargets) const;
  //! Whether an attempt may follow one that failed with \p Kind; the fleet's
  //! budget of second sends is not looked at.
  [[nodiscard]] bool mayTryAgain(error_kind Kind,
                                 const send_terms &Terms) const;
  //! What is true about all sends together: a refusal after one that may have
  //! run must not say that nothing ran.
  [[nodiscard]] pomelo_error truthful(const pomelo_error &Failure) const;

private:
  [[nodiscard]] bool knows(std::string_view TargetId) const;

  std::vector<std::string> Targets; //!< That got it, each once.
  unsigned Sends = 0;
  unsigned Unsent = 0;
  unsigned LostConnections = 0; //!< Sends that a target broke off.
  bool Ran = false;
  bool RanBefore = false; //!< The same before the latest send.
};

} // namespace pomelo

#endif
