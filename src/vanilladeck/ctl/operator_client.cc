#include "vanilladeck/ctl/operator_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "vanilladeck/http/message.h"

namespace vanilladeck::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Result = core::Result<HttpResponse, CallError>;

/// The largest deployment text is about 30 MB, and its JSON form less than twice that.
constexpr std::uint64_t kMaxResponseBytes = 100'000'000;
constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr int kHttp11 = 11;

Result Failed(CallFailure failure, const std::string& step, const boost::system::error_code& ec) {
  return core::failure(CallError{failure, step + ": " + ec.message()});
}

asio::awaitable<void> SendAndReceive(const std::string& address,
                                     http::request<http::string_body> request,
                                     std::chrono::milliseconds timeout, Result& outcome) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  asio::ip::tcp::resolver resolver(stream.get_executor());
  const auto colon = address.rfind(':');
  auto [resolve_ec, endpoints] = co_await resolver.async_resolve(
      address.substr(0, colon), address.substr(colon + 1), kAsTuple);
  if (resolve_ec) {
    outcome = Failed(CallFailure::kNotSent, "resolve", resolve_ec);
    co_return;
  }
  auto [connect_ec, endpoint] = co_await stream.async_connect(endpoints, kAsTuple);
  if (connect_ec) {
    outcome = Failed(CallFailure::kNotSent, "connect", connect_ec);
    co_return;
  }
  auto [write_ec, written] = co_await http::async_write(stream, request, kAsTuple);
  if (write_ec) {
    // The listener may have received a part of the request, but not a complete one.
    outcome = Failed(CallFailure::kNoResponse, "send", write_ec);
    co_return;
  }
  // Received bytes that have not been parsed yet.
  constexpr std::size_t kMaxUnparsedBytes = 65536;
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  auto [read_ec, read] = co_await http::async_read(stream, buffer, parser, kAsTuple);
  if (read_ec) {
    outcome = Failed(CallFailure::kNoResponse, "receive", read_ec);
    co_return;
  }
  auto response = parser.release();
  if (!vanilladeck::http::IsValidStatusCode(response.result_int())) {
    outcome =
        Failed(CallFailure::kNoResponse, "receive", http::make_error_code(http::error::bad_status));
    co_return;
  }
  outcome = core::success(HttpResponse{response.result_int(), std::move(response.body())});
}

}  // namespace

Result SendOperatorRequest(const std::string& address, const std::string& method,
                           const std::string& target, const std::string& body,
                           std::chrono::milliseconds timeout) {
  if (address.rfind(':') == std::string::npos) {
    return core::failure(
        CallError{CallFailure::kNotSent, "invalid address: HOST:PORT is expected"});
  }
  http::request<http::string_body> request(http::string_to_verb(method), target, kHttp11, body);
  request.set(http::field::host, address);
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  request.prepare_payload();
  Result outcome =
      core::failure(CallError{CallFailure::kNoResponse, "the request was not completed"});
  asio::io_context context;
  asio::co_spawn(context, SendAndReceive(address, std::move(request), timeout, outcome),
                 asio::detached);
  context.run();
  return outcome;
}

}  // namespace vanilladeck::ctl
