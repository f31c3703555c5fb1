#include "pomeloswitch/wire/packing.hpp"

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace pomelo {

namespace io = google::protobuf::io;

std::string packMessage(const google::protobuf::MessageLite &Message) {
  std::string Packed;
  io::StringOutputStream Out(&Packed);
  io::GzipOutputStream Deflated(&Out);
  Message.SerializeToZeroCopyStream(&Deflated);
  Deflated.Close();
  return Packed;
}

bool unpackMessage(const std::string &Packed,
                   google::protobuf::MessageLite &Message) {
  io::ArrayInputStream In(Packed.data(), static_cast<int>(Packed.size()));
  io::GzipInputStream Inflated(&In);
  return Message.ParseFromZeroCopyStream(&Inflated);
}

} // namespace pomelo
