#include "pomeloswitch/routing/authentication.hpp"

#include "pomeloswitch/wire/secret_hash.hpp"

#include <fmt/format.h>

namespace pomelo {
namespace {

constexpr std::string_view Scheme = "Bearer ";
constexpr std::string_view KeyPrefix = "pk_";
constexpr std::size_t KeyIdDigits = 12;
constexpr std::size_t KeySecretDigits = 40;
constexpr std::size_t ImportedKeyIdDigits = 32;

std::string hashKey(std::string_view Secret, std::string_view Text) {
  return std::string(asView(keyedHash(Secret, Text)));
}

//! Returns the id in "pk_ID_SECRET", or an empty view if there is none.
std::string_view keyIdOf(std::string_view Text) {
  if (!Text.starts_with(KeyPrefix))
    return {};
  Text.remove_prefix(KeyPrefix.size());
  const auto End = Text.find('_');
  return End == std::string_view::npos ? std::string_view()
                                       : Text.substr(0, End);
}

//! Imported keys do not contain an id, so theirs is derived from the hash.
std::string keyIdFor(std::string_view Text, std::string_view Hash) {
  const std::string_view EmbeddedId = keyIdOf(Text);
  return EmbeddedId.empty() ? sha256Hex(Hash).substr(0, ImportedKeyIdDigits)
                            : std::string(EmbeddedId);
}

} // namespace

new_account_key importAccountKey(std::string_view Secret,
                                 std::string_view Text) {
  new_account_key Key;
  Key.Text = Text;
  Key.Hash = hashKey(Secret, Text);
  Key.Id = keyIdFor(Key.Text, Key.Hash);
  return Key;
}

new_account_key deriveAccountKey(std::string_view Secret,
                                 std::string_view OperationId) {
  const std::string Digits = sha256Hex(
      hashKey(Secret, fmt::format("account key of operation {}", OperationId)));
  new_account_key Key;
  Key.Id = Digits.substr(0, KeyIdDigits);
  Key.Text = fmt::format("{}{}_{}", KeyPrefix, Key.Id,
                         Digits.substr(KeyIdDigits, KeySecretDigits));
  Key.Hash = hashKey(Secret, Key.Text);
  return Key;
}

const account_key &authenticate(const key_map &Keys, std::string_view Secret,
                                std::string_view Header) {
  if (!Header.starts_with(Scheme))
    throw pomelo_error(error_kind::Unauthenticated,
                       "the request carries no account key");
  const std::string_view Text = Header.substr(Scheme.size());
  const std::string Hash = hashKey(Secret, Text);
  const auto Found = Keys.find(keyIdFor(Text, Hash));
  const bool Match = Found != Keys.end() && !Found->second.Withdrawn &&
                     equalInConstantTime(Hash, Found->second.KeyHash);
  if (!Match)
    throw pomelo_error(error_kind::Unauthenticated,
                       "the account key is not valid");
  return Found->second;
}

} // namespace pomelo
