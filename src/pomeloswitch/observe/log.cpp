#include "pomeloswitch/observe/log.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <string>

namespace pomelo {
namespace {

constexpr std::string_view LinePattern = "%d{ISO8601} %-5p %c: %m%n";

log4cxx::LevelPtr toLibraryLevel(log_level Level) {
  const std::array Levels{log4cxx::Level::getDebug(), log4cxx::Level::getInfo(),
                          log4cxx::Level::getWarn(),
                          log4cxx::Level::getError()};
  return Levels[static_cast<std::size_t>(Level)];
}

log4cxx::AppenderPtr makeAppender(std::string_view File) {
  auto Layout =
      std::make_shared<log4cxx::PatternLayout>(std::string(LinePattern));
  if (File.empty())
    return std::make_shared<log4cxx::ConsoleAppender>(
        Layout, log4cxx::ConsoleAppender::getSystemErr());
  return std::make_shared<log4cxx::FileAppender>(Layout, std::string(File),
                                                 true);
}

} // namespace

void configureLogging(log_level Threshold, std::string_view File) {
  auto Root = log4cxx::Logger::getRootLogger();
  Root->removeAllAppenders();
  Root->addAppender(makeAppender(File));
  Root->setLevel(toLibraryLevel(Threshold));
}

log_level parseLogLevel(std::string_view Text) {
  constexpr std::array<std::string_view, 4> Names{"debug", "info", "warn",
                                                  "error"};
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    if (Names[Index] == Text)
      return static_cast<log_level>(Index);
  throw pomelo_error(error_kind::BadSettings,
                     fmt::format("log level \"{}\" is not one of debug, info, "
                                 "warn, error",
                                 Text));
}

struct part_log::sink {
  log4cxx::LoggerPtr Logger;
};

part_log::part_log(std::string_view Prefix)
    : Sink(std::make_unique<sink>(
          sink{log4cxx::Logger::getLogger(std::string(Prefix))})) {}

part_log::~part_log() = default;

bool part_log::enabled(log_level Level) const {
  return Sink->Logger->isEnabledFor(toLibraryLevel(Level));
}

void part_log::write(log_level Level, const std::string &Line) const {
  Sink->Logger->log(toLibraryLevel(Level), Line);
}

} // namespace pomelo
