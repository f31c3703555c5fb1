//! Structured logging: one JSON object per line, one logger per component.
//!
//! A bounded queue passes lines to a writer thread. When the queue is full,
//! callers don't block: lines are dropped and a later line reports how many.
#ifndef POMELOSWITCH_OBSERVE_LOG_HPP
#define POMELOSWITCH_OBSERVE_LOG_HPP

#include <boost/json/fwd.hpp>
#include <fmt/format.h>

#include <memory>
#include <string_view>

namespace pomelo {

enum class log_level { Debug, Info, Warn, Error };

//! Writes the log lines of the process at or above \p Threshold to standard
//! output, or appends them to \p File if that is not empty.
void configureLogging(log_level Threshold, std::string_view File);

//! Writes the queued lines and stops logging; later lines are discarded.
void shutdownLogging();

//! Parses "debug", "info", "warn" or "error".
//! \throws pomelo_error BadSettings for any other text.
log_level parseLogLevel(std::string_view Text);

//! Logger of one component of a process. Each line has the component's name in
//! the field "part".
class component_logger {
public:
  explicit component_logger(std::string_view Prefix);
  ~component_logger();
  component_logger(const component_logger &) = delete;
  component_logger &operator=(const component_logger &) = delete;

  //! Logs a decision or a state change together with its inputs.
  //! docs/OBSERVING.md lists the names and units of the fields.
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
