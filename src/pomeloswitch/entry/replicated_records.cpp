#include "pomeloswitch/entry/replicated_records.hpp"

#include "pomeloswitch/entry/control_session.hpp"
#include "pomeloswitch/state/committed_command.hpp"
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
constexpr milliseconds RetryDelay{25};
//! Longest time a caller's request waits for its claim.
constexpr milliseconds ClaimTimeout{1500};
//! How long the end of a claim is retried without a leader's answer. After
//! that, the claim is treated as having an unknown outcome.
constexpr milliseconds ClaimEndTimeout{60000};
constexpr milliseconds CrashReportTimeout{1000};
//! Commands that may be pending at a time; further ones fail immediately.
constexpr std::size_t MaxPendingCommands = 4096;

bool committed(const wire::proposal_result *Result) {
  return Result && Result->index() > 0;
}

} // namespace

replicated_records::replicated_records(boost::asio::io_context &Io,
                                       control_session &Session,
                                       std::string HostId,
                                       std::uint64_t Incarnation)
    : Io(Io), Session(Session), HostId(std::move(HostId)),
      Incarnation(Incarnation) {}

void replicated_records::fillClaimName(const claim_request &Request,
                                       std::uint64_t Number,
                                       wire::claim_name &Name) const {
  Name.set_account(Request.Account);
  Name.set_key_hash(Request.KeyHash);
  Name.set_host_id(HostId);
  Name.set_incarnation(Incarnation);
  Name.set_number(Number);
}

void replicated_records::claim(claim_request Request,
                               std::function<void(claim_reply)> Done) {
  const std::uint64_t Number = NextNumber++;
  auto Command = std::make_shared<wire::command>();
  auto *Claim = Command->mutable_claim_run();
  fillClaimName(Request, Number, *Claim->mutable_name());
  Claim->set_fingerprint(Request.Fingerprint);
  Claim->set_deadline_ms(static_cast<std::uint64_t>(Request.DeadlineUnixMs));
  proposeUntilCommitted(
      std::move(Command), ClaimTimeout,
      [this, Request = std::move(Request), Done = std::move(Done),
       Number](const wire::proposal_result *Result) {
        claim_reply Reply;
        Reply.Number = Number;
        if (committed(Result)) {
          Reply.Verdict = static_cast<claim_verdict>(Result->claim().verdict());
          if (Result->claim().has_answer())
            Reply.Answer = std::make_shared<const kept_answer>(
                toKeptAnswer(Result->claim().answer()));
        } else {
          // The claim may still be committed, but no request will use it.
          release(Request, Number);
        }
        Done(std::move(Reply));
      });
}

void replicated_records::finish(const claim_request &Request,
                                std::uint64_t Number,
                                std::optional<kept_answer> Answer) {
  auto Command = std::make_shared<wire::command>();
  auto *Finish = Command->mutable_finish_claim();
  fillClaimName(Request, Number, *Finish->mutable_name());
  if (Answer)
    writeMessage(*Answer, *Finish->mutable_answer());
  proposeUntilCommitted(std::move(Command), ClaimEndTimeout, {});
}

void replicated_records::release(const claim_request &Request,
                                 std::uint64_t Number) {
  auto Command = std::make_shared<wire::command>();
  fillClaimName(Request, Number,
                *Command->mutable_release_claim()->mutable_name());
  proposeUntilCommitted(std::move(Command), ClaimEndTimeout, {});
}

void replicated_records::reportCrash(crash_report Report,
                                     std::function<void()> Done) {
  auto Command = std::make_shared<wire::command>();
  auto *Crash = Command->mutable_report_crash();
  Crash->set_fingerprint(Report.Fingerprint);
  Crash->set_target_id(Report.TargetId);
  Crash->set_incarnation(Report.Incarnation);
  proposeUntilCommitted(
      std::move(Command), CrashReportTimeout,
      [Done = std::move(Done)](const wire::proposal_result *) {
        if (Done)
          Done();
      });
}

void replicated_records::clearSuspect(std::string Fingerprint) {
  auto Command = std::make_shared<wire::command>();
  Command->mutable_clear_suspect()->set_fingerprint(std::move(Fingerprint));
  proposeUntilCommitted(std::move(Command), CrashReportTimeout, {});
}

//! Proposes the command, and retries until it is committed or \p Timeout has
//! passed. The leader closes the link of a host that sends what cannot be read.
void replicated_records::proposeUntilCommitted(command_ptr Command,
                                               milliseconds Timeout,
                                               result_handler Done) {
  boost::asio::post(Io, [this, Command = std::move(Command), Timeout,
                         Done = std::move(Done)] {
    const bool Readable = isReadableCommand(Command->SerializeAsString());
    if (!Readable)
      Log.error("Not proposed: a command with a text that is not UTF-8.");
    if (!Readable || PendingCommands >= MaxPendingCommands)
      return Done ? Done(nullptr) : void();
    ++PendingCommands;
    proposeOnce(Command, steady_clock::now() + Timeout,
                [this, Done](const wire::proposal_result *Result) {
                  --PendingCommands;
                  if (Done)
                    Done(Result);
                });
  });
}

void replicated_records::proposeOnce(const command_ptr &Command,
                                     steady_time Deadline,
                                     result_handler Done) {
  const auto Remaining =
      std::chrono::duration_cast<milliseconds>(Deadline - steady_clock::now());
  Session.propose(
      *Command, std::min(AnswerTimeout, Remaining),
      [this, Command, Deadline,
       Done = std::move(Done)](const wire::proposal_result *Result) {
        if (committed(Result) || steady_clock::now() + RetryDelay >= Deadline)
          return Done(Result);
        proposeAfterDelay(Command, Deadline, Done);
      });
}

void replicated_records::proposeAfterDelay(const command_ptr &Command,
                                           steady_time Deadline,
                                           result_handler Done) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io, RetryDelay);
  Timer->async_wait([this, Timer, Command, Deadline, Done = std::move(Done)](
                        boost::system::error_code Error) mutable {
    if (!Error)
      proposeOnce(Command, Deadline, std::move(Done));
  });
}

} // namespace pomelo
