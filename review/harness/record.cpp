#include "record.hpp"

#include <iomanip>

namespace pomelo::review {

record::record(const std::string &File) : Out(File, std::ios::trunc) {}

void record::write(std::string_view Who, std::string_view What) {
  const std::lock_guard Lock(Mutex);
  Out << std::fixed << std::setprecision(3) << std::setw(8) << now() << "  "
      << Who << "  " << What << std::endl;
}

double record::seconds(clock::time_point Time) const {
  return std::chrono::duration<double>(Time - Start).count();
}

} // namespace pomelo::review
