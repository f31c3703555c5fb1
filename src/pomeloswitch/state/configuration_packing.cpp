#include "pomeloswitch/state/configuration_packing.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <string>

namespace pomelo {
namespace {

namespace io = google::protobuf::io;

} // namespace

void packConfiguration(wire::replace_configuration &Change) {
  std::string Packed;
  {
    io::StringOutputStream Out(&Packed);
    io::GzipOutputStream Deflated(&Out);
    Change.SerializeToZeroCopyStream(&Deflated);
  }
  const std::uint64_t Number = Change.number();
  Change.Clear();
  Change.set_number(Number);
  Change.set_packed(std::move(Packed));
}

wire::replace_configuration
unpackConfiguration(const wire::replace_configuration &Change) {
  if (Change.packed().empty())
    return Change;
  io::ArrayInputStream In(Change.packed().data(),
                          static_cast<int>(Change.packed().size()));
  io::GzipInputStream Inflated(&In);
  wire::replace_configuration Content;
  if (!Content.ParseFromZeroCopyStream(&Inflated) ||
      Content.number() != Change.number())
    throw pomelo_error(error_kind::InvalidChange,
                       "a packed configuration cannot be read");
  return Content;
}

} // namespace pomelo
