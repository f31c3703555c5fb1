#include "pomeloswitch/routing/wait_ranks.hpp"

#include <iterator>

namespace pomelo {

wait_ranks::place::place(wait_ranks &Ranks, std::string Name,
                         std::uint32_t Priority, time_point Deadline)
    : Queue(&Ranks.Queues[std::move(Name)]),
      Own(Queue->insert({Priority, Deadline})) {}

wait_ranks::place::~place() { Queue->erase(Own); }

bool wait_ranks::place::behind(std::size_t Length) const {
  auto Each = Queue->begin();
  for (std::size_t Count = 0; Count < Length; ++Count, ++Each)
    if (Each == Own)
      return false;
  return true;
}

void wait_ranks::tidy() {
  std::erase_if(Queues, [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace pomelo
