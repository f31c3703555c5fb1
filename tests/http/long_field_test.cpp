//! Requests with header fields that are longer than the HTTP library holds.
#include "strict_dialect.hpp"
#include "traffic_fixture.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <stdexcept>

namespace pomelo {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t HeaderLimit = 256 * 1024;
constexpr std::size_t LongBytes = 70000;
constexpr milliseconds Patience{3000};
const std::string LongValue(LongBytes, 'v');
const std::string OtherValue(LongBytes, 'w');

//! A caller that writes what it is given.
class raw_caller {
public:
  explicit raw_caller(const std::string &Address) : Socket(Io) {
    Socket.connect(parseEndpoint(Address));
  }

  //! Returns the first line of the answer, "closed" if the connection ended
  //! without one, or "nothing" after Patience.
  std::string send(const std::string &Text) {
    std::string Outcome = "nothing";
    boost::asio::async_write(Socket, boost::asio::buffer(Text),
                             [](boost::system::error_code, std::size_t) {});
    boost::asio::async_read_until(
        Socket, boost::asio::dynamic_buffer(Received), "\r\n\r\n",
        [&](boost::system::error_code Error, std::size_t Count) {
          Outcome = Error ? "closed" : Received.substr(0, Received.find('\r'));
          Received.erase(0, Count);
        });
    Io.restart();
    Io.run_for(Patience);
    return Outcome;
  }

private:
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket;
  std::string Received;
};

struct long_field_case {
  std::string Name;
  std::string Request;
  std::string Answer = "HTTP/1.1 200 OK";
  std::vector<std::string> Forwarded; //!< Lines that the target gets.
  std::vector<std::string> Withheld;  //!< What it must not get.
};

void PrintTo(const long_field_case &Case, std::ostream *Out) {
  *Out << Case.Name;
}

std::string get(const std::string &Fields, const std::string &Path = "/safe") {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
}

class long_field : public testing::TestWithParam<long_field_case> {
protected:
  long_field()
      : Target([this](scripted_connection &Connection, unsigned) {
          while (!Connection.readRequest().empty()) {
            const std::lock_guard Lock(Mutex);
            Header = Connection.header();
            Connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
          }
        }),
        Traffic(Target.address(), 1) {
    Traffic.changeRules(
        [](rules &Rules) { Rules.Callers.HeaderBytes = HeaderLimit; });
  }

  std::string header() {
    const std::lock_guard Lock(Mutex);
    return Header;
  }

