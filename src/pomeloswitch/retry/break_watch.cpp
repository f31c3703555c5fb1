#include "pomeloswitch/retry/break_watch.hpp"

#include <utility>

namespace pomelo {
namespace {

constexpr std::chrono::seconds WatchedFor{10};
constexpr std::size_t MaxWatched = 1024;

bool isNewIncarnation(const routing_view &View, const crash_report &Break) {
  const auto Target = View.Targets.find(Break.TargetId);
  return Target != View.Targets.end() &&
         Target->second->Member.Incarnation != Break.Incarnation;
}

} // namespace

void break_watch::add(crash_report Break, time_point Now) {
  if (Watched.size() >= MaxWatched)
    Watched.pop_front();
  Watched.push_back({std::move(Break), Now + WatchedFor});
}

std::vector<crash_report> break_watch::restarted(const routing_view &View,
                                                 time_point Now) {
  std::vector<crash_report> Found;
  std::erase_if(Watched, [&](const watched_break &Item) {
    if (Now >= Item.Until)
      return true;
    if (!isNewIncarnation(View, Item.Break))
      return false;
    Found.push_back(Item.Break);
    return true;
  });
  return Found;
}

} // namespace pomelo
