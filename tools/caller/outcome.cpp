#include "caller/outcome.hpp"

#include "pomeloswitch/observe/metrics.hpp"

#include <boost/json.hpp>

#include <map>

namespace pomelo::caller {
namespace {

namespace json = boost::json;

constexpr double MillisecondsPerSecond = 1000;

json::object describeLatency(const latency_histogram &Latency) {
  const auto Milliseconds = [&](double Fraction) {
    return Latency.quantileSeconds(Fraction) * MillisecondsPerSecond;
  };
  return {{"p50_ms", Milliseconds(0.5)},
          {"p99_ms", Milliseconds(0.99)},
          {"p999_ms", Milliseconds(0.999)}};
}

struct outcome_statistics {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Mismatched = 0;
  std::map<std::string, std::uint64_t> ByError;
  std::map<std::string, std::uint64_t> ByRunState;
  latency_histogram Latency; //!< Of answered requests only.

  void add(const outcome &Outcome) {
    ++Requests;
    ++ByRunState[Outcome.RunState];
    Mismatched += Outcome.Mismatched ? 1 : 0;
    if (Outcome.answered()) {
      ++Answered;
      Latency.add(Outcome.Latency);
    } else {
      ++ByError[Outcome.Error];
    }
  }

  [[nodiscard]] json::object describe() const {
    return {{"requests", Requests},
            {"answered", Answered},
            {"mismatched", Mismatched},
            {"errors", json::value_from(ByError)},
            {"run_states", json::value_from(ByRunState)},
            {"latency", describeLatency(Latency)}};
  }
};

} // namespace

json::object describeOutcome(const outcome &Outcome) {
  return {{"id", Outcome.Request.Id},
          {"account", Outcome.Request.Account},
          {"method", Outcome.Request.Method},
          {"path", Outcome.Request.Path},
          {"idempotent", Outcome.Request.Idempotent},
          {"entry", Outcome.Entry},
          {"due_us", Outcome.DueUs},
          {"sent_us", Outcome.SentUs},
          {"done_us", Outcome.DoneUs},
          {"status", Outcome.Status},
          {"error", Outcome.Error},
          {"run_state", Outcome.RunState},
          {"target", Outcome.Target},
          {"mismatched", Outcome.Mismatched}};
}

json::object summarize(const std::vector<outcome> &Outcomes) {
  outcome_statistics All;
  std::map<std::string, outcome_statistics> ByAccount;
  for (const outcome &Outcome : Outcomes) {
    All.add(Outcome);
    ByAccount[Outcome.Request.Account].add(Outcome);
  }
  json::object Accounts;
  for (const auto &[Name, Statistics] : ByAccount)
    Accounts[Name] = Statistics.describe();
  json::object Summary = All.describe();
  Summary["accounts"] = std::move(Accounts);
  return Summary;
}

} // namespace pomelo::caller