  std::mutex Mutex;
  std::string Header;
  scripted_target Target;
  traffic_fixture Traffic;
};

// Guards against requests within the configured limit that get no answer, and
// whose connections stay open for good (CONFIG, review/10).
TEST_P(long_field, is_served_as_it_was_sent_or_refused) {
  raw_caller Caller(Traffic.address());
  for (int Time = 0; Time < 2; ++Time) {
    EXPECT_EQ(Caller.send(GetParam().Request), GetParam().Answer);
    for (const std::string &Line : GetParam().Forwarded)
      EXPECT_NE(header().find("\r\n" + Line + "\r\n"), std::string::npos);
    for (const std::string &Text : GetParam().Withheld)
      EXPECT_EQ(header().find(Text), std::string::npos);
    if (!GetParam().Answer.ends_with("OK"))
      return; // The refusal closes the connection.
  }
}

INSTANTIATE_TEST_SUITE_P(
    table, long_field,
    testing::Values(
        long_field_case{
            "longest_that_the_library_holds",
            get("Cookie: " + std::string(MaxFieldBytes, 'v') + "\r\n"),
            "HTTP/1.1 200 OK",
            {"Cookie: " + std::string(MaxFieldBytes, 'v')}},
        long_field_case{
            "one_byte_longer",
            get("Cookie: " + std::string(MaxFieldBytes + 1, 'v') + "\r\n"),
            "HTTP/1.1 200 OK",
            {"Cookie: " + std::string(MaxFieldBytes + 1, 'v')}},
        long_field_case{"without_body",
                        get("Cookie: " + LongValue + "\r\nX-After: 1\r\n"),
                        "HTTP/1.1 200 OK",
                        {"Cookie: " + LongValue, "X-After: 1"}},
        long_field_case{
            "twice",
            get("X-Long: " + LongValue + "\r\nX-Long: " + OtherValue + "\r\n"),
            "HTTP/1.1 200 OK",
            {"X-Long: " + LongValue + "\r\nX-Long: " + OtherValue}},
        long_field_case{"with_body",
                        "POST /unsafe HTTP/1.1\r\nHost: h\r\nContent-Length: "
                        "4\r\nX-Long: " +
                            LongValue + "\r\n\r\nbody",
                        "HTTP/1.1 200 OK",
                        {"X-Long: " + LongValue}},
        long_field_case{"of_a_field_that_is_not_forwarded",
                        get("Pomelo-Account: " + LongValue +
                            "\r\nTE: " + OtherValue + "\r\n"),
                        "HTTP/1.1 200 OK",
                        {},
                        {LongValue, OtherValue}},
        long_field_case{
            "of_a_credential",
            get("Authorization: Bearer " + LongValue + "\r\n", "/claimed"),
            "HTTP/1.1 401 Unauthorized"},
        long_field_case{"of_a_target", get("", "/safe/" + LongValue)},
        long_field_case{"of_a_name", get(LongValue + ": 1\r\n"),
                        "HTTP/1.1 431 Request Header Fields Too Large"},
        long_field_case{
            "above_the_limit",
            get("Cookie: " + std::string(HeaderLimit, 'v') + "\r\n"),
            "HTTP/1.1 431 Request Header Fields Too Large"}),
    [](const auto &Info) { return Info.param.Name; });

//! A dialect that fails in a way that it must not.
class failing_dialect final : public target_dialect {
public:
  [[nodiscard]] std::optional<milliseconds>
  timeoutOf(const request_header &Header) const override {
    return Base.timeoutOf(Header);
  }
  [[nodiscard]] std::string
  requestIdOf(const request_header &Header) const override {
    if (Header.count("Test-Fail") > 0)
      throw std::length_error("as the HTTP library may throw");
    return Base.requestIdOf(Header);
  }
  [[nodiscard]] request_header
  headerForTarget(const request_header &Header,
                  const dispatch_metadata &Metadata) const override {
    return Base.headerForTarget(Header, Metadata);
  }
  [[nodiscard]] response_header
  headerForCaller(const response_header &Header) const override {
    return Base.headerForCaller(Header);
  }
  [[nodiscard]] response_metadata
  parseMetadata(const response_header &Header,
                std::string_view RequestId) const override {
    return Base.parseMetadata(Header, RequestId);
  }
  [[nodiscard]] text_response errorResponse(const pomelo_error &Reason,
                                            unsigned Version) const override {
    return Base.errorResponse(Reason, Version);
  }

  [[nodiscard]] bool allowsCloseDelimitedResponse() const override {
    return Base.allowsCloseDelimitedResponse();
  }

private:
  strict_dialect Base;
};

// Guards against a connection that stays open, and counts against the limit of
// its host, after an exception that nobody expected (CONFIG, review/10).
TEST(unforeseen_exception, ends_its_connection_alone) {
  const failing_dialect Dialect;
  scripted_target Target([](scripted_connection &Connection, unsigned) {
    while (!Connection.readRequest().empty())
      Connection.answer("");
  });
  traffic_fixture Traffic(Target.address(), 1, Dialect);
  raw_caller Failing(Traffic.address());
  EXPECT_EQ(Failing.send(get("Test-Fail: 1\r\n")), "closed");
  raw_caller Next(Traffic.address());
  EXPECT_EQ(Next.send(get("")), "HTTP/1.1 200 OK");
}

} // namespace
} // namespace pomelo
