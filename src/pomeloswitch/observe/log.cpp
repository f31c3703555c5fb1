#include "pomeloswitch/observe/log.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <boost/json.hpp>
#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>

#include <array>
#include <iterator>
#include <string>

namespace pomelo {
namespace {

//! Capacity, in lines, of the queue to the writer thread.
constexpr int MaxQueuedLines = 2000;

//! First character of a message that already consists of JSON members.
constexpr char JsonMembersPrefix = '\x01';

//! Formats each event as one line with a JSON object. Times are in Unix
//! milliseconds.
class json_layout final : public log4cxx::PatternLayout {
public:
  void format(log4cxx::LogString &Output,
              const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &) const override {
    const std::string Message = Event->getMessage();
    const std::string Members =
        !Message.empty() && Message.front() == JsonMembersPrefix
            ? Message.substr(1)
            : fmt::format("\"message\":{}",
                          boost::json::serialize(boost::json::string(Message)));
    fmt::format_to(std::back_inserter(Output),
                   "{{\"time_ms\":{},\"level\":\"{}\",\"part\":\"{}\",{}}}\n",
                   Event->getTimeStamp() / 1000, Event->getLevel()->toString(),
                   Event->getLoggerName(), Members);
  }
};

log4cxx::LevelPtr toLibraryLevel(log_level Level) {
  const std::array Levels{log4cxx::Level::getDebug(), log4cxx::Level::getInfo(),
                          log4cxx::Level::getWarn(),
                          log4cxx::Level::getError()};
  return Levels[static_cast<std::size_t>(Level)];
}

log4cxx::AppenderPtr makeAppender(std::string_view File) {
  auto Layout = std::make_shared<json_layout>();
  if (File.empty())
    return std::make_shared<log4cxx::ConsoleAppender>(
        Layout, log4cxx::ConsoleAppender::getSystemOut());
  return std::make_shared<log4cxx::FileAppender>(Layout, std::string(File),
                                                 true);
}

log4cxx::AppenderPtr makeAsyncAppender(const log4cxx::AppenderPtr &Writer) {
  auto Queue = std::make_shared<log4cxx::AsyncAppender>();
  Queue->setBufferSize(MaxQueuedLines);
  Queue->setBlocking(false);
  Queue->addAppender(Writer);
  return Queue;
}

} // namespace

void configureLogging(log_level Threshold, std::string_view File) {
  auto Root = log4cxx::Logger::getRootLogger();
  Root->removeAllAppenders();
  Root->addAppender(makeAsyncAppender(makeAppender(File)));
  Root->setLevel(toLibraryLevel(Threshold));
}

void shutdownLogging() { log4cxx::LogManager::shutdown(); }

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

struct component_logger::sink {
  log4cxx::LoggerPtr Logger;
};

component_logger::component_logger(std::string_view Prefix)
    : Sink(std::make_unique<sink>(
          sink{log4cxx::Logger::getLogger(std::string(Prefix))})) {}

component_logger::~component_logger() = default;

void component_logger::event(log_level Level, std::string_view Name,
                             const boost::json::object &Fields) const {
  if (!enabled(Level))
    return;
  std::string Line = fmt::format("{}\"event\":\"{}\"", JsonMembersPrefix, Name);
  for (const auto &[Field, Value] : Fields)
    fmt::format_to(std::back_inserter(Line), ",\"{}\":{}",
                   std::string_view(Field), boost::json::serialize(Value));
  write(Level, Line);
}

bool component_logger::enabled(log_level Level) const {
  return Sink->Logger->isEnabledFor(toLibraryLevel(Level));
}

void component_logger::write(log_level Level, const std::string &Line) const {
  Sink->Logger->log(toLibraryLevel(Level), Line);
}

} // namespace pomelo
