//! One request's story, read from the logs of several processes.
#ifndef POMELOSWITCH_CLI_REQUEST_STORY_HPP
#define POMELOSWITCH_CLI_REQUEST_STORY_HPP

#include <boost/json/object.hpp>

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! One line of a log.
struct story_line {
  long long TimeMs = 0; //!< Unix time.
  std::string Process;  //!< That wrote it.
  std::string Text;     //!< What it tells, for people.
};

//! Collects log lines and tells what concerns one request: the lines that name
//! it, and what its targets, its slots and the control group did around it.
class request_story {
public:
  explicit request_story(std::string RequestId) : Id(std::move(RequestId)) {}

  //! Reads a log of the process \p Process. Words before a line's JSON object
  //! are taken for another collector's prefix, whose last one names the
  //! process.
  void read(std::istream &Log, const std::string &Process);

  //! Whether any line names the request.
  [[nodiscard]] bool found() const { return !Own.empty(); }
  //! In order of time.
  [[nodiscard]] std::vector<story_line> lines() const;
  //! In a sentence, why it ended as it did.
  [[nodiscard]] std::string conclusion() const;
  //! Places of lines that could not be read, as "LOG:LINE".
  [[nodiscard]] const std::vector<std::string> &unreadable() const {
    return Unreadable;
  }
  //! Places where lines were dropped around the request.
  [[nodiscard]] std::vector<story_line> dropped() const;

private:
  struct entry {
    long long TimeMs = 0;
    std::string Process;
    boost::json::object Fields;
  };

  void readLine(const std::string &Line, const std::string &Process,
                std::size_t Number);
  [[nodiscard]] bool around(long long TimeMs) const;
  std::string Id;
  std::vector<entry> Own;
  std::vector<entry> Others; //!< That may concern any request.
  std::vector<std::string> Unreadable;
};

} // namespace pomelo

#endif
