#include "pomeloswitch/sending/target_selection.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/routing/target_ring.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using time_point = target_selection::time_point;

constexpr time_point Start{std::chrono::hours(1)};

//! The load of docs/HARD-LOAD.md, section 3.2.
constexpr std::size_t Hosts = 68;
constexpr std::size_t Targets = 105;
constexpr double RequestsPerSecond = 19; //!< Of each host.
constexpr milliseconds Objective{500};
constexpr seconds Period{20};

//! Requests of many hosts at modelled targets with two slots and a queue. The
//! targets' speeds differ by 1 to 3, and each is three times slower for one
//! second in five.
class fleet {
public:
  explicit fleet(bool UseSubsets) : Random(11) {
    routing_service Service;
    Service.Name = "any";
    for (std::size_t Number = 0; Number < Targets; ++Number)
      Service.Targets.push_back(makeTarget(Number));
    Service.Ring = makeTargetRing(Service.Targets);
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      auto &View = Views.emplace_back();
      // One of few hosts uses all targets.
      View.EntryHosts = UseSubsets ? Hosts : 1;
      View.RingPosition = static_cast<double>(Host) / Hosts;
      View.Services["any"] = Service;
      States.push_back(std::make_unique<send_state>(domainOf(Host), Host));
      arriveLater(Host, Start);
    }
  }

  //! Returns the part of the requests that were answered within the objective.
  double partInTime() {
    while (!Events.empty() && Events.begin()->first < Start + Period) {
      const auto First = Events.begin();
      const time_point Now = First->first;
      const auto Run = std::move(First->second);
      Events.erase(First);
      Run(Now);
    }
    return static_cast<double>(InTime) / static_cast<double>(Arrived);
  }

private:
  struct sent_request {
    std::size_t Host = 0;
    routing_target_ptr Target;
    time_point ArrivedAt;
    time_point SentAt;
  };
  struct target_model {
    milliseconds RunTime{0};
    seconds SlowFrom{0}; //!< In each five.
    unsigned Running = 0;
    std::deque<sent_request> Queue;
  };
  static constexpr unsigned Slots = 2;

  static std::string domainOf(std::size_t Number) {
    return fmt::format("domain-{}", Number % 4);
  }

  routing_target_ptr makeTarget(std::size_t Number) {
    auto Target = std::make_shared<routing_target>();
    Target->Member.TargetId = fmt::format("t{}", Number);
    Target->Member.Incarnation = 1;
    Target->Member.FailureDomain = domainOf(Number);
    Target->Member.Slots = Slots;
    std::uniform_int_distribution<int> Time(60, 180);
    std::uniform_int_distribution<int> SlowFrom(0, 4);
    target_model &Model = Models[Target->Member.TargetId];
    Model.RunTime = milliseconds(Time(Random));
    Model.SlowFrom = seconds(SlowFrom(Random));
    return Target;
  }

  void arriveLater(std::size_t Host, time_point Now) {
    std::exponential_distribution<> Gap(RequestsPerSecond);
    const std::chrono::duration<double> Wait(Gap(Random));
    Events.emplace(Now + std::chrono::duration_cast<time_point::duration>(Wait),
                   [this, Host](time_point At) { arrive(Host, At); });
  }

  void arrive(std::size_t Host, time_point Now) {
    ++Arrived;
    pending_request Pending;
    Pending.Service = "any";
    Pending.Deadline = Now + seconds(2);
    Pending.LatencyGoal = Objective;
    choose(Host, Now,
           std::make_shared<target_selection>(*States[Host], Pending, Now),
           Now);
    arriveLater(Host, Now);
  }

  void choose(std::size_t Host, time_point ArrivedAt,
              const std::shared_ptr<target_selection> &Selection,
              time_point Now) {
    try {
      const auto Owner = Selection->decide(Views[Host], true, Now);
      if (Owner)
        return send({Host, Owner->Target, ArrivedAt, Now});
    } catch (const pomelo_error &) {
      return; // Refused.
    }
    Events.emplace(Now + target_selection::PollInterval,
                   [this, Host, ArrivedAt, Selection](time_point At) {
                     choose(Host, ArrivedAt, Selection, At);
                   });
  }

  void send(const sent_request &Request) {
    States[Request.Host]->Statistics.recordSend(*Request.Target,
                                                Request.SentAt);
    Models[Request.Target->Member.TargetId].Queue.push_back(Request);
    runNext(Request.Target->Member.TargetId, Request.SentAt);
  }

  void runNext(const std::string &Id, time_point Now) {
    target_model &Model = Models[Id];
    if (Model.Running >= Slots || Model.Queue.empty())
      return;
    ++Model.Running;
    const sent_request Request = Model.Queue.front();
    Model.Queue.pop_front();
    const auto Second = std::chrono::duration_cast<seconds>(Now - Start) % 5;
    const int Slowdown = Second == Model.SlowFrom ? 3 : 1;
    Events.emplace(Now + Slowdown * Model.RunTime,
                   [this, Request](time_point At) { answer(Request, At); });
  }

  //! Each answer reports the target's load, as on the platform.
  void answer(const sent_request &Request, time_point Now) {
    const std::string &Id = Request.Target->Member.TargetId;
    target_model &Model = Models[Id];
    --Model.Running;
    runNext(Id, Now);
    target_statistics &Statistics = States[Request.Host]->Statistics;
    Statistics.recordOutcome(*Request.Target, send_outcome::Answered,
                             Now - Request.SentAt, Now);
    Statistics.recordLoad(*Request.Target,
                          {static_cast<double>(Model.Running),
                           static_cast<double>(Model.Queue.size()), Slots, 1},
                          Now);
    InTime += Now - Request.ArrivedAt <= Objective ? 1 : 0;
  }

  random_engine Random;
  std::vector<routing_view> Views;
  std::vector<std::unique_ptr<send_state>> States;
  std::map<std::string, target_model> Models;
  std::multimap<time_point, std::function<void(time_point)>> Events;
  std::size_t Arrived = 0;
  std::size_t InTime = 0;
};

// Guards against a choice that is made without knowledge of the targets' loads:
// with subsets more requests are answered in time than with all targets.
TEST(fleet_load, is_answered_in_time_more_often_with_subsets) {
  const double WithSubsets = fleet(true).partInTime();
  const double WithAll = fleet(false).partInTime();
  RecordProperty("in_time_with_subsets", fmt::format("{:.4f}", WithSubsets));
  RecordProperty("in_time_with_all", fmt::format("{:.4f}", WithAll));
  fmt::print("answered within {} ms: {:.2f} % with subsets, {:.2f} % with all "
             "targets\n",
             Objective.count(), 100 * WithSubsets, 100 * WithAll);
  EXPECT_GT(WithSubsets, WithAll);
}

} // namespace
} // namespace pomelo
