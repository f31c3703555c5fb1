//! A replicated log for tests of what a control host does beside it.
#ifndef POMELOSWITCH_TESTS_CONTROL_IDLE_LOG_HPP
#define POMELOSWITCH_TESTS_CONTROL_IDLE_LOG_HPP

#include "pomeloswitch/raft/replicated_log.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelo {

//! A log that commits what the test says. It follows the test, or leads.
class idle_log final : public replicated_log {
public:
  void start(applier Given) override { Applier = std::move(Given); }
  void stop() override {}
  void propose(std::string Command, completion Done) override {
    Proposed.push_back(std::move(Command));
    Done({error_kind::NotLeader, 0});
  }
  [[nodiscard]] bool leading() const override { return Leads; }
  [[nodiscard]] bool leadershipConfirmed() const override { return Leads; }
  [[nodiscard]] std::string leaderId() const override { return "leader"; }
  [[nodiscard]] bool leaderReachable() const override { return Reachable; }
  bool sendToLeader(const wire::envelope &Message) override {
    Sent.push_back(Message);
    return Reachable;
  }
  [[nodiscard]] leader_stamp latestStamp() const override { return Stamp; }
  [[nodiscard]] std::optional<std::chrono::nanoseconds>
  ageOf(const leader_stamp &Given) const override {
    if (Given.Term != Stamp.Term)
      return std::nullopt;
    return std::chrono::nanoseconds(Stamp.SentAt - Given.SentAt);
  }
  [[nodiscard]] std::uint64_t commitIndex() const override { return 0; }
  [[nodiscard]] std::optional<std::vector<committed_entry>>
  entriesFrom(std::uint64_t, std::size_t) const override {
    return std::vector<committed_entry>();
  }
  void deliver(const std::shared_ptr<peer_link> &,
               const wire::raft_message &) override {}
  [[nodiscard]] std::vector<control_member> members() const override {
    return {};
  }
  std::uint64_t addMember(const host_address &, const std::string &) override {
    return 0;
  }
  std::uint64_t removeMember(const std::string &) override { return 0; }

  applier Applier;
  bool Leads = false;
  bool Reachable = true; //!< Whether the leader is.
  std::vector<wire::envelope> Sent;
  std::vector<std::string> Proposed;
  leader_stamp Stamp; //!< The latest one, also if it leads.
};

} // namespace pomelo

#endif
