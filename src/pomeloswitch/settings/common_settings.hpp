//! Settings that all processes have in common, and access to optional members
//! of JSON objects.
#ifndef POMELOSWITCH_SETTINGS_COMMON_SETTINGS_HPP
#define POMELOSWITCH_SETTINGS_COMMON_SETTINGS_HPP

#include "pomeloswitch/settings/json_document.hpp"

#include <boost/json/fwd.hpp>

#include <cstdint>

#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

//! A control host.
struct host_address {
  std::string Id;
  std::string Address; //!< IP:port of the inner protocol.
};

struct log_settings {
  std::string Level = "info";
  std::string File; //!< Empty for standard error.
};

//! Schema fragments for the "definitions" of a document's schema.
extern const std::string_view CommonDefinitions;

// The functions below return the member \p Name of \p Object, or \p Default if
// there is none. They throw the exceptions of Boost.JSON's accessors if the
// member is of another type.
std::string stringField(const boost::json::object &Object,
                        std::string_view Name, std::string_view Default = {});
//! Returns the member as JSON text, or an empty string if there is none.
std::string jsonField(const boost::json::object &Object, std::string_view Name);
std::int64_t integerField(const boost::json::object &Object,
                          std::string_view Name, std::int64_t Default);
bool boolField(const boost::json::object &Object, std::string_view Name,
               bool Default);
double doubleField(const boost::json::object &Object, std::string_view Name,
                   double Default);

log_settings readLogSettings(const boost::json::object &Settings);
//! Reads the array \p Name of host ids and addresses. If \p Settings has
//! "peer_port", it replaces the port in each address.
//! \throws pomelo_error of Kind.ErrorKind if two hosts have the same id.
std::vector<host_address> readHostAddresses(const document_kind &Kind,
                                            const boost::json::object &Settings,
                                            std::string_view Name);
//! Reads the file named by "cluster_secret_file", without line ends at its end.
//! \throws pomelo_error BadSettings if the file cannot be read, and of
//!         Kind.ErrorKind if the secret is too short.
std::string readClusterSecret(const document_kind &Kind,
                              const boost::json::object &Settings);

} // namespace pomelo

#endif
