//! Announces a stand-in target to the entry hosts and stores its grants.
#ifndef POMELOSWITCH_TOOLS_STANDIN_TARGET_ANNOUNCER_HPP
#define POMELOSWITCH_TOOLS_STANDIN_TARGET_ANNOUNCER_HPP

#include "standin_target/grant_table.hpp"
#include "standin_target/target_options.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>

namespace pomelo::standin {

//! Sends announcements to one entry host at a time; on an error it tries the
//! next one.
class announcer {
public:
  announcer(boost::asio::io_context &Io, const target_options &Options,
            std::string Address, grant_table &Grants);

  //! Sends announcements until the io_context stops.
  boost::asio::awaitable<void> run();

  //! Announces from now on that the target leaves.
  void leave() { Leaving = true; }

  //! Whether the target announced that it leaves and has no grants left.
  [[nodiscard]] bool left() const { return Left; }

private:
  boost::asio::awaitable<std::string> post(const std::string &EntryAddress);
  [[nodiscard]] std::string announcement();
  void applyAnswer(const std::string &Body, steady_time SentAt);

  boost::asio::io_context &Io;
  const target_options &Options;
  std::string Address;
  grant_table &Grants;
  std::uint64_t Incarnation;
  std::size_t Next = 0;
  bool Leaving = false;
  bool Left = false;
  std::chrono::milliseconds Interval{200};
};

} // namespace pomelo::standin

#endif
