#include "pomeloswitch/rollout/rollout_meter.hpp"

namespace pomelo {

service_outcomes &service_outcomes::operator+=(const service_outcomes &Other) {
  if (Other.StartedIndex < StartedIndex)
    return *this;
  if (Other.StartedIndex > StartedIndex) {
    *this = Other;
    return *this;
  }
  Requests += Other.Requests;
  NewRequests += Other.NewRequests;
  for (const auto &[Key, Outcomes] : Other.Targets) {
    target_outcomes &Sum = Targets[Key];
    Sum.NewVersion = Outcomes.NewVersion;
    Sum.Counts += Outcomes.Counts;
  }
  return *this;
}

void rollout_meter::record(std::string_view Service, std::uint64_t StartedIndex,
                           const counted_attempt &Attempt) {
  service_outcomes &Outcomes = Services[std::string(Service)];
  if (Outcomes.StartedIndex > StartedIndex)
    return;
  if (Outcomes.StartedIndex < StartedIndex) {
    Outcomes = {};
    Outcomes.StartedIndex = StartedIndex;
  }
  ++Outcomes.Requests;
  Outcomes.NewRequests += Attempt.NewVersion ? 1 : 0;
  if (!Attempt.Failed && !Attempt.Latency)
    return;
  target_outcomes &Target = Outcomes.Targets[{Attempt.Route, Attempt.TargetId}];
  Target.NewVersion = Attempt.NewVersion;
  if (Attempt.Failed)
    ++Target.Counts.Failures;
  else
    Target.Counts.Answers.record(*Attempt.Latency);
}

} // namespace pomelo
