//! A client of the administration API that finds the leader and retries.
#ifndef POMELOSWITCH_CLI_ADMIN_CLIENT_HPP
#define POMELOSWITCH_CLI_ADMIN_CLIENT_HPP

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

struct admin_request {
  std::string Method;
  std::string Target;
  std::string Body;
  std::string OperationId; //!< Empty for reads.
  std::optional<std::uint64_t> BaseVersion;
};

class admin_client {
public:
  //! \p Addresses are the control hosts' administration addresses.
  admin_client(std::vector<std::string> Addresses, std::string Credential)
      : Addresses(std::move(Addresses)), Credential(std::move(Credential)) {}

  //! Sends to each control host in turn until one answers that leads, for up
  //! to 10 s. Retries carry the same operation id, so a change whose answer
  //! was lost is not made twice.
  //! \throws pomelo_error of the kind that the control host answered, or
  //!         NoQuorum if none answered.
  boost::json::object call(const admin_request &Request);

private:
  std::vector<std::string> Addresses;
  std::string Credential;
  std::size_t Next = 0;
};

} // namespace pomelo

#endif
