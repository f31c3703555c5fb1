#include "pomeloswitch/entry/log_records.hpp"

#include "pomeloswitch/entry/control_session.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace pomelo {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds AnswerTimeout{400};
constexpr milliseconds RetryPause{25};
//! How long a caller's request waits for its claim at most.
constexpr milliseconds ClaimPatience{1500};
//! How long the end of a claim is proposed again where no leader answers.
//! Afterwards others read the claim as an unknown outcome.
constexpr milliseconds EndPatience{60000};
constexpr milliseconds CrashPatience{1000};
//! Records that wait at a time; more are given up at once.
constexpr std::size_t MaxUnsettled = 4096;

bool committed(const wire::proposal_result *Result) {
  return Result && Result->index() > 0;
}

} // namespace

log_records::log_records(boost::asio::io_context &Io, control_session &Session,
                         std::string HostId, std::uint64_t Incarnation)
    : Io(Io), Session(Session), HostId(std::move(HostId)),
      Incarnation(Incarnation) {}

void log_records::writeName(const claim_request &Request, std::uint64_t Number,
                            wire::claim_name &Name) const {
  Name.set_account(Request.Account);
  Name.set_key_hash(Request.KeyHash);
  Name.set_host_id(HostId);
  Name.set_incarnation(Incarnation);
  Name.set_number(Number);
}

void log_records::claim(claim_request Request,
                        std::function<void(claim_reply)> Done) {
  const std::uint64_t Number = NextNumber++;
  auto Command = std::make_shared<wire::command>();
  auto *Claim = Command->mutable_claim_run();
  writeName(Request, Number, *Claim->mutable_name());
  Claim->set_fingerprint(Request.Fingerprint);
  Claim->set_deadline_ms(static_cast<std::uint64_t>(Request.DeadlineUnixMs));
  settle(std::move(Command), ClaimPatience,
         [this, Request = std::move(Request), Done = std::move(Done),
          Number](const wire::proposal_result *Result) {
           claim_reply Reply;
           Reply.Number = Number;
           if (committed(Result)) {
             Reply.Verdict =
                 static_cast<claim_verdict>(Result->claim().verdict());
             if (Result->claim().has_answer())
               Reply.Answer = std::make_shared<const kept_answer>(
                   toKeptAnswer(Result->claim().answer()));
           } else {
             // The claim may yet be committed, but nobody will act on it.
             release(Request, Number);
           }
           Done(std::move(Reply));
         });
}

void log_records::finish(const claim_request &Request, std::uint64_t Number,
                         std::optional<kept_answer> Answer) {
  auto Command = std::make_shared<wire::command>();
  auto *Finish = Command->mutable_finish_claim();
  writeName(Request, Number, *Finish->mutable_name());
  if (Answer)
    writeMessage(*Answer, *Finish->mutable_answer());
  settle(std::move(Command), EndPatience, {});
}

void log_records::release(const claim_request &Request, std::uint64_t Number) {
  auto Command = std::make_shared<wire::command>();
  writeName(Request, Number, *Command->mutable_release_claim()->mutable_name());
  settle(std::move(Command), EndPatience, {});
}

void log_records::reportCrash(crash_report Report, std::function<void()> Done) {
  auto Command = std::make_shared<wire::command>();
  auto *Out = Command->mutable_report_crash();
  Out->set_fingerprint(Report.Fingerprint);
  Out->set_target_id(Report.TargetId);
  Out->set_incarnation(Report.Incarnation);
  settle(std::move(Command), CrashPatience,
         [Done = std::move(Done)](const wire::proposal_result *) {
           if (Done)
             Done();
         });
}

void log_records::clearSuspect(std::string Fingerprint) {
  auto Command = std::make_shared<wire::command>();
  Command->mutable_clear_suspect()->set_fingerprint(std::move(Fingerprint));
  settle(std::move(Command), CrashPatience, {});
}

//! Proposes the command until it is known to be committed.
void log_records::settle(command_ptr Command, milliseconds GiveUpAfter,
                         answer_handler Done) {
  boost::asio::post(Io, [this, Command = std::move(Command), GiveUpAfter,
                         Done = std::move(Done)] {
    if (Unsettled >= MaxUnsettled)
      return Done ? Done(nullptr) : void();
    ++Unsettled;
    attempt(Command, steady_clock::now() + GiveUpAfter,
            [this, Done](const wire::proposal_result *Result) {
              --Unsettled;
              if (Done)
                Done(Result);
            });
  });
}

void log_records::attempt(const command_ptr &Command, steady_time GiveUpAt,
                          answer_handler Done) {
  const auto Left =
      std::chrono::duration_cast<milliseconds>(GiveUpAt - steady_clock::now());
  Session.propose(
      *Command, std::min(AnswerTimeout, Left),
      [this, Command, GiveUpAt,
       Done = std::move(Done)](const wire::proposal_result *Result) {
        if (committed(Result) || steady_clock::now() + RetryPause >= GiveUpAt)
          return Done(Result);
        attemptLater(Command, GiveUpAt, Done);
      });
}

void log_records::attemptLater(const command_ptr &Command, steady_time GiveUpAt,
                               answer_handler Done) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io, RetryPause);
  Timer->async_wait([this, Timer, Command, GiveUpAt, Done = std::move(Done)](
                        boost::system::error_code Error) mutable {
    if (!Error)
      attempt(Command, GiveUpAt, std::move(Done));
  });
}

} // namespace pomelo
