#include "pomeloswitch/sending/target_selection.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/state/slot_refinement.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

//! After the loss of an owner its keys are served again within 4 s, so longer
//! waits are useless.
constexpr auto MaxWait = std::chrono::seconds(5);
//! Percentage of the latency objective of the route that a request may wait for
//! a target. After that it is refused, so that the caller can retry instead of
//! getting an answer later than the objective.
constexpr int MaxWaitPercent = 60;
//! Bounds of the Retry-After time given to callers that would wait too long.
constexpr milliseconds MinRetryAfter{200};
constexpr milliseconds MaxRetryAfter{1000};
//! Cost of crossing failure domains: how much slower a local target may be and
//! still be preferred. Covers network latency and transfer of the body.
constexpr double CrossDomainSeconds = 0.01;
constexpr double CrossDomainSecondsPerByte = 2e-6;

target_selection::time_point
computeWaitDeadline(const pending_request &Request,
                    target_selection::time_point Now) {
  const auto Left = Request.Deadline - Now;
  if (Request.LatencyGoal == milliseconds(0))
    return Now +
           std::min<target_selection::time_point::duration>(MaxWait, Left);
  const target_selection::time_point::duration LatencyGoal =
      Request.LatencyGoal;
  return Now + std::min(Left, LatencyGoal * MaxWaitPercent / 100);
}

} // namespace

target_selection::target_selection(send_state &State, pending_request Request,
                                   time_point Now)
    : State(State), Request(std::move(Request)),
      WaitDeadline(computeWaitDeadline(this->Request, Now)) {}

std::optional<slot_owner> target_selection::decide(const routing_view &View,
                                                   bool Authoritative,
                                                   time_point Now) {
  return Request.Key ? decideByKey(View, Authoritative, Now)
                     : decideByLoad(View, Authoritative, Now);
}

//! Returns the owner of the key slot once it can take the request. If the slot
//! has no owner, the request waits in the queue of the service, since any of
//! its targets may become the owner.
std::optional<slot_owner>
target_selection::decideByKey(const routing_view &View, bool Authoritative,
                              time_point Now) {
  const routing_service *Service = View.findService(Request.Service);
  if (!Service || !Service->Slots)
    throw pomelo_error(error_kind::NoTarget, "the service has no key slots");
  slot_owner Owner = findOwner(View, *Service, *Request.Key);
  if (!Slot)
    State.SlotRates.recordArrival(Request.Service, Owner.Slot,
                                  Service->Slots->size());
  Slot = Owner.Slot;
  if (Owner.Target && Authoritative)
    refuseBeyondShare(*Owner.Target, Now);
  enqueue(Owner.Target ? Owner.Target->Member.TargetId : Request.Service);
  if (Owner.Target && Authoritative && canTakeRequest(*Owner.Target, Now) &&
      Position->requestsAhead() == 0 &&
      admitIfCold(View, *Service, *Owner.Target, true, Now))
    return Owner;
  if (Owner.Target && Authoritative)
    refuseIfWaitTooLong(*Service, *Owner.Target, Now);
  if (Now + PollInterval >= WaitDeadline)
    refuseKey(Authoritative, Owner.Target != nullptr);
  return std::nullopt;
}

void target_selection::refuseKey(bool Authoritative, bool Owned) {
  if (!Authoritative)
    throw pomelo_error(error_kind::NotAuthoritative, LostContact);
  if (!Owned)
    throw pomelo_error(error_kind::NoOwner, "the key currently has no owner");
  throw pomelo_error(error_kind::Overloaded,
                     "the owner of the key is at capacity");
}

std::optional<slot_owner>
target_selection::decideByLoad(const routing_view &View, bool Authoritative,
                               time_point Now) {
  const bool IsNew = !std::exchange(ArrivalRecorded, true);
  if (IsNew)
    State.Arrivals.recordArrival(Request.Service, Now);
  enqueue(Request.Service);
  if (Position->requestsAhead() == 0)
    if (auto Target = choose(View, Authoritative, Now)) {
      slot_owner Selected;
      Selected.Target = std::move(Target);
      return Selected;
    }
  refuseIfUnwanted(View, Now);
  if (IsNew)
    refuseIfQueueTooLong(View, Authoritative, Now);
  if (Now + PollInterval >= WaitDeadline)
    throw pomelo_error(error_kind::NoTarget,
                       "the service has no target that accepts new work");
  return std::nullopt;
}

