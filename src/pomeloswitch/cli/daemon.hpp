//! Startup, signal handling and error reporting shared by the daemons.
#ifndef POMELOSWITCH_CLI_DAEMON_HPP
#define POMELOSWITCH_CLI_DAEMON_HPP

#include "pomeloswitch/settings/common_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace pomelo {

//! Command line options of a daemon.
struct daemon_options {
  std::string SettingsFile;
  std::string ReadyFile; //!< Written once all addresses are bound.
  bool CheckOnly = false;
};

//! Parses the command line \p Argc, \p Argv of the daemon \p Name, as
//! parseCommandLine() does.
daemon_options parseDaemonOptions(std::string_view Name,
                                  std::string_view Purpose, int Argc,
                                  char **Argv);

//! Calls \p Main and returns its exit code. Reports an exception as one line on
//! standard error and returns the exit code of its error kind. Shuts logging
//! down at the end.
int runDaemon(std::string_view Name, const std::function<int()> &Main);

//! Calls \p OnStop on \p Io at each SIGTERM and SIGINT, also during the stop.
void stopOnSignal(boost::asio::io_context &Io,
                  const std::function<void()> &OnStop);

//! Calls \p OnReload on \p Io at each SIGHUP. Exceptions are logged, and the
//! process continues with its current settings.
void reloadOnSignal(boost::asio::io_context &Io,
                    const std::function<void()> &OnReload);

//! Writes \p Description to \p Path atomically, by renaming a temporary file.
//! Does nothing if \p Path is empty.
void writeReadyFile(const std::string &Path, std::string_view Description);

//! Configures logging with the level and file of \p Settings.
//! \throws pomelo_error BadSettings if the level is unknown.
void applyLogSettings(const log_settings &Settings);

} // namespace pomelo

#endif
