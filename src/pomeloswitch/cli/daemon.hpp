//! What the mains of the daemons share.
#ifndef POMELOSWITCH_CLI_DAEMON_HPP
#define POMELOSWITCH_CLI_DAEMON_HPP

#include "pomeloswitch/settings/common_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace pomelo {

struct daemon_options {
  std::string SettingsFile;
  std::string ReadyFile; //!< Written once all addresses are bound.
  bool CheckOnly = false;
};

//! Parses the command line \p Argc, \p Argv of the daemon \p Name. Prints help
//! or a usage error and exits the process where there is nothing to run.
daemon_options parseDaemonOptions(std::string_view Name,
                                  std::string_view Purpose, int Argc,
                                  char **Argv);

//! Calls \p Main and turns an exception into one line on standard error and
//! the exit code of its error kind.
int runDaemon(std::string_view Name, const std::function<int()> &Main);

//! Calls \p OnStop on \p Io at the first SIGTERM or SIGINT.
void stopOnSignal(boost::asio::io_context &Io, std::function<void()> OnStop);

//! Calls \p OnReload on \p Io at each SIGHUP. What it throws is logged; the
//! process goes on with the settings that it has.
void reloadOnSignal(boost::asio::io_context &Io,
                    const std::function<void()> &OnReload);

//! Writes \p Description to \p Path so that a reader sees all of it or no
//! file. Does nothing if \p Path is empty.
void writeReadyFile(const std::string &Path, std::string_view Description);

void applyLogSettings(const log_settings &Settings);

} // namespace pomelo

#endif
