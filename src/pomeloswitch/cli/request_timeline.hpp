//! Timeline of one request, assembled from the logs of several processes.
#ifndef POMELOSWITCH_CLI_REQUEST_TIMELINE_HPP
#define POMELOSWITCH_CLI_REQUEST_TIMELINE_HPP

#include <boost/json/object.hpp>

#include <cstddef>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! One log line of a timeline.
struct timeline_entry {
  long long TimeMs = 0; //!< Unix time.
  std::string Process;  //!< The process that wrote the line.
  std::string Text;     //!< Human-readable content.
};

//! Collects log lines and selects those relevant to one request: lines that
//! contain its id, and lines about its targets, its slots and the control group
//! at about the same time.
class request_timeline {
public:
  explicit request_timeline(std::string RequestId) : Id(std::move(RequestId)) {}

  //! Reads a log of the process \p Process. Text before the JSON object of a
  //! line is taken as the prefix of a log collector; its last word replaces the
  //! process name.
  void read(std::istream &Log, const std::string &Process);

  //! Whether any line contains the id of the request.
  [[nodiscard]] bool hasRequest() const { return !RequestRecords.empty(); }
  //! Returns the relevant lines, ordered by time.
  [[nodiscard]] std::vector<timeline_entry> lines() const;
  //! Returns the outcome of the request and, for an error, its cause.
  [[nodiscard]] std::string conclusion() const;
  //! Locations of lines that could not be parsed, as "PROCESS:LINE".
  [[nodiscard]] const std::vector<std::string> &unreadable() const {
    return Unreadable;
  }
  //! Returns notices of dropped log lines at about the time of the request.
  [[nodiscard]] std::vector<timeline_entry> dropped() const;

private:
  struct log_record {
    long long TimeMs = 0;
    std::string Process;
    boost::json::object Fields;
  };

  void readLine(const std::string &Line, const std::string &Process,
                std::size_t Number);
  [[nodiscard]] bool isNearRequest(long long TimeMs) const;
  std::string Id;
  std::vector<log_record> RequestRecords;
  std::vector<log_record> OtherRecords; //!< Lines without a request id.
  std::vector<std::string> Unreadable;
};

} // namespace pomelo

#endif
