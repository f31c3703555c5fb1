#include "pomeloswitch/retry/request_fingerprint.hpp"

#include <xxhash.h>

namespace pomelo {
namespace {

std::string toCanonicalBytes(const XXH128_hash_t &Hash) {
  XXH128_canonical_t Canonical;
  XXH128_canonicalFromHash(&Canonical, Hash);
  return {reinterpret_cast<const char *>(Canonical.digest),
          sizeof(Canonical.digest)};
}

//! Appends the part after its length. The length keeps different divisions of
//! the same text into parts apart.
void appendPart(std::string &Bytes, std::string_view Part) {
  Bytes += std::to_string(Part.size());
  Bytes += ':';
  Bytes += Part;
}

} // namespace

std::string fingerprintOf(const fingerprint_parts &Parts) {
  std::string Bytes;
  appendPart(Bytes, Parts.Account);
  appendPart(Bytes, Parts.Method);
  appendPart(Bytes, Parts.Target);
  appendPart(Bytes,
             Parts.BodyLength ? std::to_string(*Parts.BodyLength) : "unknown");
  appendPart(Bytes, Parts.BodyPrefix.substr(0, FingerprintBodyBytes));
  return toCanonicalBytes(XXH3_128bits(Bytes.data(), Bytes.size()));
}

std::string hashOfIdempotencyKey(std::string_view Key) {
  return toCanonicalBytes(XXH3_128bits(Key.data(), Key.size()));
}

} // namespace pomelo
