#include "pomeloswitch/raft/peer_memory.hpp"

#include <tuple>

namespace pomelo {

// The pair of term and index of the last durable entry never goes back while a
// folder keeps what was synced: entries are only replaced by those of a later
// term. Within one process messages may overtake each other, so the pairs are
// compared only across starts.
peer_verdict peer_memory::judge(const wire::raft_message &Message) {
  record &Known = Records[Message.from_replica()];
  if (Message.starts() < Known.Starts)
    return peer_verdict::Stale;
  const bool SameRun = Message.run_id() == Known.RunId;
  if (Message.starts() == Known.Starts && !SameRun)
    return peer_verdict::RolledBack;
  const std::tuple Told{Message.durable_term(), Message.durable_index()};
  const std::tuple Remembered{Known.DurableTerm, Known.DurableIndex};
  if (!SameRun && (Message.term() < Known.Term || Told < Remembered))
    return peer_verdict::RolledBack;
  Known.Starts = Message.starts();
  Known.RunId = Message.run_id();
  Known.Term = std::max(Known.Term, Message.term());
  if (Told > Remembered)
    std::tie(Known.DurableTerm, Known.DurableIndex) = Told;
  return peer_verdict::Current;
}

} // namespace pomelo
