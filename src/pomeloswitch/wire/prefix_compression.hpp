//! Compression of data that resembles other data which the receiver has.
#ifndef POMELOSWITCH_WIRE_PREFIX_COMPRESSION_HPP
#define POMELOSWITCH_WIRE_PREFIX_COMPRESSION_HPP

#include <string>
#include <string_view>

namespace pomelo {

//! Compresses \p Data, referring to \p Prefix for what both have in common.
//! \throws pomelo_error Internal.
[[nodiscard]] std::string compressWithPrefix(std::string_view Prefix,
                                             std::string_view Data);

//! Returns the data that was compressed with the same \p Prefix. A checksum in
//! \p Compressed guards against another one. \throws pomelo_error Internal.
[[nodiscard]] std::string decompressWithPrefix(std::string_view Prefix,
                                               std::string_view Compressed);

} // namespace pomelo

#endif
