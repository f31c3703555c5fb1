#include "emulator/http_call.hpp"

#include "pomeloswitch/wire/peer_link.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace pomelo::emulator {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

asio::awaitable<void> exchange(beast::tcp_stream &Stream,
                               const std::string &Address,
                               const http_call &Call, http_answer &Answer) {
  Stream.expires_after(Call.Timeout);
  co_await Stream.async_connect(parseEndpoint(Address), asio::use_awaitable);
  http::request<http::string_body> Request;
  Request.version(11);
  Request.method_string(Call.Method);
  Request.target(Call.Target);
  Request.set(http::field::host, Address);
  for (const auto &[Name, Value] : Call.Header)
    Request.set(Name, Value);
  Request.body() = Call.Body;
  Request.prepare_payload();
  co_await http::async_write(Stream, Request, asio::use_awaitable);
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(boost::none);
  Parser.skip(Call.Method == "HEAD");
  co_await http::async_read(Stream, Buffer, Parser, asio::use_awaitable);
  for (const auto &Field : Parser.get())
    Answer.Header[std::string(Field.name_string())] = Field.value();
  Answer.Body = std::move(Parser.get().body());
  Answer.Status = static_cast<int>(Parser.get().result_int());
}

} // namespace

http_answer call(const std::string &Address, const http_call &Call) {
  asio::io_context Io;
  beast::tcp_stream Stream(Io);
  http_answer Answer;
  asio::co_spawn(Io, exchange(Stream, Address, Call, Answer),
                 [&Answer](const std::exception_ptr &Failure) {
                   try {
                     if (Failure)
                       std::rethrow_exception(Failure);
                   } catch (const std::exception &Reason) {
                     Answer.Status = 0;
                     Answer.Failure = Reason.what();
                   }
                 });
  Io.run();
  return Answer;
}

} // namespace pomelo::emulator
