//! Path prefixes of routes.
#ifndef POMELOSWITCH_SETTINGS_PATH_PREFIX_HPP
#define POMELOSWITCH_SETTINGS_PATH_PREFIX_HPP

#include <string_view>

namespace pomelo {

//! Whether \p Path starts with \p Prefix and the prefix ends at a segment
//! boundary. \p Path has no query.
[[nodiscard]] inline bool hasPathPrefix(std::string_view Path,
                                        std::string_view Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  const std::string_view Rest = Path.substr(Prefix.size());
  return Rest.empty() || Rest.front() == '/' || Prefix.ends_with('/');
}

} // namespace pomelo

#endif
