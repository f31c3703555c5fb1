#include "pomeloswitch/admission/quota_codec.hpp"

#include "pomeloswitch_wire/inner.pb.h"

namespace pomelo {

void encode(const quota_report &Report, wire::quota_report &Out) {
  Out.set_term(Report.Term);
  Out.set_epoch(Report.Epoch);
  if (Report.EarlierAnswerAge)
    Out.set_earlier_answer_age_ms(
        static_cast<std::uint64_t>(Report.EarlierAnswerAge->count()));
  for (const account_report &Account : Report.Accounts) {
    auto *Each = Out.add_accounts();
    Each->set_account(Account.Account);
    Each->set_grant_id(Account.GrantId);
    Each->set_rate_per_s(Account.RatePerSecond);
    Each->set_depth(Account.Depth);
    Each->set_burst_spent(Account.BurstSpent);
    Each->set_burst_returned(Account.BurstReturned);
    Each->set_surplus(Account.Surplus);
    Each->set_demand(Account.Demand);
    Each->set_wanted(Account.Wanted);
    Each->set_spare(Account.Spare);
  }
}

quota_report decode(const wire::quota_report &Message, std::uint64_t Sequence) {
  quota_report Report;
  Report.Sequence = Sequence;
  Report.Term = Message.term();
  Report.Epoch = Message.epoch();
  if (Message.has_earlier_answer_age_ms())
    Report.EarlierAnswerAge =
        std::chrono::milliseconds(Message.earlier_answer_age_ms());
  for (const wire::account_report &Each : Message.accounts())
    Report.Accounts.push_back(
        {Each.account(), Each.grant_id(), Each.rate_per_s(), Each.depth(),
         Each.burst_spent(), Each.burst_returned(), Each.surplus(),
         Each.demand(), Each.wanted(), Each.spare()});
  return Report;
}

void encode(const quota_grant &Grant, wire::quota_grant &Out) {
  Out.set_term(Grant.Term);
  Out.set_epoch(Grant.Epoch);
  Out.set_keep_held(Grant.KeepHeld);
  for (const account_grant &Account : Grant.Accounts) {
    auto *Each = Out.add_accounts();
    Each->set_account(Account.Account);
    Each->set_grant_id(Account.GrantId);
    Each->set_rate_per_s(Account.RatePerSecond);
    Each->set_depth(Account.Depth);
    Each->set_burst_total(Account.BurstTotal);
    Each->set_surplus_seen(Account.SurplusSeen);
    Each->set_exhausted(Account.Exhausted);
  }
}

quota_grant decode(const wire::quota_grant &Message) {
  quota_grant Grant;
  Grant.Term = Message.term();
  Grant.Epoch = Message.epoch();
  Grant.KeepHeld = Message.keep_held();
  for (const wire::account_grant &Each : Message.accounts())
    Grant.Accounts.push_back(
        {Each.account(), Each.grant_id(), Each.rate_per_s(), Each.depth(),
         Each.burst_total(), Each.surplus_seen(), Each.exhausted()});
  return Grant;
}

} // namespace pomelo
