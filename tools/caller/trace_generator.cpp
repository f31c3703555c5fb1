#include "caller/trace_generator.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace pomelo::caller {
namespace {

constexpr std::uint64_t KiB = 1024;
constexpr double MicrosecondsPerSecond = 1e6;

//! Generates random numbers without the distributions of the standard library,
//! whose results differ between implementations.
class random_source {
public:
  explicit random_source(std::uint64_t Seed) : Engine(Seed) {}

  //! Returns a uniform number in [0, 1).
  double uniform() { return static_cast<double>(Engine() >> 11) * 0x1p-53; }
  std::uint64_t integerBelow(std::uint64_t Bound) { return Engine() % Bound; }
  double exponential(double Rate) { return -std::log1p(-uniform()) / Rate; }

  template <typename Item>
  const Item &chooseWeighted(const std::vector<Item> &Items) {
    double TotalWeight = 0;
    for (const Item &Each : Items)
      TotalWeight += Each.Weight;
    double Remaining = uniform() * TotalWeight;
    for (const Item &Each : Items)
      if ((Remaining -= Each.Weight) < 0)
        return Each;
    return Items.back();
  }

private:
  std::mt19937_64 Engine;
};

//! Returns the accounts of both example users: eight, of which a few are large.
std::vector<weighted_account> fewLargeAccounts(std::string_view Prefix) {
  constexpr double Weights[] = {40, 25, 15, 6, 5, 4, 3, 2};
  std::vector<weighted_account> Accounts;
  for (const double Weight : Weights)
    Accounts.push_back(
        {fmt::format("{}-{}", Prefix, Accounts.size() + 1), Weight});
  return Accounts;
}

std::vector<trace_shape> makeShapes() {
  trace_shape Statika;
  Statika.Name = "statika";
  Statika.Accounts = fewLargeAccounts("bureau");
  Statika.Kinds = {{"GET", "/reports/", 78, true, true, 0},
                   {"POST", "/reports/", 10, true, false, 4 * KiB},
                   {"POST", "/certificates", 8, false, false, 2 * KiB},
                   {"POST", "/models", 4, false, false, 64 * KiB}};
  trace_shape Hinokuni;
  Hinokuni.Name = "hinokuni";
  Hinokuni.Accounts = fewLargeAccounts("dealer");
  Hinokuni.Kinds = {{"GET", "/history/", 86, true, true, 0},
                    {"POST", "/history/", 7, true, false, 1 * KiB},
                    {"POST", "/registrations", 4, false, false, 2 * KiB},
                    {"POST", "/scans", 3, false, false, 48 * KiB}};
  Hinokuni.HotShare = 0.4;
  Hinokuni.HotKeyChangeInterval = std::chrono::seconds(4);
  return {Statika, Hinokuni};
}

std::string chooseKey(const trace_shape &Shape, double AtSeconds,
                      random_source &Random) {
  std::uint64_t Number = Random.integerBelow(Shape.Keys);
  if (Random.uniform() < Shape.HotShare) {
    const auto Change = static_cast<std::uint64_t>(
        AtSeconds / static_cast<double>(Shape.HotKeyChangeInterval.count()));
    // The next group of keys becomes hot at each change.
    Number = (Change * Shape.HotKeys + Random.integerBelow(Shape.HotKeys)) %
             Shape.Keys;
  }
  return fmt::format("k{}", Number);
}

} // namespace

std::span<const trace_shape> traceShapes() {
  static const std::vector<trace_shape> Shapes = makeShapes();
  return Shapes;
}

const trace_shape &findTraceShape(std::string_view Name) {
  const auto Shapes = traceShapes();
  const auto Found =
      std::find_if(Shapes.begin(), Shapes.end(),
                   [Name](const auto &Shape) { return Shape.Name == Name; });
  if (Found == Shapes.end())
    throw pomelo_error(error_kind::NotFound,
                       fmt::format("trace shape \"{}\" does not exist", Name));
  return *Found;
}

trace generateTrace(const trace_shape &Shape, std::chrono::seconds Duration,
                    std::uint64_t Seed) {
  random_source Random(Seed);
  trace Trace;
  const auto End = static_cast<double>(Duration.count());
  for (double At = Random.exponential(Shape.RequestsPerSecond); At < End;
       At += Random.exponential(Shape.RequestsPerSecond)) {
    const request_kind &Kind = Random.chooseWeighted(Shape.Kinds);
    trace_request Request;
    Request.At = std::chrono::microseconds(
        static_cast<std::int64_t>(At * MicrosecondsPerSecond));
    Request.Id = fmt::format("{}-{}-{}", Shape.Name, Seed, Trace.size());
    Request.Account = Random.chooseWeighted(Shape.Accounts).Name;
    Request.Method = Kind.Method;
    Request.Path = Kind.PathPrefix;
    if (Kind.Keyed)
      Request.Path += chooseKey(Shape, At, Random);
    Request.Idempotent = Kind.Idempotent;
    if (Kind.MaxBodyBytes > 0)
      Request.BodyBytes = 1 + Random.integerBelow(Kind.MaxBodyBytes);
    Trace.push_back(std::move(Request));
  }
  return Trace;
}

} // namespace pomelo::caller
