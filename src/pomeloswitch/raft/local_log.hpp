//! A replicated log with a single member and no disk, for single-process use.
#ifndef POMELOSWITCH_RAFT_LOCAL_LOG_HPP
#define POMELOSWITCH_RAFT_LOCAL_LOG_HPP

#include "pomeloswitch/raft/replicated_log.hpp"

#include <string>
#include <vector>

namespace pomelo {

//! Commits and applies each proposal immediately; always the leader.
class local_log final : public replicated_log {
public:
  explicit local_log(std::string HostId) : HostId(std::move(HostId)) {}

  void start(applier Applier) override;
  void stop() override {}
  void propose(std::string Command, completion Done) override;
  [[nodiscard]] bool leading() const override { return true; }
  [[nodiscard]] bool leadershipConfirmed() const override { return true; }
  [[nodiscard]] std::string leaderId() const override { return HostId; }
  [[nodiscard]] bool leaderReachable() const override { return false; }
  bool sendToLeader(const wire::envelope &) override { return false; }
  [[nodiscard]] leader_stamp latestStamp() const override { return {}; }
  [[nodiscard]] std::optional<std::chrono::nanoseconds>
  ageOf(const leader_stamp &) const override {
    return std::nullopt;
  }
  [[nodiscard]] std::uint64_t commitIndex() const override {
    return Entries.size();
  }
  [[nodiscard]] std::optional<std::vector<committed_entry>>
  entriesFrom(std::uint64_t First, std::size_t MaxBytes) const override;
  void deliver(const std::shared_ptr<peer_link> &,
               const wire::raft_message &) override {}
  [[nodiscard]] std::vector<control_member> members() const override;
  std::uint64_t addMember(const host_address &Host,
                          const std::string &Replaces) override;
  std::uint64_t removeMember(const std::string &HostId) override;

private:
  std::string HostId;
  applier Applier;
  std::vector<std::string> Entries;
};

} // namespace pomelo

#endif
