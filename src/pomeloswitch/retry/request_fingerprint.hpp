//! Short hashes that identify a request when it is sent again.
#ifndef POMELOSWITCH_RETRY_REQUEST_FINGERPRINT_HPP
#define POMELOSWITCH_RETRY_REQUEST_FINGERPRINT_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

//! Length of the body prefix that enters a fingerprint, bytes.
inline constexpr std::size_t FingerprintBodyBytes = 64 * 1024;

//! The properties of a request that its fingerprint covers.
struct fingerprint_parts {
  std::string_view Account; //!< Empty on public routes.
  std::string_view Method;
  std::string_view Target;                 //!< Path and query as received.
  std::string_view BodyPrefix;             //!< At most FingerprintBodyBytes.
  std::optional<std::uint64_t> BodyLength; //!< Bytes; absent if not declared.
};

//! Returns a 16-byte hash; equal parts have equal hashes.
std::string fingerprintOf(const fingerprint_parts &Parts);

//! Returns the 16-byte hash of an Idempotency-Key.
std::string hashOfIdempotencyKey(std::string_view Key);

} // namespace pomelo

#endif
