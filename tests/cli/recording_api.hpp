//! A stand-in for the administration API of a control host.
#ifndef POMELOSWITCH_TESTS_CLI_RECORDING_API_HPP
#define POMELOSWITCH_TESTS_CLI_RECORDING_API_HPP

#include "pomeloswitch/http/simple_server.hpp"
#include "process_folder.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>

#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace pomelo {

//! Records the requests and answers each with the text given for its target,
//! or with an empty object.
class recording_api {
public:
  explicit recording_api(std::map<std::string, std::string> Answers = {})
      : Answers(std::move(Answers)),
        Server(Io, {boost::asio::ip::address_v4::loopback(), 0},
               [this](const text_request &Request) { return record(Request); }),
        Thread([this] { Io.run(); }) {}
  recording_api(const recording_api &) = delete;
  recording_api &operator=(const recording_api &) = delete;
  ~recording_api() { stop(); }

  void stop() {
    Io.stop();
    if (Thread.joinable())
      Thread.join();
  }
  //! Options with which pomeloctl uses this API.
  [[nodiscard]] std::vector<std::string> options() const {
    return {fmt::format("--control=127.0.0.1:{}", Server.address().port()),
            "--credential=" + Folder.write("credential", "credential\n")};
  }

  // To be read after stop().
  std::vector<std::string> Lines; //!< Method and target of each request.
  std::vector<std::string> Bodies;

private:
  boost::asio::awaitable<text_response> record(const text_request &Request) {
    const std::string Target(Request.target());
    Lines.push_back(std::string(Request.method_string()) + " " + Target);
    Bodies.push_back(Request.body());
    const auto Answer = Answers.find(Target);
    co_return makeJsonResponse(Answer == Answers.end() ? "{}" : Answer->second,
                               Request.version());
  }

  process_folder Folder{"recording_api"};
  std::map<std::string, std::string> Answers; //!< By target.
  boost::asio::io_context Io;
  simple_server Server;
  std::thread Thread;
};

} // namespace pomelo

#endif
