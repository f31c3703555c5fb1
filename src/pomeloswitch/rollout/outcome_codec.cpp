#include "pomeloswitch/rollout/outcome_codec.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <algorithm>

namespace pomelo {
namespace {

void encodeLatencies(const latency_counts &Answers,
                     wire::target_outcomes &Out) {
  const auto &Counts = Answers.counts();
  const auto End = std::find_if(Counts.rbegin(), Counts.rend(),
                                [](std::uint32_t Count) { return Count > 0; });
  for (auto Count = Counts.begin(); Count != End.base(); ++Count)
    Out.add_latencies(*Count);
}

} // namespace

void encode(const outcomes_by_service &Outcomes, wire::heartbeat &Heartbeat) {
  for (const auto &[Service, Of] : Outcomes) {
    auto *Out = Heartbeat.add_rollouts();
    Out->set_service(Service);
    Out->set_started_index(Of.StartedIndex);
    Out->set_requests(Of.Requests);
    Out->set_new_requests(Of.NewRequests);
    for (const auto &[Key, Target] : Of.Targets) {
      auto *TargetOut = Out->add_targets();
      TargetOut->set_route(Key.first);
      TargetOut->set_target_id(Key.second);
      TargetOut->set_new_version(Target.NewVersion);
      TargetOut->set_failures(Target.Counts.Failures);
      encodeLatencies(Target.Counts.Answers, *TargetOut);
    }
  }
}

service_outcomes decode(const wire::rollout_counts &Counts) {
  service_outcomes Outcomes;
  Outcomes.StartedIndex = Counts.started_index();
  Outcomes.Requests = Counts.requests();
  Outcomes.NewRequests = Counts.new_requests();
  for (const auto &Target : Counts.targets()) {
    target_outcomes &Decoded =
        Outcomes.Targets[{Target.route(), Target.target_id()}];
    Decoded.NewVersion = Target.new_version();
    Decoded.Counts.Failures = Target.failures();
    for (int Bucket = 0; Bucket < Target.latencies_size(); ++Bucket)
      Decoded.Counts.Answers.add(static_cast<std::size_t>(Bucket),
                                 Target.latencies(Bucket));
  }
  return Outcomes;
}

} // namespace pomelo