//! Refuses the request at once if no target that may take it wants requests
//! before its deadline for waiting. One that is leaving may be replaced at any
//! moment. Stops at the first that wants requests, since each waiting request
//! is checked every PollInterval.
void target_selection::refuseIfUnwanted(const routing_view &View,
                                        time_point Now) const {
  const routing_service *Service = View.findService(Request.Service);
  if (!Service)
    return;
  std::optional<time_point> Earliest;
  for (const auto &Target : Service->Targets) {
    const target_notice Notice = State.Notices.of(*Target);
    if (!Target->AcceptsNewWork || Notice.Leaving)
      continue;
    if (Notice.WantsNothingUntil <= std::max(Now, WaitDeadline))
      return;
    Earliest = std::min(Earliest.value_or(time_point::max()),
                        Notice.WantsNothingUntil);
  }
  if (!Earliest)
    return;
  throw pomelo_error(
      error_kind::NoTarget, "no target of the service wants requests in time",
      std::clamp(std::chrono::ceil<milliseconds>(*Earliest - Now),
                 MinRetryAfter, MaxRetryAfter));
}

routing_target_ptr target_selection::choose(const routing_view &View,
                                            bool Authoritative,
                                            time_point Now) {
  const routing_service *Service = View.findService(Request.Service);
  if (!Service)
    return nullptr;
  drawVersion(*Service, Authoritative);
  auto Target =
      Authoritative
          ? chooseAmong(View, *Service, Now)
          : chooseAmong(View, restrictToDomain(*Service, State.FailureDomain),
                        Now);
  // A share that the new version can't take goes to the old ones, not the other
  // way round.
  if (!Target && std::exchange(ToNewVersion, false))
    Target = chooseAmong(View, *Service, Now);
  if (Target)
    admitIfCold(View, *Service, *Target, true, Now);
  return Target;
}

//! Decides once for each roll-out which version the request goes to. A host
//! without a lease may have missed that the share fell.
void target_selection::drawVersion(const routing_service &Service,
                                   bool Authoritative) {
  const std::uint64_t Index = Service.Split ? Service.Split->StartedIndex : 0;
  const bool Known = std::exchange(SplitIndex, Index) == Index;
  if (!Service.Split || !Authoritative || Service.Split->Share <= 0) {
    ToNewVersion = false;
    return;
  }
  if (Service.Split->Share >= 1)
    ToNewVersion = true;
  else if (!Known)
    ToNewVersion = std::uniform_real_distribution<>(0, 1)(State.Random) <
                   Service.Split->Share;
}

bool target_selection::ofVersion(const routing_service &Service,
                                 const routing_target &Target, bool New) {
  return !Service.Split ||
         (Target.Member.Version == Service.Split->Version) == New;
}

routing_target_ptr target_selection::chooseAmong(const routing_view &View,
                                                 const routing_service &Service,
                                                 time_point Now) {
  const double CrossDomainCost =
      CrossDomainSeconds +
      static_cast<double>(Request.BodyBytes) * CrossDomainSecondsPerByte;
  const auto Load = [&](const routing_target &Target) {
    const bool Near = Target.Member.FailureDomain == State.FailureDomain;
    return State.Statistics.score(Target, Now) + (Near ? 0 : CrossDomainCost);
  };
  const target_predicates Predicates =
      makePredicates(View, Service, ToNewVersion, Now);
  const std::size_t Size = subsetSizeOf(View, Service, Now);
  ColdShare.reset();
  if (Size >= Service.Targets.size())
    return chooseBest(Service, Request.ExcludedTargets, Predicates.HasRoom,
                      Load, State.Random);
  return chooseFromSubset(Service, View.RingPosition, Size,
                          Request.ExcludedTargets, Predicates, Load,
                          State.Random);
}

