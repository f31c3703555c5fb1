//! Framing of the inner protocol: length, authentication code, payload.
//!
//! Each side opens with a preamble of a magic number and a random nonce. The
//! key of a link is derived from the cluster secret and both nonces, and each
//! frame's code covers the direction and the frame's number, so a recorded
//! frame is refused on any other link or at any other place.
#ifndef POMELOSWITCH_WIRE_FRAME_HPP
#define POMELOSWITCH_WIRE_FRAME_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

inline constexpr std::size_t MaxFrameBytes = std::size_t{64} << 20;
inline constexpr std::size_t PreambleBytes = 24;

enum class link_side : char { Dialer = 'd', Listener = 'l' };

//! A fresh preamble: eight bytes of magic and sixteen random bytes.
std::string makePreamble();

//! Seals and opens the frames of one link, on one side of it.
class frame_codec {
public:
  //! \throws pomelo_error BadRequest if \p PeerPreamble is not a preamble.
  frame_codec(link_side Side, std::string_view Secret,
              std::string_view OwnPreamble, std::string_view PeerPreamble);

  //! The bytes to send for \p Payload.
  //! \throws pomelo_error BodyTooLarge above MaxFrameBytes.
  std::string seal(std::string_view Payload);

  //! Adds received bytes.
  void feed(std::string_view Bytes);

  //! The next whole payload, or nothing until more bytes are fed.
  //! \throws pomelo_error Unauthenticated if the code does not match,
  //!         BadRequest if the length is out of range.
  std::optional<std::string> next();

private:
  [[nodiscard]] std::string code(link_side From, std::uint64_t Number,
                                 std::string_view Payload) const;

  link_side Side;
  std::string LinkKey;
  std::string Buffer;
  std::size_t Consumed = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
};

} // namespace pomelo

#endif
