#include "pomeloswitch/entry/proposal_table.hpp"

#include "pomeloswitch_wire/inner.pb.h"

#include <utility>
#include <vector>

namespace pomelo {

std::uint64_t proposal_table::add(completion Done, time_point Deadline) {
  Pending[NextId] = {std::move(Done), Deadline};
  return NextId++;
}

void proposal_table::complete(const wire::proposal_result &Result) {
  auto Proposal = Pending.extract(Result.request_id());
  if (Proposal)
    Proposal.mapped().Done(&Result);
}

void proposal_table::expire(time_point Now) {
  std::vector<completion> Expired;
  std::erase_if(Pending, [&](auto &Entry) {
    if (Now < Entry.second.Deadline)
      return false;
    Expired.push_back(std::move(Entry.second.Done));
    return true;
  });
  for (const completion &Done : Expired)
    Done(nullptr);
}

} // namespace pomelo
