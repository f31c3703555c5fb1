//! A small HTTP/1.1 client and server with blocking sockets.
#ifndef POMELOSWITCH_REVIEW_HARNESS_2_HTTP_HPP
#define POMELOSWITCH_REVIEW_HARNESS_2_HTTP_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

struct address {
  std::string Ip;
  std::uint16_t Port = 0;
  [[nodiscard]] std::string text() const {
    return Ip + ":" + std::to_string(Port);
  }
};

//! Reads "IP:port".
address parseAddress(const std::string &Text);

using header_fields = std::vector<std::pair<std::string, std::string>>;

struct http_message {
  std::string StartLine;
  header_fields Fields;
  std::string Body;

  //! Value of the first field with this name, in any case; else empty.
  [[nodiscard]] std::string field(const std::string &Name) const;
  [[nodiscard]] bool has(const std::string &Name) const;
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string path() const;
  [[nodiscard]] int status() const;
};

std::string serialize(const http_message &Message);

//! One TCP connection; closes its socket when destroyed.
class tcp_connection {
public:
  explicit tcp_connection(int Socket) : Socket(Socket) {}
  ~tcp_connection();
  tcp_connection(const tcp_connection &) = delete;
  tcp_connection &operator=(const tcp_connection &) = delete;

  //! Returns nullptr if there is no connection within \p Seconds.
  static std::unique_ptr<tcp_connection> open(const address &To,
                                              double Seconds);

  bool write(const std::string &Bytes);
  //! Reads a whole message, with a length or in chunks. Returns nothing if the
  //! connection ends first or it takes longer than \p Seconds.
  std::optional<http_message> read(double Seconds);
  //! Whether the peer has closed the connection.
  [[nodiscard]] bool ended() const;
  //! Makes all reads and writes fail at once.
  void shutDown() const;

private:
  bool fill(double Until);
  bool readLine(std::string &Line, double Until);
  bool readBytes(std::string &Out, std::size_t Count, double Until);

  int Socket;
  std::string Buffer;
};

//! How a call ended, as its caller sees it.
struct call_result {
  std::optional<http_message> Answer; //!< Nothing: closed or timed out.
  [[nodiscard]] int status() const { return Answer ? Answer->status() : 0; }
  //! The status, or that there was no answer.
  [[nodiscard]] std::string text() const {
    return Answer ? std::to_string(status()) : "no answer";
  }
};

//! Sends a request on a new connection and reads the answer.
call_result call(const address &To, const http_message &Request,
                 double Seconds);

http_message makeRequest(const std::string &Method, const std::string &Path,
                         const std::string &Host, const std::string &Body = {},
                         const header_fields &Fields = {});
http_message makeAnswer(int Status, const std::string &Body = {},
                        const header_fields &Fields = {});

//! Answers requests, each connection in a thread of its own. A handler that
//! returns nothing closes the connection without an answer.
class http_server {
public:
  using handler =
      std::function<std::optional<http_message>(const http_message &)>;

  explicit http_server(handler Handler) : Handler(std::move(Handler)) {}
  ~http_server() { stop(); }
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  //! Returns false if the address cannot be bound.
  bool start(const address &At);
  //! Closes the listening socket and all connections. Waits for the threads.
  void stop();

private:
  void acceptLoop();
  void serve(const std::shared_ptr<tcp_connection> &Connection);

  handler Handler;
  int Listener = -1;
  std::atomic<bool> Stopping{false};
  std::thread Acceptor;
  std::mutex Mutex;
  std::set<std::shared_ptr<tcp_connection>> Open;
  std::list<std::thread> Threads;
};

//! A port that is free on all loopback addresses now.
std::uint16_t freePort();

} // namespace review

#endif
