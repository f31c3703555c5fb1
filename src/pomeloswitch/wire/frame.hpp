//! Framing of the inner protocol: length, authentication code, payload.
//!
//! Each side first sends a preamble: a magic number and a random nonce. The
//! link key is derived from the cluster secret and both preambles. Each frame's
//! authentication code covers its direction and sequence number, so a recorded
//! frame is rejected on any other link and at any other position.
#ifndef POMELOSWITCH_WIRE_FRAME_HPP
#define POMELOSWITCH_WIRE_FRAME_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo {

//! Largest payload of one frame.
inline constexpr std::size_t MaxFrameBytes = std::size_t{64} << 20;
inline constexpr std::size_t PreambleBytes = 24;

enum class link_side : char { Dialer = 'd', Listener = 'l' };

//! Returns a new preamble: 8 bytes of magic number and a random nonce, which is
//! 8 random bytes as 16 hexadecimal digits.
//! \throws pomelo_error Internal if no random bytes are available.
std::string makePreamble();

//! Encodes the outgoing and decodes the incoming frames of one side of a link.
class frame_codec {
public:
  //! \throws pomelo_error BadRequest if \p PeerPreamble is not a valid
  //!         preamble.
  frame_codec(link_side Side, std::string_view Secret,
              std::string_view OwnPreamble, std::string_view PeerPreamble);

  //! Returns the frame to send for \p Payload.
  //! \throws pomelo_error BodyTooLarge if \p Payload is larger than
  //!         MaxFrameBytes.
  std::string seal(std::string_view Payload);

  //! Appends received bytes to the decoding buffer.
  void feed(std::string_view Bytes);

  //! Returns the payload of the next complete frame, or nullopt if more bytes
  //! are needed.
  //! \throws pomelo_error Unauthenticated if the authentication code is wrong,
  //!         BadRequest if the length is above MaxFrameBytes.
  std::optional<std::string> next();

private:
  [[nodiscard]] std::string authenticationCode(link_side Sender,
                                               std::uint64_t Sequence,
                                               std::string_view Payload) const;

  link_side Side;
  std::string LinkKey;
  std::string Buffer;
  std::size_t Consumed = 0;
  std::uint64_t FramesSent = 0;
  std::uint64_t FramesReceived = 0;
};

} // namespace pomelo

#endif
