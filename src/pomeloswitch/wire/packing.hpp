//! Compression of large messages, for links that carry requests as well.
#ifndef POMELOSWITCH_WIRE_PACKING_HPP
#define POMELOSWITCH_WIRE_PACKING_HPP

#include <google/protobuf/message_lite.h>

#include <string>

namespace pomelo {

//! Returns \p Message serialized and compressed.
[[nodiscard]] std::string
packMessage(const google::protobuf::MessageLite &Message);

//! Reads into \p Message what packMessage() returned. Returns whether \p Packed
//! is that of a message of this type.
[[nodiscard]] bool unpackMessage(const std::string &Packed,
                                 google::protobuf::MessageLite &Message);

} // namespace pomelo

#endif
