//! Announces a stand-in target to the entry hosts and takes its grants.
#ifndef POMELOSWITCH_TOOLS_STANDIN_TARGET_ANNOUNCER_HPP
#define POMELOSWITCH_TOOLS_STANDIN_TARGET_ANNOUNCER_HPP

#include "standin_target/grant_book.hpp"
#include "standin_target/target_options.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>

namespace pomelo::standin {

class announcer {
public:
  announcer(boost::asio::io_context &Io, const target_options &Options,
            std::string Address, grant_book &Grants);

  //! Announces until the context stops.
  boost::asio::awaitable<void> run();

  void leave() { Leaving = true; }

  //! Whether the target has said that it leaves and holds nothing any more.
  [[nodiscard]] bool left() const { return Left; }

private:
  boost::asio::awaitable<std::string> post(const std::string &EntryAddress);
  [[nodiscard]] std::string announcement();
  void takeAnswer(const std::string &Body, steady_time SentAt);

  boost::asio::io_context &Io;
  const target_options &Options;
  std::string Address;
  grant_book &Grants;
  std::uint64_t Incarnation;
  std::size_t Next = 0;
  bool Leaving = false;
  bool Left = false;
  std::chrono::milliseconds Interval{200};
};

} // namespace pomelo::standin

#endif
