#include "pomeloswitch/raft/rollback_detector.hpp"

#include <tuple>

namespace pomelo {

// As long as a folder keeps all synced data, the (term, index) pair of its last
// durable entry never decreases, because entries are replaced only by entries
// of a later term. Messages of one process may arrive out of order, so the
// pairs are compared only between different runs of the replica.
peer_status rollback_detector::check(const wire::raft_message &Message) {
  peer_record &Record = Records[Message.from_replica()];
  if (Message.starts() < Record.Starts)
    return peer_status::Stale;
  const bool SameRun = Message.run_id() == Record.RunId;
  if (Message.starts() == Record.Starts && !SameRun)
    return peer_status::RolledBack;
  const std::tuple Reported{Message.durable_term(), Message.durable_index()};
  const std::tuple LastSeen{Record.DurableTerm, Record.DurableIndex};
  if (!SameRun && (Message.term() < Record.Term || Reported < LastSeen))
    return peer_status::RolledBack;
  Record.Starts = Message.starts();
  Record.RunId = Message.run_id();
  Record.Term = std::max(Record.Term, Message.term());
  if (Reported > LastSeen)
    std::tie(Record.DurableTerm, Record.DurableIndex) = Reported;
  return peer_status::Current;
}

} // namespace pomelo
