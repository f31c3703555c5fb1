//! The parts that the settings of all processes share.
#ifndef POMELOSWITCH_SETTINGS_COMMON_SETTINGS_HPP
#define POMELOSWITCH_SETTINGS_COMMON_SETTINGS_HPP

#include "pomeloswitch/settings/json_document.hpp"

#include <boost/json/fwd.hpp>

#include <cstdint>

#include <string>
#include <string_view>
#include <vector>

namespace pomelo {

struct host_address {
  std::string Id;
  std::string Address; //!< IP:port of the inner protocol.
};

struct log_settings {
  std::string Level = "info";
  std::string File; //!< Empty for standard error.
};

//! Schema fragments, to be placed under "definitions".
extern const std::string_view CommonDefinitions;

std::string textField(const boost::json::object &Object, std::string_view Name,
                      std::string_view Default = {});
//! The member as JSON text; empty if there is none.
std::string jsonField(const boost::json::object &Object, std::string_view Name);
std::int64_t numberField(const boost::json::object &Object,
                         std::string_view Name, std::int64_t Default);
bool flagField(const boost::json::object &Object, std::string_view Name,
               bool Default);
double realField(const boost::json::object &Object, std::string_view Name,
                 double Default);

log_settings readLogSettings(const boost::json::object &Settings);
//! Where \p Settings has "peer_port", that takes the place of the port in every
//! address.
std::vector<host_address> readHostAddresses(const document_kind &Kind,
                                            const boost::json::object &Settings,
                                            std::string_view Name);
//! Reads the file that "cluster_secret_file" names.
std::string readClusterSecret(const document_kind &Kind,
                              const boost::json::object &Settings);

} // namespace pomelo

#endif
