#include "pomeloswitch/state/configuration_packing.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/wire/packing.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <string>

namespace pomelo {

void packConfiguration(wire::replace_configuration &Change) {
  std::string Packed = packMessage(Change);
  const std::uint64_t Number = Change.number();
  Change.Clear();
  Change.set_number(Number);
  Change.set_packed(std::move(Packed));
}

wire::replace_configuration
unpackConfiguration(const wire::replace_configuration &Change) {
  if (Change.packed().empty())
    return Change;
  wire::replace_configuration Content;
  if (!unpackMessage(Change.packed(), Content) ||
      Content.number() != Change.number())
    throw pomelo_error(error_kind::InvalidChange,
                       "a packed configuration cannot be read");
  return Content;
}

} // namespace pomelo
