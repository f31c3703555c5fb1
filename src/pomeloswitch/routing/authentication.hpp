//! Finding the client account that a request runs for.
#ifndef POMELOSWITCH_ROUTING_AUTHENTICATION_HPP
#define POMELOSWITCH_ROUTING_AUTHENTICATION_HPP

#include "pomeloswitch/state/cluster_state.hpp"

#include <string>
#include <string_view>

namespace pomelo {

//! A new account key: what the caller sends and what the system keeps.
struct minted_key {
  std::string Id;
  std::string Text; //!< Shown once, to the operator who issued it.
  std::string Hash;
};

//! Makes the key that belongs to \p OperationId under \p Secret, the cluster
//! secret. An operator who sends the same operation again gets the same key.
minted_key mintAccountKey(std::string_view Secret,
                          std::string_view OperationId);

//! The record of a key whose text the operators chose themselves.
minted_key adoptAccountKey(std::string_view Secret, std::string_view Text);

//! The account whose key the Authorization header \p Header carries.
//! \throws pomelo_error Unauthenticated if there is no such key or it was
//!         withdrawn; the message does not tell which.
const account_key &authenticate(const key_map &Keys, std::string_view Secret,
                                std::string_view Header);

} // namespace pomelo

#endif
