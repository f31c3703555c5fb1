#include "standin_target/journal.hpp"

#include <boost/json/serialize.hpp>

#include <chrono>

namespace pomelo::standin {

journal::journal(const std::string &Path, std::string TargetId)
    : TargetId(std::move(TargetId)) {
  if (!Path.empty())
    File.open(Path, std::ios::app);
}

void journal::write(std::string_view Event, boost::json::object Fields) {
  if (!File.is_open())
    return;
  const auto Now = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  Fields["event"] = Event;
  Fields["target"] = TargetId;
  Fields["time_us"] = Now.count();
  File << boost::json::serialize(Fields) << '\n' << std::flush;
}

} // namespace pomelo::standin
