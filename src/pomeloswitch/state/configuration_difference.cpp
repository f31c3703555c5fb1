#include "pomeloswitch/state/configuration_difference.hpp"

#include "pomeloswitch/errors/error_kind.hpp"
#include "pomeloswitch/state/cluster_state.hpp"
#include "pomeloswitch/state/configuration_packing.hpp"
#include "pomeloswitch/wire/prefix_compression.hpp"
#include "pomeloswitch_wire/inner.pb.h"

#include <string>

namespace pomelo {
namespace {

//! The configuration in force, as it would be sent.
std::string contentInForce(const cluster_state &State) {
  wire::replace_configuration Content;
  Content.set_number(State.configurationNumber());
  Content.set_inventory_json(State.inventoryJson());
  Content.set_rules_json(State.rulesJson());
  Content.set_source(State.configurationSource());
  for (const auto &[Id, Key] : State.keys()) {
    auto *Record = Content.add_keys();
    Record->set_account(Key.Account);
    Record->set_key_id(Id);
    Record->set_key_hash(Key.KeyHash);
  }
  return Content.SerializeAsString();
}

} // namespace

wire::replace_configuration
differenceFrom(const cluster_state &State,
               const wire::replace_configuration &Change) {
  wire::replace_configuration Difference;
  Difference.set_number(Change.number());
  Difference.set_base_number(State.configurationNumber());
  Difference.set_difference(compressWithPrefix(
      contentInForce(State), unpackConfiguration(Change).SerializeAsString()));
  return Difference;
}

wire::replace_configuration
restoreFrom(const cluster_state &State,
            const wire::replace_configuration &Change) {
  if (Change.difference().empty())
    return Change;
  if (Change.base_number() != State.configurationNumber())
    throw pomelo_error(error_kind::Internal,
                       "a configuration's difference is from another one");
  const std::string Bytes =
      decompressWithPrefix(contentInForce(State), Change.difference());
  wire::replace_configuration Content;
  if (!Content.ParseFromString(Bytes) || Content.number() != Change.number())
    throw pomelo_error(error_kind::Internal,
                       "a configuration's difference cannot be read");
  return Content;
}

} // namespace pomelo
