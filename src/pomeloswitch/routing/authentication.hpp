//! Authenticates requests by their client account key.
#ifndef POMELOSWITCH_ROUTING_AUTHENTICATION_HPP
#define POMELOSWITCH_ROUTING_AUTHENTICATION_HPP

#include "pomeloswitch/state/cluster_state.hpp"

#include <string>
#include <string_view>

namespace pomelo {

//! A new account key, with the text for the caller and the hash to store.
struct new_account_key {
  std::string Id;
  std::string Text; //!< Shown once, to the operator who issued it.
  std::string Hash;
};

//! Derives the account key of the operation \p OperationId from the cluster
//! secret \p Secret. The result is deterministic, so an operator who repeats
//! the same operation gets the same key.
new_account_key deriveAccountKey(std::string_view Secret,
                                 std::string_view OperationId);

//! Builds the key record for a key text that the operators chose themselves.
new_account_key importAccountKey(std::string_view Secret,
                                 std::string_view Text);

//! Returns the account key that matches the Authorization header \p Header.
//! \throws pomelo_error Unauthenticated if no such key exists or if it was
//!         withdrawn; the message does not reveal which.
const account_key &authenticate(const key_map &Keys, std::string_view Secret,
                                std::string_view Header);

} // namespace pomelo

#endif
