#include "vanilladeck/daemon/operators_listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "vanilladeck/http/message.h"

namespace vanilladeck::daemon {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// One operator's connection; requests are handled sequentially.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<OperatorsListener::Handler> handler)
      : stream_(std::move(socket)), handler_(std::move(handler)) {}

  void Read() {
    parser_.emplace();
    parser_->body_limit(OperatorsListener::kMaxBodyBytes);
    stream_.expires_after(OperatorsListener::kIdleTimeout);
    http::async_read(stream_, buf_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t) { self->OnRead(ec); });
  }

 private:
  void OnRead(error_code ec) {
    if (ec == http::error::body_limit) {
      return Write(config::ErrorResponse(413, "body-too-large", "the body exceeds the limit"),
                   false);
    }
    if (ec && ec.category() == http::make_error_code(http::error::bad_method).category() &&
        ec != http::error::end_of_stream && ec != http::error::partial_message) {
      return Write(config::ErrorResponse(400, "malformed-request", ec.message()), false);
    }
    if (ec) return;
    stream_.expires_never();
    const auto& message = parser_->get();
    const bool keep_alive = message.keep_alive();
    config::OperatorRequest request{std::string(message.method_string()),
                                    std::string(message.target()), message.body()};
    (*handler_)(std::move(request), [self = shared_from_this(), keep_alive](auto response) {
      self->Write(std::move(response), keep_alive);
    });
  }

  void Write(config::OperatorResponse response, bool keep_alive) {
    response_.emplace(static_cast<http::status>(response.status), 11);
    response_->set(http::field::content_type, response.content_type);
    response_->body() = std::move(response.body);
    response_->keep_alive(keep_alive);
    response_->prepare_payload();
    stream_.expires_after(OperatorsListener::kIdleTimeout);
    http::async_write(stream_, *response_,
                      [self = shared_from_this(), keep_alive](error_code ec, std::size_t) {
                        if (!ec && keep_alive) self->Read();
                      });
  }

  beast::tcp_stream stream_;
  std::shared_ptr<OperatorsListener::Handler> handler_;
  beast::flat_buffer buf_{vanilladeck::http::kMaxUnparsedBytes};
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::string_body>> response_;
};

}  // namespace

class OperatorsListener::Acceptor : public std::enable_shared_from_this<Acceptor> {
 public:
  Acceptor(boost::asio::io_context& context, Handler handler)
      : acceptor_(context), handler_(std::make_shared<Handler>(std::move(handler))) {}

  [[nodiscard]] error_code Open(const std::string& ip, unsigned short port) {
    error_code ec;
    const auto address = boost::asio::ip::make_address(ip, ec);
    if (ec) return ec;
    const tcp::endpoint endpoint(address, port);
    if (acceptor_.open(endpoint.protocol(), ec)) return ec;
    if (acceptor_.set_option(tcp::acceptor::reuse_address(true), ec)) return ec;
    if (acceptor_.bind(endpoint, ec)) return ec;
    return acceptor_.listen(tcp::acceptor::max_listen_connections, ec);
  }

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
      if (ec == boost::asio::error::operation_aborted) return;
      if (!ec) std::make_shared<Session>(std::move(socket), self->handler_)->Read();
      self->Accept();
    });
  }

  void Close() {
    error_code ec;
    acceptor_.close(ec);
  }

 private:
  tcp::acceptor acceptor_;
  std::shared_ptr<Handler> handler_;
};

OperatorsListener::OperatorsListener(std::shared_ptr<Acceptor> acceptor)
    : acceptor_(std::move(acceptor)) {}

OperatorsListener::~OperatorsListener() { acceptor_->Close(); }

core::Result<std::unique_ptr<OperatorsListener>, OperatorsError> OperatorsListener::Create(
    boost::asio::io_context& context, const std::string& ip, unsigned short port, Handler handler) {
  auto acceptor = std::make_shared<Acceptor>(context, std::move(handler));
  if (const auto ec = acceptor->Open(ip, port)) {
    return OperatorsError{ip + ':' + std::to_string(port), ec.message()};
  }
  acceptor->Accept();
  return std::unique_ptr<OperatorsListener>(new OperatorsListener(std::move(acceptor)));
}

}  // namespace vanilladeck::daemon
