#include "pomeloswitch/routing/full_target_detector.hpp"

namespace pomelo {

bool full_target_detector::mayBeFull(const target_pressure &Pressure) {
  return Pressure.ReportAge <= MaxReportAge &&
         Pressure.Outstanding >= (1 + MinQueuePerSlot) * Pressure.Slots;
}

bool full_target_detector::recordReset(std::string_view Service,
                                       std::string_view Target,
                                       const target_pressure &Pressure,
                                       time_point Now) {
  if (!mayBeFull(Pressure))
    return false;
  std::erase_if(SuspectedAt, [Now](const auto &Entry) {
    return Now - Entry.second >= Retention;
  });
  SuspectedAt.insert_or_assign(std::string(Target), Now);
  return resetsWhenFull(Service, Now);
}

void full_target_detector::recordAnswer(std::string_view Service,
                                        std::string_view Target,
                                        time_point SentAt, time_point Now) {
  const auto Suspected = SuspectedAt.find(Target);
  if (Suspected == SuspectedAt.end() || SentAt < Suspected->second)
    return;
  SuspectedAt.erase(Suspected);
  ConfirmedAt.insert_or_assign(std::string(Service), Now);
}

bool full_target_detector::resetsWhenFull(std::string_view Service,
                                          time_point Now) const {
  const auto Found = ConfirmedAt.find(Service);
  return Found != ConfirmedAt.end() && Now - Found->second < Retention;
}

} // namespace pomelo