std::size_t target_selection::subsetSizeOf(const routing_view &View,
                                           const routing_service &Service,
                                           time_point Now) const {
  return subsetSize(State.Arrivals.perSecond(Service.Name, Now),
                    Service.Targets.size(), View.EntryHosts);
}

target_predicates
target_selection::makePredicates(const routing_view &View,
                                 const routing_service &Service,
                                 bool NewVersion, time_point Now) {
  return {
      [this, &Service, NewVersion, Now](const routing_target &Target) {
        return ofVersion(Service, Target, NewVersion) &&
               State.Notices.of(Target).wantsRequests(Now) &&
               State.Statistics.usable(Target, Now);
      },
      [this, Now](const routing_target &Target) {
        return !State.isCold(Target, Now);
      },
      [this, &View, &Service, NewVersion, Now](const routing_target &Target) {
        return ofVersion(Service, Target, NewVersion) &&
               canTakeRequest(Target, Now) &&
               admitIfCold(View, Service, Target, false, Now);
      }};
}

bool target_selection::canTakeRequest(const routing_target &Target,
                                      time_point Now) const {
  return State.Notices.of(Target).wantsRequests(Now) &&
         State.Statistics.usable(Target, Now) &&
         State.Statistics.hasRoom(Target, Now, Bounded);
}

//! Returns the part of the requests to a cold target that this host may send:
//! only the hosts that have the target in their subset share its rate.
double target_selection::coldShareOf(const routing_view &View,
                                     const routing_service &Service,
                                     time_point Now) {
  const auto Hosts = static_cast<double>(View.EntryHosts);
  if (Service.Ring.empty())
    return 1 / Hosts;
  if (!ColdShare) {
    const std::size_t Size = subsetSizeOf(View, Service, Now);
    const double Users =
        Size >= Service.Targets.size()
            ? Hosts
            : Hosts * subsetStretch(
                          Service, View.RingPosition, Size,
                          Request.ExcludedTargets,
                          makePredicates(View, Service, ToNewVersion, Now));
    ColdShare = 1 / std::max(1.0, Users);
  }
  return *ColdShare;
}

//! Limits the requests that all entry hosts together send to a cold target.
//! Targets that are not cold are always admitted.
bool target_selection::admitIfCold(const routing_view &View,
                                   const routing_service &Service,
                                   const routing_target &Target, bool Consume,
                                   time_point Now) {
  if (!State.isCold(Target, Now) || Service.ColdRatePerSecond <= 0)
    return true;
  return State.ColdLimiter.admit(Target.Member.TargetId,
                                 Service.ColdRatePerSecond *
                                     coldShareOf(View, Service, Now),
                                 Consume, Now);
}

void target_selection::enqueue(const std::string &QueueName) {
  if (Position && QueueName == Queue)
    return;
  Queue = QueueName;
  Position.emplace(State.WaitQueues, Queue, Request.Priority, Request.Deadline);
}

//! Refuses the request at once if it is not among those that its owner can take
//! of all hosts' requests. Chance picks them, since each host has only a few,
//! and spreads the times of return.
void target_selection::refuseBeyondShare(const routing_target &Owner,
                                         time_point Now) {
  if (WithinShare)
    return;
  std::uniform_real_distribution<> Uniform(0, 1);
  const double Share = State.OwnerShares.of(Owner.Member.TargetId, Now);
  WithinShare = Share >= 1 || Uniform(State.Random) < Share;
  Bounded = Share < 1;
  if (WithinShare)
    return;
  const std::chrono::duration<double, std::milli> Spread =
      (MaxRetryAfter - MinRetryAfter) * Uniform(State.Random);
  throw pomelo_error(
      error_kind::Overloaded,
      fmt::format("the owner of the key can take {:.0f} % of its requests",
                  100 * Share),
      MinRetryAfter + std::chrono::duration_cast<milliseconds>(Spread));
}

