//! The requests of one traffic thread that have no complete answer yet.
#ifndef POMELOSWITCH_HTTP_OPEN_REQUESTS_HPP
#define POMELOSWITCH_HTTP_OPEN_REQUESTS_HPP

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string_view>

namespace pomelo {

//! Time between the end of the last requests and that of their process, for
//! passing on their responses.
inline constexpr std::chrono::milliseconds StopMargin{200};

//! The reason of a refusal, and of an unknown outcome, at the end of a process.
inline constexpr const char *HostStops = "this entry host is stopping";

//! What an open request waits for.
enum class request_phase {
  Admission,  //!< A lease, or the rate of its account.
  Body,       //!< The first part of its body.
  Target,     //!< A target that may take it.
  Connection, //!< A connection to the target.
  Sending,    //!< The target and the caller, for the request's own bytes.
  Response,   //!< The target's response header.
  Relaying,   //!< The rest of the response.
  Answering,  //!< The caller, to take this host's own answer.
};

//! The name of the phase in log lines.
[[nodiscard]] std::string_view nameOf(request_phase Phase);

//! Owned by one traffic thread; provides no locking.
class open_requests {
public:
  //! Counts one request as open for its own lifetime, which must not be longer
  //! than that of the table.
  class registration {
  public:
    explicit registration(open_requests &Table);
    ~registration();
    registration(const registration &) = delete;
    registration &operator=(const registration &) = delete;

    void enter(request_phase Phase) { Entry->Phase = Phase; }
    [[nodiscard]] request_phase phase() const { return Entry->Phase; }
    //! Sets what is called when the request must end at once, since its
    //! process does.
    void onEnd(std::function<void()> Call) { Entry->OnEnd = std::move(Call); }

  private:
    friend class open_requests;
    struct entry {
      request_phase Phase = request_phase::Admission;
      std::chrono::steady_clock::time_point Since;
      std::function<void()> OnEnd{};
    };

    open_requests &Table;
    std::list<entry>::iterator Entry;
  };

  //! Tells all open requests that their process ends.
  void end();

  [[nodiscard]] std::size_t size() const { return Entries.size(); }
  //! The number of open requests in each phase in which there are some.
  [[nodiscard]] std::map<request_phase, std::size_t> byPhase() const;
  //! When the oldest one arrived; nothing if none is open.
  [[nodiscard]] std::optional<std::chrono::steady_clock::time_point>
  oldest() const;

private:
  std::list<registration::entry> Entries; //!< The oldest first.
};

} // namespace pomelo

#endif
