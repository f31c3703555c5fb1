#include "pomeloswitch/http/response_watch.hpp"

#include "pomeloswitch/http/stream_parsers.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace pomelo {
namespace {

//! '?' stands for any octet.
constexpr std::string_view InterimStart = "HTTP/1.? 1??";
constexpr std::string_view SwitchingProtocols = "101";
constexpr std::size_t StatusOffset = 9;
constexpr std::string_view HeaderEnd = "\r\n\r\n";

bool maybeInterim(std::string_view Bytes) {
  const std::string_view Start = Bytes.substr(0, InterimStart.size());
  const bool Matches =
      std::equal(Start.begin(), Start.end(), InterimStart.begin(),
                 [](char Octet, char Pattern) {
                   return Pattern == '?' || Octet == Pattern;
                 });
  return Matches && (Start.size() < InterimStart.size() ||
                     Start.substr(StatusOffset) != SwitchingProtocols);
}

std::string_view contentOf(const boost::beast::flat_buffer &Buffer) {
  return {static_cast<const char *>(Buffer.data().data()), Buffer.size()};
}

} // namespace

bool takeInterimResponses(boost::beast::flat_buffer &Buffer,
                          std::size_t &Allowance) {
  while (maybeInterim(contentOf(Buffer))) {
    const std::size_t End = contentOf(Buffer).find(HeaderEnd);
    if (End == std::string_view::npos)
      return Buffer.size() < Allowance;
    const std::size_t Count = End + HeaderEnd.size();
    if (Count > Allowance)
      return false;
    Allowance -= Count;
    Buffer.consume(Count);
  }
  return false;
}

response_watch::response_watch(upstream_connection &Connection,
                               std::size_t &Allowance,
                               std::function<void()> OnFinal)
    : Connection(Connection), Allowance(Allowance),
      OnFinal(std::move(OnFinal)) {
  arm();
}

void response_watch::arm() {
  Observer.emplace(Connection.Stream.socket(), [this](input_state State) {
    if (State == input_state::Data && takeInput())
      arm();
    else
      OnFinal();
  });
}

bool response_watch::takeInput() {
  auto &Buffer = Connection.Buffer;
  auto &Socket = Connection.Stream.socket();
  boost::system::error_code Error;
  // No more than has arrived, so that the read does not block.
  const std::size_t Count = std::min({Socket.available(Error), RelayChunkBytes,
                                      Buffer.max_size() - Buffer.size()});
  if (Count == 0)
    return false;
  Buffer.commit(Socket.read_some(Buffer.prepare(Count), Error));
  return takeInterimResponses(Buffer, Allowance);
}

} // namespace pomelo