//! Adds what the targets of one version give back each second, and when the
//! first of them may be sent to. These are as many as choose() may use while
//! the subset is full.
void target_selection::addCapacity(const routing_view &View,
                                   const routing_service &Service,
                                   bool NewVersion, time_point Now,
                                   freed_capacity &Capacity) {
  const std::size_t Size =
      subset_limits().MaxWidening * subsetSizeOf(View, Service, Now);
  for (const routing_target_ptr &Target :
       subsetMembers(Service, View.RingPosition, Size, Request.ExcludedTargets,
                     makePredicates(View, Service, NewVersion, Now))) {
    Capacity.PerSecond += State.Statistics.throughput(*Target);
    // A request for the old version never goes to the new one.
    if (ToNewVersion || !NewVersion)
      Capacity.Earliest = std::min(
          Capacity.Earliest, State.Statistics.untilNextSend(*Target, Now));
  }
}

//! Refuses a new request immediately, with a retry time, if it would wait
//! beyond its deadline for waiting: for the requests ahead of it, or since its
//! targets get none before. During a roll-out the requests ahead go to both
//! versions.
void target_selection::refuseIfQueueTooLong(const routing_view &View,
                                            bool Authoritative,
                                            time_point Now) {
  const std::size_t Ahead = Position->requestsAhead();
  const routing_service *Service = View.findService(Request.Service);
  if (!Service)
    return;
  // A host that uses all targets is not the only one that frees them.
  const bool UsesAll =
      subsetSizeOf(View, *Service, Now) >= Service->Targets.size();
  if (UsesAll && !Service->Split)
    return;
  drawVersion(*Service, Authoritative);
  freed_capacity Capacity;
  addCapacity(View, *Service, false, Now, Capacity);
  if (Service->Split && Service->Split->Share > 0)
    addCapacity(View, *Service, true, Now, Capacity);
  if (Capacity.Earliest == freed_capacity().Earliest || Capacity.PerSecond <= 0)
    return;
  const auto Expected =
      Capacity.Earliest + std::chrono::duration<double>(
                              static_cast<double>(Ahead) / Capacity.PerSecond);
  if (Now + Expected <= WaitDeadline)
    return;
  // Those who are refused together return one after the other while the queue
  // ahead of them empties.
  std::uniform_real_distribution<> Uniform(0.5, 1);
  throw pomelo_error(
      error_kind::Overloaded,
      fmt::format(
          "the service will not take this request in time; {} others are "
          "waiting",
          Ahead),
      std::clamp(std::chrono::duration_cast<milliseconds>(
                     Expected * Uniform(State.Random)),
                 MinRetryAfter, MaxRetryAfter));
}

//! Refuses the request immediately, with a retry time, if its expected wait
//! exceeds the deadline for waiting.
void target_selection::refuseIfWaitTooLong(const routing_service &Service,
                                           const routing_target &Target,
                                           time_point Now) const {
  const std::size_t Ahead = Position->requestsAhead();
  const std::chrono::duration<double> Quiet =
      State.Notices.of(Target).WantsNothingUntil - Now;
  // With few targets a host sees enough of an owner's responses for its window
  // to open again within the wait.
  const auto UntilNextSend =
      Service.Targets.size() < MinTargetsToRefine
          ? std::chrono::duration<double>(0)
          : State.Statistics.untilNextSend(Target, Now, Bounded);
  const auto Expected = std::max(
      UntilNextSend + State.Statistics.expectedWait(Target, Ahead, Bounded),
      Quiet);
  if (Now + Expected <= WaitDeadline)
    return;
  const auto HalfWait = std::chrono::duration_cast<milliseconds>(Expected / 2);
  throw pomelo_error(
      error_kind::Overloaded,
      fmt::format("{} requests are already waiting for the owner of the key, "
                  "which will not take this one in time",
                  Ahead),
      std::clamp(HalfWait, MinRetryAfter, MaxRetryAfter));
}

} // namespace pomelo
