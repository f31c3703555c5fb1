//! Keyed hashes over the cluster secret.
#ifndef POMELOSWITCH_WIRE_SECRET_HASH_HPP
#define POMELOSWITCH_WIRE_SECRET_HASH_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelo {

inline constexpr std::size_t HashBytes = 32;

using hash_digest = std::array<std::uint8_t, HashBytes>;

//! HMAC-SHA256 of \p Text under \p Secret.
hash_digest keyedHash(std::string_view Secret, std::string_view Text);

//! Lower-case hexadecimal SHA-256 of \p Text.
std::string sha256Hex(std::string_view Text);

//! Compares in a time that does not depend on the contents.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

std::string_view asView(const hash_digest &Digest);

//! \p Count random bytes from the operating system, in hexadecimal.
std::string randomHex(std::size_t Count);

} // namespace pomelo

#endif
