#include "pomeloswitch/wire/prefix_compression.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/wire/frame.hpp"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace pomelo {
namespace {

constexpr int SmallestWindowLog = 10;
constexpr int LargestWindowLog = 27;

struct free_context {
  void operator()(ZSTD_CCtx *Context) const { ZSTD_freeCCtx(Context); }
  void operator()(ZSTD_DCtx *Context) const { ZSTD_freeDCtx(Context); }
};

std::size_t checked(std::size_t Result) {
  if (ZSTD_isError(Result))
    throw pomelo_error(error_kind::Internal, ZSTD_getErrorName(Result));
  return Result;
}

//! The window must reach from the end of the data to the start of the prefix.
int windowLog(std::size_t PrefixBytes, std::size_t DataBytes) {
  return std::clamp(static_cast<int>(std::bit_width(PrefixBytes + DataBytes)),
                    SmallestWindowLog, LargestWindowLog);
}

} // namespace

std::string compressWithPrefix(std::string_view Prefix, std::string_view Data) {
  const std::unique_ptr<ZSTD_CCtx, free_context> Context(ZSTD_createCCtx());
  checked(ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_checksumFlag, 1));
  checked(ZSTD_CCtx_setParameter(Context.get(), ZSTD_c_windowLog,
                                 windowLog(Prefix.size(), Data.size())));
  checked(ZSTD_CCtx_refPrefix(Context.get(), Prefix.data(), Prefix.size()));
  std::string Compressed(ZSTD_compressBound(Data.size()), '\0');
  Compressed.resize(
      checked(ZSTD_compress2(Context.get(), Compressed.data(),
                             Compressed.size(), Data.data(), Data.size())));
  return Compressed;
}

std::string decompressWithPrefix(std::string_view Prefix,
                                 std::string_view Compressed) {
  const auto Size =
      ZSTD_getFrameContentSize(Compressed.data(), Compressed.size());
  if (Size > MaxFrameBytes) // Errors are larger still.
    throw pomelo_error(error_kind::Internal,
                       "compressed data has no size or is too large");
  const std::unique_ptr<ZSTD_DCtx, free_context> Context(ZSTD_createDCtx());
  checked(ZSTD_DCtx_setParameter(Context.get(), ZSTD_d_windowLogMax,
                                 LargestWindowLog));
  checked(ZSTD_DCtx_refPrefix(Context.get(), Prefix.data(), Prefix.size()));
  std::string Data(Size, '\0');
  Data.resize(
      checked(ZSTD_decompressDCtx(Context.get(), Data.data(), Data.size(),
                                  Compressed.data(), Compressed.size())));
  return Data;
}

} // namespace pomelo
