#include "pomeloswitch/http/upstream_pool.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/http/input_observer.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace pomelo {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto ConnectTimeout = std::chrono::milliseconds(200);
constexpr auto RecentActivityWindow = std::chrono::milliseconds(500);

//! Whether the peer has neither closed the connection nor sent unsolicited
//! bytes, which would be mistaken for the response to the next request.
bool hasNoPendingInput(upstream_connection &Connection) {
  return Connection.Buffer.size() == 0 &&
         peekInput(Connection.Stream.socket()) == input_state::Nothing;
}

} // namespace

pooled_connection::~pooled_connection() {
  if (Connection)
    Pool->release(TargetKey, nullptr);
}

void pooled_connection::returnToPool() {
  Connection->LastActive = std::chrono::steady_clock::now();
  Connection->Reused = true;
  Connection->Stream.expires_never();
  Pool->release(TargetKey, std::move(Connection));
}

std::string upstream_pool::keyOf(const routing_target &Target) {
  return fmt::format("{}#{}", Target.Member.TargetId,
                     Target.Member.Incarnation);
}

std::size_t upstream_pool::load(const routing_target &Target) const {
  const auto Found = Pools.find(keyOf(Target));
  return Found == Pools.end()
             ? 0
             : Found->second.InUse + Found->second.Waiters.size();
}

asio::awaitable<pooled_connection>
upstream_pool::acquire(const routing_target &Target,
                       connection_requirement Requirement,
                       steady_time Deadline) {
  const std::string Key = keyOf(Target);
  Pools[Key].Share = Target.ConnectionShare;
  if (Pools[Key].InUse >= Target.ConnectionShare)
    co_await awaitFreeConnection(Key, Deadline);
  else
    ++Pools[Key].InUse;
  target_pool &Pool = Pools[Key];
  auto Connection = takeIdle(Pool, Requirement);
  // Makes room for a new connection, or follows a share that has shrunk.
  closeBeyondShare(Pool);
  if (Connection)
    co_return pooled_connection(*this, Key, std::move(Connection));
  try {
    co_return pooled_connection(*this, Key, co_await connect(Target, Deadline));
  } catch (...) {
    release(Key, nullptr);
    throw;
  }
}

std::unique_ptr<upstream_connection>
upstream_pool::takeIdle(target_pool &Pool, connection_requirement Requirement) {
  const auto Now = std::chrono::steady_clock::now();
  while (!Pool.Idle.empty()) {
    const bool RecentlyActive =
        Now - Pool.Idle.back()->LastActive < RecentActivityWindow;
    if (Requirement == connection_requirement::RecentlyActive &&
        !RecentlyActive)
      return nullptr;
    auto Connection = std::move(Pool.Idle.back());
    Pool.Idle.pop_back();
    if (hasNoPendingInput(*Connection))
      return Connection;
  }
  return nullptr;
}

asio::awaitable<void> upstream_pool::awaitFreeConnection(const std::string &Key,
                                                         steady_time Deadline) {
  target_pool &Pool = Pools[Key];
  waiter Timer(Executor, Deadline);
  // Also if the coroutine is destroyed while it waits.
  const struct queue_guard {
    ~queue_guard() { std::erase(Pool.Waiters, &Timer); }
    target_pool &Pool;
    waiter &Timer;
  } QueueGuard{Pool, Timer};
  Pool.Waiters.push_back(&Timer);
  error_code Error;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Error));
  // release() removes a waiter from the queue, leaves InUse unchanged so that
  // the waiter inherits the released slot, and then cancels its timer.
  if (std::ranges::find(Pool.Waiters, &Timer) == Pool.Waiters.end()) {
    --Pool.Promised;
    co_return;
  }
  throw pomelo_error(error_kind::Overloaded,
                     "no connection to the target became available in time");
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
  Connection->LastActive = std::chrono::steady_clock::now();
  co_return Connection;
}

//! What is promised is among the idle ones until it is taken.
void upstream_pool::closeBeyondShare(target_pool &Pool) {
  while (!Pool.Idle.empty() &&
         Pool.InUse - Pool.Promised + Pool.Idle.size() > Pool.Share)
    Pool.Idle.pop_front();
}

void upstream_pool::release(const std::string &Key,
                            std::unique_ptr<upstream_connection> Returned) {
  target_pool &Pool = Pools[Key];
  if (Returned)
    Pool.Idle.push_back(std::move(Returned));
  if (Pool.Waiters.empty() || Pool.InUse > Pool.Share) {
    --Pool.InUse;
    return closeBeyondShare(Pool);
  }
  waiter *Next = Pool.Waiters.front();
  Pool.Waiters.pop_front();
  ++Pool.Promised;
  Next->cancel();
}

void upstream_pool::endWaits() {
  for (const auto &[Key, Pool] : Pools)
    for (waiter *Each : Pool.Waiters)
      Each->cancel();
}

void upstream_pool::retain(const routing_view &View) {
  for (auto Entry = Pools.begin(); Entry != Pools.end();) {
    auto &[Key, Pool] = *Entry;
    const auto Id = Key.substr(0, Key.rfind('#'));
    const auto Target = View.Targets.find(Id);
    const bool Gone =
        Target == View.Targets.end() || keyOf(*Target->second) != Key;
    if (!Gone) {
      Pool.Share = Target->second->ConnectionShare;
      closeBeyondShare(Pool);
    }
    const bool Unused = Pool.InUse == 0 && Pool.Waiters.empty();
    Entry = Gone && Unused ? Pools.erase(Entry) : std::next(Entry);
  }
}

} // namespace pomelo
