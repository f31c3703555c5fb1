//! A caller that sends an upload in pieces.
#ifndef POMELOSWITCH_TESTS_HTTP_UPLOADING_CALLER_HPP
#define POMELOSWITCH_TESTS_HTTP_UPLOADING_CALLER_HPP

#include "traffic_fixture.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>

namespace pomelo {

//! A body of which no two parts are alike.
inline std::string bodyOf(std::size_t Bytes) {
  std::string Body;
  while (Body.size() < Bytes)
    Body += std::to_string(Body.size()) + ";";
  Body.resize(Bytes);
  return Body;
}

//! Sends an upload in pieces, with one pause, and returns the status line.
class uploading_caller {
public:
  uploading_caller(const traffic_fixture &Traffic, bool Chunked)
      : Chunked(Chunked), Socket(Io) {
    Socket.connect(parseEndpoint(Traffic.address()));
  }

  std::string upload(const std::string &Body, std::size_t PauseAfter) {
    write("POST /unsafe HTTP/1.1\r\nHost: h\r\n" +
          (Chunked ? std::string("Transfer-Encoding: chunked\r\n\r\n")
                   : fmt::format("Content-Length: {}\r\n\r\n", Body.size())));
    writeBody(Body.substr(0, PauseAfter));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    writeBody(Body.substr(PauseAfter));
    if (Chunked)
      write("0\r\n\r\n");
    std::string Response;
    boost::system::error_code Error;
    boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Response),
                            "\r\n", Error);
    return Response.substr(0, Response.find('\r'));
  }

private:
  void write(const std::string &Text) {
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Text), Ignored);
  }
  void writeBody(std::string_view Body) {
    constexpr std::size_t PieceBytes = 8192;
    for (; !Body.empty();
         Body.remove_prefix(std::min(PieceBytes, Body.size()))) {
      const std::string Piece(Body.substr(0, PieceBytes));
      write(Chunked ? fmt::format("{:x}\r\n{}\r\n", Piece.size(), Piece)
                    : Piece);
    }
  }

  bool Chunked;
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket;
};

} // namespace pomelo

#endif
