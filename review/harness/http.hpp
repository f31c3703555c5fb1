//! Blocking HTTP/1.1 for the stand-ins.
#ifndef POMELOSWITCH_REVIEW_HARNESS_HTTP_HPP
#define POMELOSWITCH_REVIEW_HARNESS_HTTP_HPP

#include "record.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pomelo::review {

//! Field names in lower case.
using header_map = std::map<std::string, std::string>;

struct message {
  std::string StartLine;
  header_map Fields;
  std::string Body;

  [[nodiscard]] std::string field(const std::string &Name) const;
  //! Of a response; 0 if there is none.
  [[nodiscard]] int status() const;
  //! Of a request.
  [[nodiscard]] std::string path() const;
};

//! A connection; closes its socket.
class stream {
public:
  explicit stream(int Socket) : Socket(Socket) {}
  ~stream();
  stream(const stream &) = delete;
  stream &operator=(const stream &) = delete;

  //! Connects to "IP:port", or returns nothing.
  static std::optional<int> dial(std::string_view Address,
                                 clock::time_point Deadline);
  bool send(std::string_view Bytes, clock::time_point Deadline);
  //! Reads the head of a message, or nothing at the deadline or if the peer
  //! closed.
  std::optional<message> readHead(clock::time_point Deadline);
  //! Reads the body that belongs to the head; whether it is complete.
  bool readBody(message &Message, clock::time_point Deadline);
  //! Reads a whole message.
  std::optional<message> read(clock::time_point Deadline);
  //! Waits until the peer has closed the connection; returns false at the
  //! deadline, or sooner if there is something to read.
  [[nodiscard]] bool awaitClose(clock::time_point Deadline) const;
  [[nodiscard]] int socket() const { return Socket; }

private:
  bool readChunks(message &Message, clock::time_point Deadline);
  std::optional<std::string> readLine(clock::time_point Deadline);
  bool awaitBytes(std::size_t Count, clock::time_point Deadline);
  bool fill(clock::time_point Deadline);

  int Socket;
  std::string Buffer;
};

std::string requestText(std::string_view Method, std::string_view Path,
                        const header_map &Fields, std::string_view Body);
std::string responseText(int Status, const header_map &Fields,
                         std::string_view Body);

//! One request on a new connection. Returns nothing without a whole response.
std::optional<message> exchange(std::string_view Address,
                                std::string_view Request,
                                std::chrono::milliseconds Timeout);

//! A socket that listens at \p Ip; \p Port 0 takes a free one.
//! \throws std::runtime_error if the address cannot be used.
int listenAt(const std::string &Ip, int Port);
int portOf(int Socket);

} // namespace pomelo::review

#endif
