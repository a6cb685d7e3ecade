#pragma once

#include <memory>
#include <random>

#include "process/fleet_records.h"
#include "standins/common/http_server.h"

namespace vanilladeck::process {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

/// A client that sends one request after the other to one gateway, and keeps its connection until
/// the gateway closes it.
class FleetClient {
 public:
  FleetClient(asio::io_context& context, FleetRecords& records, std::size_t gateway,
              const asio::ip::tcp::endpoint& endpoint, std::size_t services, milliseconds pause,
              std::uint32_t seed)
      : records_(records),
        gateway_(gateway),
        endpoint_(endpoint),
        services_(services),
        pause_(pause),
        random_(seed) {
    asio::co_spawn(context, SendRequests(), asio::detached);
  }
  FleetClient(const FleetClient&) = delete;
  FleetClient& operator=(const FleetClient&) = delete;
  ~FleetClient() = default;

  void Stop() noexcept { stopped_ = true; }

 private:
  // Time limit of a request, and how long the client waits beyond it for a last response.
  static constexpr milliseconds kTimeLimit{2000};
  static constexpr milliseconds kExtraWait{500};
  static constexpr milliseconds kReconnectPause{100};

  asio::awaitable<void> SendRequests() {
    while (!stopped_) {
      asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
      auto [ec] = co_await socket.async_connect(endpoint_, asio::as_tuple(asio::use_awaitable));
      boost::system::error_code ignored;
      if (!ec) socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      boost::beast::flat_buffer buf;
      while (!ec && !stopped_) {
        const bool usable = co_await Send(socket, buf);
        if (!usable) break;
        co_await standins::Sleep(pause_);
      }
      co_await standins::Sleep(kReconnectPause);
    }
  }

  /// Sends a request and waits for its end; returns whether the connection can be used again.
  asio::awaitable<bool> Send(asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buf) {
    const std::size_t index = records_.requests.size();
    Request& record = records_.requests.emplace_back();
    record.gateway = gateway_;
    record.gateway_lifetime = records_.gateways[gateway_].size() - 1;
    // Every second request uses the route that policies move, the others each service's own route.
    const auto choice = std::uniform_int_distribution<std::size_t>(0, 2 * services_ - 1)(random_);
    if (choice < services_) record.service = choice;
    record.idempotent = !record.service || choice % 2 == 0;
    http::request<http::string_body> request(
        record.idempotent ? http::verb::get : http::verb::post,
        record.service ? "/s" + std::to_string(*record.service) + "/x" : "/moved/x", 11);
    request.set(http::field::host, "a.example");
    std::ostringstream id;
    id << std::hex << index;
    request.set("X-Attempt-Id", id.str());
    request.set("X-Deadline-Ms", std::to_string(kTimeLimit.count()));
    if (!record.idempotent) request.body() = "body of " + id.str();
    request.prepare_payload();
    record.sent = Clock::now();

    asio::steady_timer timer(socket.get_executor(), kTimeLimit + kExtraWait);
    auto done = std::make_shared<bool>(false);
    timer.async_wait([&socket, done](boost::system::error_code ec) {
      if (!ec && !*done) socket.cancel(ec);
    });
    http::response_parser<http::string_body> parser;
    auto [ec, written] =
        co_await http::async_write(socket, request, asio::as_tuple(asio::use_awaitable));
    if (!ec) {
      std::tie(ec, std::ignore) =
          co_await http::async_read(socket, buf, parser, asio::as_tuple(asio::use_awaitable));
    }
    *done = true;
    timer.cancel();
    record.ended = Clock::now();
    record.ending = !ec                                    ? Ending::kAnswered
                    : ec == asio::error::operation_aborted ? Ending::kGivenUp
                                                           : Ending::kClosed;
    if (ec) co_return false;
    record.status = static_cast<int>(parser.get().result_int());
    co_return parser.get().keep_alive();
  }

  FleetRecords& records_;
  std::size_t gateway_;
  asio::ip::tcp::endpoint endpoint_;
  std::size_t services_;
  milliseconds pause_;
  std::mt19937 random_;
  bool stopped_ = false;
};

}  // namespace vanilladeck::process
