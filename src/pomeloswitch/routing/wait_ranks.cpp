#include "pomeloswitch/routing/wait_ranks.hpp"

#include <iterator>

namespace pomelo {

wait_ranks::place::place(wait_ranks &Ranks, std::string Name,
                         std::uint32_t Priority, time_point Deadline)
    : Queue(&Ranks.Queues[std::move(Name)]),
      Own(Queue->insert({Priority, Deadline})) {}

wait_ranks::place::~place() { Queue->erase(Own); }

std::size_t wait_ranks::place::ahead() const {
  return static_cast<std::size_t>(std::distance(Queue->begin(), Own));
}

void wait_ranks::tidy() {
  std::erase_if(Queues, [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace pomelo
