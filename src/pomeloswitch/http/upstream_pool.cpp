#include "pomeloswitch/http/upstream_pool.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/http/readable_watch.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace pomelo {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto ConnectTimeout = std::chrono::milliseconds(200);
constexpr auto ProvenFor = std::chrono::milliseconds(500);

//! Whether the peer has neither closed the connection nor sent unasked bytes,
//! which would be taken for the answer to the next request.
bool quiet(upstream_connection &Connection) {
  return Connection.Buffer.size() == 0 &&
         peekInput(Connection.Stream.socket()) == input_state::Nothing;
}

} // namespace

upstream_loan::~upstream_loan() {
  if (Connection)
    Pool->finish(TargetKey, nullptr);
}

void upstream_loan::keep() {
  Connection->LastProven = std::chrono::steady_clock::now();
  Connection->Stream.expires_never();
  Pool->finish(TargetKey, std::move(Connection));
}

std::string upstream_pool::keyOf(const routing_target &Target) {
  return fmt::format("{}#{}", Target.Member.TargetId,
                     Target.Member.Incarnation);
}

std::size_t upstream_pool::load(const routing_target &Target) const {
  const auto Found = Pools.find(keyOf(Target));
  return Found == Pools.end()
             ? 0
             : Found->second.Lent + Found->second.Waiters.size();
}

asio::awaitable<upstream_loan>
upstream_pool::acquire(const routing_target &Target, connection_need Need,
                       steady_time Deadline) {
  const std::string Key = keyOf(Target);
  if (Pools[Key].Lent >= Target.ConnectionShare)
    co_await awaitTurn(Key, Deadline);
  else
    ++Pools[Key].Lent;
  target_pool &Pool = Pools[Key];
  if (auto Connection = takeIdle(Pool, Need))
    co_return upstream_loan(*this, Key, std::move(Connection));
  // An idle connection that will not do makes room for the new one.
  if (Pool.Lent + Pool.Idle.size() > Target.ConnectionShare)
    Pool.Idle.pop_front();
  try {
    co_return upstream_loan(*this, Key, co_await connect(Target, Deadline));
  } catch (...) {
    finish(Key, nullptr);
    throw;
  }
}

std::unique_ptr<upstream_connection>
upstream_pool::takeIdle(target_pool &Pool, connection_need Need) {
  const auto Now = std::chrono::steady_clock::now();
  while (!Pool.Idle.empty()) {
    const bool Proven = Now - Pool.Idle.back()->LastProven < ProvenFor;
    if (Need == connection_need::Proven && !Proven)
      return nullptr;
    auto Connection = std::move(Pool.Idle.back());
    Pool.Idle.pop_back();
    if (quiet(*Connection))
      return Connection;
  }
  return nullptr;
}

asio::awaitable<void> upstream_pool::awaitTurn(const std::string &Key,
                                               steady_time Deadline) {
  waiter Timer(Executor, Deadline);
  Pools[Key].Waiters.push_back(&Timer);
  error_code Error;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Error));
  // finish() takes a waiter out of the queue, leaves it the place on loan that
  // came free, and then cancels its timer.
  auto &Waiters = Pools[Key].Waiters;
  const auto Place = std::find(Waiters.begin(), Waiters.end(), &Timer);
  if (Place == Waiters.end())
    co_return;
  Waiters.erase(Place);
  throw pomelo_error(error_kind::Overloaded,
                     "no connection to the target came free in time");
}

asio::awaitable<std::unique_ptr<upstream_connection>>
upstream_pool::connect(const routing_target &Target, steady_time Deadline) {
  auto Connection = std::make_unique<upstream_connection>(Executor);
  Connection->Stream.expires_at(
      std::min(Deadline, std::chrono::steady_clock::now() + ConnectTimeout));
  error_code Error;
  co_await Connection->Stream.async_connect(
      Target.Address, asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    throw pomelo_error(error_kind::UpstreamFailed,
                       fmt::format("the target {} cannot be reached: {}",
                                   Target.Member.TargetId, Error.message()));
  Connection->Stream.socket().set_option(asio::ip::tcp::no_delay(true), Error);
  Connection->LastProven = std::chrono::steady_clock::now();
  co_return Connection;
}

void upstream_pool::finish(const std::string &Key,
                           std::unique_ptr<upstream_connection> Kept) {
  target_pool &Pool = Pools[Key];
  if (Kept)
    Pool.Idle.push_back(std::move(Kept));
  if (Pool.Waiters.empty()) {
    --Pool.Lent;
    return;
  }
  waiter *Next = Pool.Waiters.front();
  Pool.Waiters.pop_front();
  Next->cancel();
}

void upstream_pool::retain(const routing_view &View) {
  std::erase_if(Pools, [&View](const auto &Entry) {
    const auto &[Key, Pool] = Entry;
    const auto Id = Key.substr(0, Key.rfind('#'));
    const auto Target = View.Targets.find(Id);
    const bool Gone =
        Target == View.Targets.end() || keyOf(*Target->second) != Key;
    return Gone && Pool.Lent == 0 && Pool.Waiters.empty();
  });
}

} // namespace pomelo
