//! Keyed hashes, for use with the cluster secret and keys derived from it,
//! plain hashes and random bytes.
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

//! Returns the HMAC-SHA256 of \p Text with the key \p Secret.
hash_digest keyedHash(std::string_view Secret, std::string_view Text);

//! Returns the SHA-256 of \p Text in lower-case hexadecimal.
std::string sha256Hex(std::string_view Text);

//! Returns whether the texts are equal. For texts of the same length, the time
//! does not depend on the contents.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

//! A view of the bytes of \p Digest, which must outlive it.
std::string_view asView(const hash_digest &Digest);

//! Returns \p Count cryptographically secure random bytes in lower-case
//! hexadecimal, two digits for each byte.
//! \throws pomelo_error Internal if the random generator fails.
std::string randomHex(std::size_t Count);

} // namespace pomelo

#endif
