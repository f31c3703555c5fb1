#include "pomeloswitch/cli/daemon.hpp"

#include "pomeloswitch/cli/command_line.hpp"
#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/observe/log.hpp"

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <initializer_list>
#include <memory>

namespace pomelo {
namespace {

constexpr std::string_view Version = "pomeloswitch 0.1.0";

constexpr std::string_view UsageFormat = R"({1}

Usage:
  {0} --settings=FILE [--check-config] [--ready-file=FILE]
  {0} (-h | --help)
  {0} --version

Options:
  --settings=FILE    Settings file (JSON).
  --check-config     Check the settings and exit: 0 if valid, 2 if not.
  --ready-file=FILE  Write the bound addresses to FILE as JSON once ready.
  -h --help          Show this text.
  --version          Show the version.

Exit codes: 0 stopped by a signal, 1 internal error, 2 bad settings.
)";

} // namespace

daemon_options parseDaemonOptions(std::string_view Name,
                                  std::string_view Purpose, int Argc,
                                  char **Argv) {
  const std::string Usage = fmt::format(UsageFormat, Name, Purpose);
  const arguments Arguments =
      parseCommandLine(Name, Usage, {Argv + 1, Argv + Argc}, Version);
  daemon_options Options;
  Options.SettingsFile = Arguments.at("--settings").asString();
  Options.CheckOnly = Arguments.at("--check-config").asBool();
  if (Arguments.at("--ready-file"))
    Options.ReadyFile = Arguments.at("--ready-file").asString();
  return Options;
}

int runDaemon(std::string_view Name, const std::function<int()> &Main) {
  struct logging_guard {
    ~logging_guard() { shutdownLogging(); }
  } const LoggingGuard;
  try {
    return Main();
  } catch (const pomelo_error &Failure) {
    fmt::print(stderr, "{}: {}\n", Name, Failure.what());
    return answerFor(Failure.kind()).ExitCode;
  } catch (const boost::system::system_error &Failure) {
    fmt::print(stderr, "{}: {}\n", Name, Failure.what());
    return answerFor(error_kind::BadSettings).ExitCode;
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "{}: {}\n", Name, Failure.what());
    return answerFor(error_kind::Internal).ExitCode;
  }
}

namespace {

//! Keeps \p Numbers caught after the event loop, until the process has ended:
//! the end of the last signal set restores their default action.
void catchForLife(std::initializer_list<int> Numbers) {
  static const auto Io = std::make_unique<boost::asio::io_context>().release();
  static const auto Signals =
      std::make_unique<boost::asio::signal_set>(*Io).release();
  for (const int Number : Numbers)
    Signals->add(Number);
}

//! Goes on waiting after the first signal: an uncaught one would end the
//! process.
void waitForNext(const std::shared_ptr<boost::asio::signal_set> &Signals,
                 const std::function<void(int)> &OnSignal) {
  Signals->async_wait(
      [Signals, OnSignal](boost::system::error_code Error, int Number) {
        if (Error)
          return;
        OnSignal(Number);
        waitForNext(Signals, OnSignal);
      });
}

//! Calls \p OnSignal on \p Io at each of \p Numbers.
void callAtEach(boost::asio::io_context &Io, std::initializer_list<int> Numbers,
                const std::function<void(int)> &OnSignal) {
  catchForLife(Numbers);
  const auto Signals = std::make_shared<boost::asio::signal_set>(Io);
  for (const int Number : Numbers)
    Signals->add(Number);
  waitForNext(Signals, OnSignal);
}

void reload(const std::function<void()> &OnReload) {
  const component_logger Log("daemon");
  try {
    OnReload();
    Log.info("Settings reloaded.");
  } catch (const std::exception &Failure) {
    Log.error("Reload failed, settings are unchanged: {}.", Failure.what());
  }
}

} // namespace

void stopOnSignal(boost::asio::io_context &Io,
                  const std::function<void()> &OnStop) {
  callAtEach(Io, {SIGTERM, SIGINT}, [OnStop](int Number) {
    component_logger("daemon").info("Signal {} received.", Number);
    OnStop();
  });
}

void reloadOnSignal(boost::asio::io_context &Io,
                    const std::function<void()> &OnReload) {
  callAtEach(Io, {SIGHUP}, [OnReload](int) { reload(OnReload); });
}

void writeReadyFile(const std::string &Path, std::string_view Description) {
  if (Path.empty())
    return;
  const std::string TemporaryPath = Path + ".tmp";
  std::ofstream(TemporaryPath) << Description << '\n';
  std::filesystem::rename(TemporaryPath, Path);
}

void applyLogSettings(const log_settings &Settings) {
  configureLogging(parseLogLevel(Settings.Level), Settings.File);
}

} // namespace pomelo
