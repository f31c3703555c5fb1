//! Structured logging: one JSON object a line, one prefix per part.
//!
//! Lines go through a bounded queue to a thread that writes them. A full queue
//! drops lines, never waits, and a line then tells how many were dropped.
#ifndef POMELOSWITCH_OBSERVE_LOG_HPP
#define POMELOSWITCH_OBSERVE_LOG_HPP

#include <boost/json/fwd.hpp>
#include <fmt/format.h>

#include <memory>
#include <string_view>

namespace pomelo {

enum class log_level { Debug, Info, Warn, Error };

//! Sends every log line of the process to standard output, or appends to
//! \p File if it is not empty.
void configureLogging(log_level Threshold, std::string_view File);

//! Writes what is still queued; nothing is logged afterwards.
void finishLogging();

//! Parses "debug", "info", "warn" or "error"; throws BadSettings otherwise.
log_level parseLogLevel(std::string_view Text);

//! The log of one part of a process; every line starts with its prefix.
class part_log {
public:
  explicit part_log(std::string_view Prefix);
  ~part_log();
  part_log(const part_log &) = delete;
  part_log &operator=(const part_log &) = delete;

  //! One decision or change of belief with the inputs that led to it. Names
  //! and units of the fields are listed in docs/OBSERVING.md.
  void event(log_level Level, std::string_view Name,
             const boost::json::object &Fields) const;

  template <typename... Args>
  void debug(fmt::format_string<Args...> Format, Args &&...Values) const {
    if (enabled(log_level::Debug))
      write(log_level::Debug,
            fmt::format(Format, std::forward<Args>(Values)...));
  }
  template <typename... Args>
  void info(fmt::format_string<Args...> Format, Args &&...Values) const {
    if (enabled(log_level::Info))
      write(log_level::Info,
            fmt::format(Format, std::forward<Args>(Values)...));
  }
  template <typename... Args>
  void warn(fmt::format_string<Args...> Format, Args &&...Values) const {
    write(log_level::Warn, fmt::format(Format, std::forward<Args>(Values)...));
  }
  template <typename... Args>
  void error(fmt::format_string<Args...> Format, Args &&...Values) const {
    write(log_level::Error, fmt::format(Format, std::forward<Args>(Values)...));
  }

private:
  struct sink;

  [[nodiscard]] bool enabled(log_level Level) const;
  void write(log_level Level, const std::string &Line) const;

  std::unique_ptr<sink> Sink;
};

} // namespace pomelo

#endif
