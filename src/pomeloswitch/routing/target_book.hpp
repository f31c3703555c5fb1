//! What one traffic thread knows of each target from its own traffic.
//!
//! It has no clock and no sockets: the thread tells it what was sent and how
//! that ended, and it tells which targets to use and how loaded they look.
#ifndef POMELOSWITCH_ROUTING_TARGET_BOOK_HPP
#define POMELOSWITCH_ROUTING_TARGET_BOOK_HPP

#include "pomeloswitch/routing/routing_view.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace pomelo {

//! What a target says of its load.
struct told_load {
  double Running = 0;  //!< Requests.
  double Waiting = 0;  //!< Requests.
  double Slots = 1;    //!< Requests that run at a time.
  double Slowdown = 1; //!< How many times as long as usual work takes.
};

//! How a request that was sent to a target ended.
enum class send_end {
  Answered,
  Shed,      //!< The target had no room for it.
  Failed,    //!< It answered with a failure of its own or nonsense.
  Lost,      //!< The connection broke off or could not be made.
  Silent,    //!< No answer came in time.
  Undecided, //!< It says nothing about the target.
};

struct book_limits {
  std::chrono::milliseconds ShedPause{60};
  std::chrono::milliseconds LostPause{700};
  std::chrono::milliseconds SilentPause{1500};
  std::chrono::milliseconds LongestPause{6000};
  //! A target that broke off may be a new process, cold for so long.
  std::chrono::milliseconds ColdDoubt{4000};
  //! A target that has answered nothing for so long, while requests are with
  //! it, beyond a few times its usual time, is doubted.
  std::chrono::milliseconds DoubtAfter{250};
  double DoubtUsualTimes = 2.5;
  //! Time in which what was told of load loses most of its meaning.
  std::chrono::milliseconds LoadFades{300};
  //! Requests that may wait at a target for each of its slots; more waiting
  //! narrows the window of every entry host.
  double WaitingPerSlot = 0.6;
  double WindowGrowth = 0.3; //!< Requests, by each answer with room left.
  double WindowCut = 0.8;    //!< Factor, by each answer without.
  double SmallestWindow = 0.1;
};

class target_book {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit target_book(book_limits Limits = {}) : Limits(Limits) {}

  void sent(const routing_target &Target, time_point Now);
  //! \p Took is the time from sent().
  void ended(const routing_target &Target, send_end How,
             std::chrono::nanoseconds Took, time_point Now);
  void told(const routing_target &Target, const told_load &Load,
            time_point Now);

  //! No connection to the target could be made.
  void unreachable(const routing_target &Target, time_point Now);

  //! Whether requests may go to the target at all; a target that failed is
  //! left for a pause that grows.
  [[nodiscard]] bool usable(const routing_target &Target, time_point Now) const;
  //! Whether one more request fits into this host's part of the target's room.
  //! The part is a window on requests in flight; below one, it spaces them.
  [[nodiscard]] bool hasRoom(const routing_target &Target,
                             time_point Now) const;
  //! Whether the target may have started anew and be cold.
  [[nodiscard]] bool doubtfullyWarm(const routing_target &Target,
                                    time_point Now) const;
  //! How long a request waits here for room at the target while \p Ahead others
  //! wait before it, going by what this host may send.
  [[nodiscard]] std::chrono::duration<double>
  expectedWait(const routing_target &Target, std::size_t Ahead) const;
  //! How many times its usual work the target seems to have before it, times
  //! how slow it is compared with others; lower is better.
  [[nodiscard]] double score(const routing_target &Target,
                             time_point Now) const;
  //! Seconds that answers take, by target id, where nothing waits there.
  [[nodiscard]] std::map<std::string, double> speeds() const;

  //! Forgets targets that \p View does not have.
  void retain(const routing_view &View);

private:
  struct record {
    std::uint32_t InFlight = 0;
    double UsualSeconds = 0; //!< A moving average; 0 before the first answer.
    double CleanSeconds = 0; //!< Likewise, of answers that did not wait.
    double FailureShare = 0; //!< Likewise.
    double Window = 0;       //!< 0 until first used.
    time_point SentAt{};
    time_point AnsweredAt{};
    time_point QuietSince{}; //!< Requests are with it and nothing came back.
    told_load Load;
    double ToldOthers = 0; //!< Of the told load, what others sent.
    time_point ToldAt{};
    unsigned Failures = 0; //!< In a row.
    time_point LeftUntil{};
    time_point BrokeAt{};
  };

  static std::string keyOf(const routing_target &Target);
  [[nodiscard]] const record *find(const routing_target &Target) const;
  [[nodiscard]] bool doubted(const record &Record, time_point Now) const;
  record &recordOf(const routing_target &Target);
  void fitWindow(record &Record, bool Room) const;
  void leave(record &Record, std::chrono::milliseconds Pause, time_point Now);

  book_limits Limits;
  std::map<std::string, record, std::less<>> Records;
};

} // namespace pomelo

#endif
