#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

#include "daemon/fake_backend.h"
#include "vanilladeck/http/backend_connection.h"

namespace vanilladeck::http {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// Accepts one connection, sends `head` and then repeats `endless` until the peer closes it.
class EndlessServer {
 public:
  EndlessServer(const std::string& head, const std::string& endless)
      : acceptor_(io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        thread_([this, head, endless] { Serve(head, endless); }) {}
  ~EndlessServer() { thread_.join(); }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  [[nodiscard]] tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  [[nodiscard]] std::size_t written() const { return written_; }

 private:
  void Serve(const std::string& head, const std::string& endless) {
    tcp::socket socket = acceptor_.accept();
    std::string request;
    boost::system::error_code ec;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
    std::string block = head;
    while (!ec) {
      written_ += boost::asio::write(socket, boost::asio::buffer(block), ec);
      block.clear();
      while (block.size() < 65536) block += endless;
    }
  }

  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<std::size_t> written_{0};
  std::thread thread_;
};

boost::asio::awaitable<void> Get(tcp::endpoint endpoint, std::optional<ExchangeResult>& result) {
  const auto executor = co_await boost::asio::this_coro::executor;
  auto connection = std::make_shared<BackendConnection>(executor, BackendLimits{4096, 65536});
  const auto deadline = core::RuntimeClock::now() + 1500ms;
  (void)co_await connection->Connect(endpoint, deadline);
  const Request request(boost::beast::http::verb::get, "/", 11);
  result.emplace(co_await connection->Exchange(request, deadline, {}));
}

}  // namespace

// Guards against a server that sends an endless response, which would exhaust the daemon's memory
// before the deadline.
TEST_CASE("an endless response fails before its deadline", "[http]") {
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> responses{
      {"HTTP/1.1 200 ", "a"},
      {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\n\r\n", "body"},
      {chunked, "1\r\nx\r\n"},
      {chunked + "5;a=", "b"},
      {chunked, "0"},
      {chunked + "0\r\n", "a: b\r\n"}};
  for (const auto& [head, endless] : responses) {
    CAPTURE(head, endless);
    std::size_t written = 0;
    {
      EndlessServer server(head, endless);
      boost::asio::io_context io;
      std::optional<ExchangeResult> result;
      boost::asio::co_spawn(io, Get(server.endpoint(), result), boost::asio::detached);
      const auto began = core::RuntimeClock::now();
      io.run_for(3s);
      REQUIRE(result.has_value());
      CHECK_FALSE(result->has_value());
      // 1.5 s is the deadline of the exchange.
      CHECK(core::RuntimeClock::now() - began < 1500ms);
      written = server.written();
    }
    // Room for the buffers of both sockets and the header and body limits.
    CHECK(written < 16U << 20U);
  }
}

}  // namespace vanilladeck::http
