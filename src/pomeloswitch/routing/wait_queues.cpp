#include "pomeloswitch/routing/wait_queues.hpp"

#include <iterator>

namespace pomelo {

wait_queues::position::position(wait_queues &WaitQueues, std::string Name,
                                std::uint32_t Priority, time_point Deadline)
    : Queue(&WaitQueues.Queues[std::move(Name)]),
      Entry(Queue->insert({Priority, Deadline})) {}

wait_queues::position::~position() { Queue->erase(Entry); }

std::size_t wait_queues::position::requestsAhead() const {
  return static_cast<std::size_t>(std::distance(Queue->begin(), Entry));
}

void wait_queues::removeEmptyQueues() {
  std::erase_if(Queues, [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace pomelo
