#include "pomeloswitch/wire/secret_hash.hpp"

#include "pomeloswitch/errors/error_kind.hpp"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <vector>

namespace pomelo {
namespace {

template <typename Range> std::string toHex(const Range &Bytes) {
  std::string Text;
  for (const std::uint8_t Byte : Bytes)
    fmt::format_to(std::back_inserter(Text), "{:02x}", Byte);
  return Text;
}

const unsigned char *bytesOf(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

hash_digest keyedHash(std::string_view Secret, std::string_view Text) {
  hash_digest Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       bytesOf(Text), Text.size(), Digest.data(), &Length);
  return Digest;
}

std::string sha256Hex(std::string_view Text) {
  hash_digest Digest{};
  unsigned Length = 0;
  EVP_Digest(Text.data(), Text.size(), Digest.data(), &Length, EVP_sha256(),
             nullptr);
  return toHex(Digest);
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string_view asView(const hash_digest &Digest) {
  return {reinterpret_cast<const char *>(Digest.data()), Digest.size()};
}

std::string randomHex(std::size_t Count) {
  std::vector<std::uint8_t> Bytes(Count);
  if (RAND_bytes(Bytes.data(), static_cast<int>(Count)) != 1)
    throw pomelo_error(error_kind::Internal,
                       "the random generator returned no bytes");
  return toHex(Bytes);
}

} // namespace pomelo
