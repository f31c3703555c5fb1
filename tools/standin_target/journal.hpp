//! Journal of the requests that a stand-in target ran, for later checks.
#ifndef POMELOSWITCH_TOOLS_STANDIN_TARGET_JOURNAL_HPP
#define POMELOSWITCH_TOOLS_STANDIN_TARGET_JOURNAL_HPP

#include <boost/json/object.hpp>

#include <fstream>
#include <string>

namespace pomelo::standin {

class journal {
public:
  journal(const std::string &File, std::string TargetId);

  //! Appends one line with the event, the target and the Unix time in
  //! microseconds; flushed to the file when the call returns, but not synced
  //! to disk.
  void write(std::string_view Event, boost::json::object Fields);

private:
  std::ofstream File;
  std::string TargetId;
};

} // namespace pomelo::standin

#endif
