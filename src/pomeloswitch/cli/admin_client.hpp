//! Client of the administration API that locates the leader and retries.
#ifndef POMELOSWITCH_CLI_ADMIN_CLIENT_HPP
#define POMELOSWITCH_CLI_ADMIN_CLIENT_HPP

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! A request to the administration API.
struct admin_request {
  std::string Method;
  std::string Target;
  std::string Body;
  std::string OperationId; //!< Empty for reads.
  //! Rejects the change unless this configuration version is in force.
  std::optional<std::uint64_t> BaseVersion;
};

//! Sends requests to the control hosts; each call blocks.
class admin_client {
public:
  //! \p Addresses are the administration addresses of the control hosts.
  admin_client(std::vector<std::string> Addresses, std::string Credential)
      : Addresses(std::move(Addresses)), Credential(std::move(Credential)) {}

  //! Tries the control hosts in turn until the leader responds; starts no
  //! further attempt after 10 s. Retries carry the same operation id, so a
  //! change whose response was lost is not applied twice.
  //! \throws pomelo_error with the error kind of the response, or NoQuorum if
  //!         no control host handled the request in time.
  boost::json::object call(const admin_request &Request);

private:
  std::vector<std::string> Addresses;
  std::string Credential;
  std::size_t Next = 0;
};

} // namespace pomelo

#endif
