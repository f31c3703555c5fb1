#include "pomeloswitch/routing/authentication.hpp"

#include "pomeloswitch/wire/secret_hash.hpp"

#include <fmt/format.h>

namespace pomelo {
namespace {

constexpr std::string_view Scheme = "Bearer ";
constexpr std::string_view KeyPrefix = "pk_";
constexpr std::size_t KeyIdDigits = 12;
constexpr std::size_t KeySecretDigits = 40;
constexpr std::size_t ForeignKeyIdDigits = 32;

std::string hashOfKey(std::string_view Secret, std::string_view Text) {
  return std::string(asView(keyedHash(Secret, Text)));
}

//! The id within "pk_ID_SECRET", or empty.
std::string_view keyIdOf(std::string_view Text) {
  if (!Text.starts_with(KeyPrefix))
    return {};
  Text.remove_prefix(KeyPrefix.size());
  const auto End = Text.find('_');
  return End == std::string_view::npos ? std::string_view()
                                       : Text.substr(0, End);
}

//! A key that was not minted here does not tell its id.
std::string keyIdFor(std::string_view Text, std::string_view Hash) {
  const std::string_view Told = keyIdOf(Text);
  return Told.empty() ? sha256Hex(Hash).substr(0, ForeignKeyIdDigits)
                      : std::string(Told);
}

} // namespace

minted_key adoptAccountKey(std::string_view Secret, std::string_view Text) {
  minted_key Key;
  Key.Text = Text;
  Key.Hash = hashOfKey(Secret, Text);
  Key.Id = keyIdFor(Key.Text, Key.Hash);
  return Key;
}

minted_key mintAccountKey(std::string_view Secret,
                          std::string_view OperationId) {
  const std::string Digits = sha256Hex(hashOfKey(
      Secret, fmt::format("account key of operation {}", OperationId)));
  minted_key Key;
  Key.Id = Digits.substr(0, KeyIdDigits);
  Key.Text = fmt::format("{}{}_{}", KeyPrefix, Key.Id,
                         Digits.substr(KeyIdDigits, KeySecretDigits));
  Key.Hash = hashOfKey(Secret, Key.Text);
  return Key;
}

const account_key &authenticate(const key_map &Keys, std::string_view Secret,
                                std::string_view Header) {
  if (!Header.starts_with(Scheme))
    throw pomelo_error(error_kind::Unauthenticated,
                       "the request carries no account key");
  const std::string_view Text = Header.substr(Scheme.size());
  const std::string Hash = hashOfKey(Secret, Text);
  const auto Found = Keys.find(keyIdFor(Text, Hash));
  const bool Match = Found != Keys.end() && !Found->second.Withdrawn &&
                     equalInConstantTime(Hash, Found->second.KeyHash);
  if (!Match)
    throw pomelo_error(error_kind::Unauthenticated,
                       "the account key is not valid");
  return Found->second;
}

} // namespace pomelo
