#include "judge/measures.hpp"

#include "pomeloswitch/state/key_slot.hpp"

#include <algorithm>
#include <optional>

namespace pomelo::judge {
namespace {

using caller::outcome;

constexpr double MicrosecondsPerSecond = 1e6;

//! Returns the outcomes ordered by due time.
std::vector<const outcome *>
sortByDueTime(const std::vector<outcome> &Outcomes) {
  std::vector<const outcome *> Order;
  Order.reserve(Outcomes.size());
  for (const outcome &Each : Outcomes)
    Order.push_back(&Each);
  std::sort(Order.begin(), Order.end(),
            [](const auto *Left, const auto *Right) {
              return Left->DueUs < Right->DueUs;
            });
  return Order;
}

//! Returns a label of the request's key slot, or its path if it has no key.
std::string slotLabel(const outcome &Outcome,
                      const std::vector<keyed_paths> &Keyed) {
  const std::string &Path = Outcome.Request.Path;
  for (const keyed_paths &Paths : Keyed) {
    if (!Path.starts_with(Paths.Prefix))
      continue;
    const std::string Key = Path.substr(
        Paths.Prefix.size(),
        Path.find_first_of("/?", Paths.Prefix.size()) - Paths.Prefix.size());
    return Paths.Prefix + std::to_string(slotOfKey(Key, Paths.Slots));
  }
  return Path;
}

bool isFailure(const outcome &Outcome) {
  constexpr int FirstServerError = 500;
  return Outcome.Status == 0 || Outcome.Status >= FirstServerError;
}

} // namespace

unavailable_time measureUnavailableTime(const std::vector<outcome> &Outcomes,
                                        const std::vector<keyed_paths> &Keyed) {
  struct span {
    std::optional<std::int64_t> FromUs;
    std::int64_t LastFailureUs = 0;
  };
  std::map<std::string, span> Open;
  unavailable_time Result;
  const auto Close = [&Result](span &Span, std::int64_t ToUs) {
    const double Seconds =
        static_cast<double>(ToUs - *Span.FromUs) / MicrosecondsPerSecond;
    Result.LongestSeconds = std::max(Result.LongestSeconds, Seconds);
    Result.SumSeconds += Seconds;
    ++Result.Spans;
    Span.FromUs.reset();
  };
  for (const outcome *Each : sortByDueTime(Outcomes)) {
    span &Span = Open[slotLabel(*Each, Keyed)];
    if (isFailure(*Each)) {
      Span.LastFailureUs = Each->DueUs;
      if (!Span.FromUs)
        Span.FromUs = Each->DueUs;
    } else if (Each->answered() && Span.FromUs) {
      Close(Span, Each->DueUs);
    }
  }
  for (auto &[Slot, Span] : Open)
    if (Span.FromUs)
      Close(Span, Span.LastFailureUs);
  return Result;
}

std::uint64_t
countRefusalsWithinRate(const std::vector<outcome> &Outcomes,
                        const std::map<std::string, account_rate> &Rates) {
  struct bucket {
    double Tokens = 0;
    std::int64_t LastUs = 0;
  };
  std::map<std::string, bucket> Buckets;
  std::uint64_t Count = 0;
  for (const outcome *Each : sortByDueTime(Outcomes)) {
    const auto Rate = Rates.find(Each->Request.Account);
    if (Rate == Rates.end())
      continue;
    auto [Entry, Inserted] = Buckets.try_emplace(
        Each->Request.Account, bucket{Rate->second.Burst, Each->DueUs});
    bucket &Bucket = Entry->second;
    Bucket.Tokens = std::min(
        Rate->second.Burst,
        Bucket.Tokens + static_cast<double>(Each->DueUs - Bucket.LastUs) *
                            Rate->second.PerSecond / MicrosecondsPerSecond);
    Bucket.LastUs = Each->DueUs;
    const bool HadToken = Bucket.Tokens >= 1;
    if (Each->Error == "rate_exceeded")
      Count += HadToken ? 1 : 0;
    else if (HadToken)
      Bucket.Tokens -= 1;
  }
  return Count;
}

std::map<std::string, double> measureImbalance(const journal &Journal) {
  std::map<std::string, std::map<std::string, double>> Loads;
  for (const execution &Each : Journal.Executions)
    ++Loads[Each.Service][Each.Target];
  std::map<std::string, double> Result;
  for (const auto &[Service, Targets] : Loads) {
    double Sum = 0;
    double Highest = 0;
    for (const auto &[Target, Load] : Targets) {
      Sum += Load;
      Highest = std::max(Highest, Load);
    }
    Result[Service] = Highest * static_cast<double>(Targets.size()) / Sum;
  }
  return Result;
}

std::uint64_t countMoves(const journal &Journal) {
  std::vector<const execution *> Order;
  for (const execution &Each : Journal.Executions)
    if (Each.Slot)
      Order.push_back(&Each);
  std::sort(Order.begin(), Order.end(),
            [](const auto *Left, const auto *Right) {
              return Left->StartUs < Right->StartUs;
            });
  std::map<std::pair<std::string, std::uint32_t>, std::string> Owner;
  std::uint64_t Moves = 0;
  for (const execution *Each : Order) {
    std::string &Current = Owner[{Each->Service, *Each->Slot}];
    Moves += !Current.empty() && Current != Each->Target ? 1 : 0;
    Current = Each->Target;
  }
  return Moves;
}

} // namespace pomelo::judge
