//! Short hashes by which requests are recognised when they are sent again.
#ifndef POMELOSWITCH_RETRY_REQUEST_FINGERPRINT_HPP
#define POMELOSWITCH_RETRY_REQUEST_FINGERPRINT_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

//! Bytes of the body that count for a fingerprint.
inline constexpr std::size_t FingerprintBodyBytes = 64 * 1024;

struct fingerprint_parts {
  std::string_view Account; //!< Empty on routes open to all.
  std::string_view Method;
  std::string_view Target;                 //!< Path and query as sent.
  std::string_view BodyHead;               //!< At most FingerprintBodyBytes.
  std::optional<std::uint64_t> BodyLength; //!< Absent if not told beforehand.
};

//! A hash of 16 bytes; equal for equal parts.
std::string fingerprintOf(const fingerprint_parts &Parts);

//! A hash of 16 bytes of an Idempotency-Key.
std::string hashOfIdempotencyKey(std::string_view Key);

} // namespace pomelo

#endif
