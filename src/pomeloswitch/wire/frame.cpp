#include "pomeloswitch/wire/frame.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/wire/secret_hash.hpp"

#include <boost/endian/conversion.hpp>
#include <fmt/format.h>

namespace pomelo {
namespace {

constexpr std::string_view Magic = "POMELO01";
constexpr std::size_t NonceBytes = 16;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t AuthenticationCodeBytes = 16;
constexpr std::size_t HeaderBytes = LengthBytes + AuthenticationCodeBytes;
static_assert(Magic.size() + NonceBytes == PreambleBytes);

link_side opposite(link_side Side) {
  return Side == link_side::Dialer ? link_side::Listener : link_side::Dialer;
}

void appendLittleEndian(std::string &Out, std::uint64_t Number) {
  boost::endian::native_to_little_inplace(Number);
  Out.append(reinterpret_cast<const char *>(&Number), sizeof(Number));
}

} // namespace

std::string makePreamble() {
  std::string Preamble(Magic);
  Preamble += randomHex(NonceBytes / 2);
  return Preamble;
}

frame_codec::frame_codec(link_side Side, std::string_view Secret,
                         std::string_view OwnPreamble,
                         std::string_view PeerPreamble)
    : Side(Side) {
  if (PeerPreamble.size() != PreambleBytes || !PeerPreamble.starts_with(Magic))
    throw pomelo_error(error_kind::BadRequest,
                       "the peer does not speak the inner protocol");
  const bool Dialer = Side == link_side::Dialer;
  const std::string Preambles =
      fmt::format("{}{}", Dialer ? OwnPreamble : PeerPreamble,
                  Dialer ? PeerPreamble : OwnPreamble);
  LinkKey = asView(keyedHash(Secret, Preambles));
}

std::string frame_codec::authenticationCode(link_side Sender,
                                            std::uint64_t Sequence,
                                            std::string_view Payload) const {
  std::string AuthenticatedBytes(1, static_cast<char>(Sender));
  appendLittleEndian(AuthenticatedBytes, Sequence);
  AuthenticatedBytes += Payload;
  return std::string(asView(keyedHash(LinkKey, AuthenticatedBytes))
                         .substr(0, AuthenticationCodeBytes));
}

std::string frame_codec::seal(std::string_view Payload) {
  if (Payload.size() > MaxFrameBytes)
    throw pomelo_error(error_kind::BodyTooLarge,
                       fmt::format("an inner protocol message of {} bytes is "
                                   "above the limit of {} bytes",
                                   Payload.size(), MaxFrameBytes));
  const auto Length = boost::endian::native_to_little(
      static_cast<std::uint32_t>(Payload.size()));
  std::string Frame(reinterpret_cast<const char *>(&Length), LengthBytes);
  Frame += authenticationCode(Side, FramesSent++, Payload);
  Frame += Payload;
  return Frame;
}

void frame_codec::feed(std::string_view Bytes) {
  if (Consumed > 0) {
    Buffer.erase(0, Consumed);
    Consumed = 0;
  }
  Buffer += Bytes;
}

std::optional<std::string> frame_codec::next() {
  const std::string_view Unread = std::string_view(Buffer).substr(Consumed);
  if (Unread.size() < HeaderBytes)
    return std::nullopt;
  std::uint32_t Length = 0;
  Unread.copy(reinterpret_cast<char *>(&Length), LengthBytes);
  boost::endian::little_to_native_inplace(Length);
  if (Length > MaxFrameBytes)
    throw pomelo_error(
        error_kind::BadRequest,
        fmt::format("an inner protocol frame declares a length of "
                    "{} bytes, above the limit of {} bytes",
                    Length, MaxFrameBytes));
  if (Unread.size() < HeaderBytes + Length)
    return std::nullopt;
  const std::string_view Payload = Unread.substr(HeaderBytes, Length);
  const std::string Expected =
      authenticationCode(opposite(Side), FramesReceived, Payload);
  if (!equalInConstantTime(Unread.substr(LengthBytes, AuthenticationCodeBytes),
                           Expected))
    throw pomelo_error(
        error_kind::Unauthenticated,
        "the authentication code of an inner protocol frame is wrong");
  ++FramesReceived;
  Consumed += HeaderBytes + Length;
  return std::string(Payload);
}

} // namespace pomelo
