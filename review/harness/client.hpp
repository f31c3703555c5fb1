//! Stand-in clients, and how a case ends.
#ifndef POMELOSWITCH_REVIEW_HARNESS_CLIENT_HPP
#define POMELOSWITCH_REVIEW_HARNESS_CLIENT_HPP

#include "deployment.hpp"
#include "http.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace pomelo::review {

struct client_request {
  std::string Id;
  std::string Method = "POST";
  std::string Body = "a calculation";
  std::chrono::milliseconds TimeLimit{2000};
  header_map Fields; //!< Further ones.
  //! After how long the client leaves; its time limit unless it gives up.
  std::optional<std::chrono::milliseconds> LeavesAfter;
};

//! Sends a request on a new connection to an entry host and waits for its
//! answer. Returns nothing if none came.
std::optional<message> ask(deployment &Deployment, const std::string &Front,
                           const client_request &Request);

//! Whether the answer is a success of an endpoint, with its receipt.
bool served(const std::optional<message> &Answer);

//! Whether the case is played with its disruption (TROUBLE is not 0).
bool troubled();

//! Runs a case: \p Play returns whether the rule held. Arguments: the file for
//! the record. Returns the exit code: 0 it held, 1 it was broken, 2 the case
//! could not run.
int runCase(int Argc, char **Argv, const std::function<bool(record &)> &Play);

} // namespace pomelo::review

#endif
