#include "pomeloswitch/http/spawn.hpp"

#include "pomeloswitch/observe/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/system/system_error.hpp>

#include <exception>

namespace pomelo {
namespace {

void logUnforeseen(const std::exception_ptr &Thrown, std::string_view What) {
  try {
    if (Thrown)
      std::rethrow_exception(Thrown);
  } catch (const boost::system::system_error &) {
    // The other end left, or a timeout passed.
  } catch (const std::exception &Failure) {
    component_logger("http").error("{} ended unexpectedly: {}.", What,
                                   Failure.what());
  }
}

} // namespace

void spawn(const boost::asio::any_io_executor &Executor,
           boost::asio::awaitable<void> Work, std::string_view What) {
  boost::asio::co_spawn(Executor, std::move(Work),
                        [What](const std::exception_ptr &Thrown) {
                          logUnforeseen(Thrown, What);
                        });
}

} // namespace pomelo
