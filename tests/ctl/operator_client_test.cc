#include "vanilladeck/ctl/operator_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

using namespace vanilladeck::ctl;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Accepts one connection, reads the request's header and sends `response`.
class SingleResponseServer {
 public:
  explicit SingleResponseServer(std::string response)
      : acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        thread_([this, response = std::move(response)] {
          tcp::socket socket(context_);
          acceptor_.accept(socket);
          asio::read_until(socket, asio::dynamic_buffer(request_), "\r\n\r\n");
          asio::write(socket, asio::buffer(response));
          if (response.empty()) std::this_thread::sleep_for(std::chrono::milliseconds(400));
        }) {}
  ~SingleResponseServer() { thread_.join(); }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::string request_;
  std::thread thread_;
};

CallFailure FailureOf(const std::string& address) {
  const auto response =
      SendOperatorRequest(address, "GET", "/v1/status", "", std::chrono::milliseconds(200));
  REQUIRE_FALSE(response);
  return response.error().failure;
}

}  // namespace

// Guards against a lost response that is reported as a request never sent, and against a call that
// never returns.
TEST_CASE("operator client distinguishes requests not sent from lost responses", "[ctl]") {
  {
    SingleResponseServer server("HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}");
    const auto response = SendOperatorRequest(server.Address(), "POST", "/v1/config/apply", "{}",
                                              std::chrono::seconds(5));
    REQUIRE(response);
    REQUIRE(response.value().status == 409);
    REQUIRE(response.value().body == "{}");
  }
  {
    SingleResponseServer silent("");
    REQUIRE(FailureOf(silent.Address()) == CallFailure::kNoResponse);
  }
  {
    // A status code below 500 means a refusal, but only a valid one.
    SingleResponseServer broken("HTTP/1.1 000 Broken\r\nContent-Length: 2\r\n\r\n{}");
    REQUIRE(FailureOf(broken.Address()) == CallFailure::kNoResponse);
  }
  {
    SingleResponseServer truncated("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}");
    REQUIRE(FailureOf(truncated.Address()) == CallFailure::kNoResponse);
  }
  REQUIRE(FailureOf("127.0.0.1:1") == CallFailure::kNotSent);
  REQUIRE(FailureOf("nonsense") == CallFailure::kNotSent);
}
