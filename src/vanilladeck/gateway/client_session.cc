#include "vanilladeck/gateway/client_session.h"

#include <boost/asio/write.hpp>

#include "vanilladeck/gateway/socket_options.h"

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;

// Bytes of later requests that are kept while one is served; reading pauses beyond it.
constexpr std::size_t kMaxPipelinedBytes = 65536;
// The client gets this long to read the last answer before the connection is reset.
constexpr core::Duration kLingerTime = std::chrono::seconds(1);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

ClientSession::ClientSession(boost::asio::ip::tcp::socket socket,
                             std::shared_ptr<SessionGroup> group)
    : socket_(std::move(socket)), group_(std::move(group)) {
  group_->open.insert(this);
}

ClientSession::~ClientSession() {
  group_->open.erase(this);
  group_->deadlines->Remove(deadline_);
}

void ClientSession::Start() {
  SetConnectionOptions(socket_);
  StartParser();
  SetDeadline(group_->limits.header_timeout);
  Read();
}

void ClientSession::SetDeadline(core::Duration after) {
  group_->deadlines->Remove(deadline_);
  deadline_ = group_->deadlines->Add(core::RuntimeClock::now() + after, [this] { Close(); });
}

void ClientSession::StartParser() {
  parser_.emplace();
  parser_->header_limit(group_->limits.header_bytes);
  parser_->body_limit(group_->limits.body_bytes);
  parser_->eager(true);
  head_timeout_set_ = false;
  body_timeout_set_ = false;
}

void ClientSession::Read() {
  if (reading_ || closed_) return;
  reading_ = true;
  socket_.async_read_some(boost::asio::buffer(buf_),
                          [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
                            self->reading_ = false;
                            self->OnRead(ec, n);
                          });
}

void ClientSession::OnRead(boost::system::error_code ec, std::size_t n) {
  if (closed_) return;
  if (ec) {
    if (serving_) {
      OnGone();
    } else if (!writing_) {
      Close();
    }
    return;
  }
  if (lingering_) {
    Read();
    return;
  }
  input_.append(buf_.data(), n);
  if (serving_ || writing_) {
    if (input_.size() < kMaxPipelinedBytes) Read();
    return;
  }
  Advance();
}

void ClientSession::Advance() {
  if (!input_.empty() && !head_timeout_set_) {
    head_timeout_set_ = true;
    request_began_ = core::RuntimeClock::now();
    SetDeadline(group_->limits.header_timeout);
  }
  while (!input_.empty() && !parser_->is_done()) {
    boost::system::error_code ec;
    const std::size_t used = parser_->put(boost::asio::buffer(input_), ec);
    input_.erase(0, used);
    if (parser_->is_header_done() && !body_timeout_set_) {
      body_timeout_set_ = true;
      SetDeadline(group_->limits.body_timeout);
      const auto& head = parser_->get();
      if (!parser_->is_done() && head[http::field::expect] == "100-continue") {
        boost::system::error_code ignored;  // A failed write shows at the next read.
        boost::asio::write(socket_, boost::asio::buffer(kContinue), ignored);
      }
    }
    if (ec == http::error::need_more) break;
    if (ec) {
      OnParseError(ec);
      return;
    }
    if (used == 0) break;
  }
  if (parser_->is_done()) {
    OnRequest();
  } else {
    Read();
  }
}

void ClientSession::OnParseError(boost::system::error_code ec) {
  keep_alive_ = false;
  serving_ = true;
  std::string_view status = "400 Bad Request";
  if (ec == http::error::header_limit) status = "431 Request Header Fields Too Large";
  if (ec == http::error::body_limit) status = "413 Content Too Large";
  Reply("HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 0\r\n", {});
}

void ClientSession::OnRequest() {
  group_->deadlines->Remove(deadline_);
  Request request = parser_->release();
  parser_.reset();
  keep_alive_ = request.keep_alive();
  serving_ = true;
  const auto self = shared_from_this();
  auto pending = group_->handler.OnRequest(self, std::move(request));
  if (serving_) pending_ = std::move(pending);
  if (serving_ && input_.size() < kMaxPipelinedBytes) Read();
}

void ClientSession::OnGone() {
  const auto self = shared_from_this();
  const auto pending = std::move(pending_);
  pending_ = nullptr;
  serving_ = false;
  Close();
  if (pending) pending->OnClientGone();
}

void ClientSession::Reply(std::string head, const std::string& body) {
  if (closed_ || !serving_) return;
  serving_ = false;
  pending_ = nullptr;
  const bool close_after = !keep_alive_ || group_->closing;
  if (close_after) head += "Connection: close\r\n";
  head += "\r\n";
  head += body;
  Write(std::move(head), close_after);
}

void ClientSession::Abort() {
  serving_ = false;
  pending_ = nullptr;
  Close();
}

void ClientSession::Write(std::string text, bool close_after) {
  output_ = std::move(text);
  writing_ = true;
  SetDeadline(group_->limits.write_timeout);
  boost::asio::async_write(
      socket_, boost::asio::buffer(output_),
      [self = shared_from_this(), close_after](boost::system::error_code ec, std::size_t) {
        self->writing_ = false;
        if (self->closed_) return;
        if (ec) {
          self->Close();
          return;
        }
        self->output_ = std::string();
        if (close_after) {
          self->Linger();
          return;
        }
        self->StartParser();
        if (self->input_.empty()) {
          self->SetDeadline(self->group_->limits.idle_timeout);
          self->Read();
        } else {
          self->Advance();
        }
      });
}

void ClientSession::Linger() {
  // Closing with unread bytes resets the connection and may destroy the answer on its way.
  lingering_ = true;
  boost::system::error_code ignored;  // The peer may have closed first.
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  SetDeadline(kLingerTime);
  Read();
}

void ClientSession::CloseIfIdle() {
  if (serving_ || writing_ || lingering_ || closed_ || head_timeout_set_) return;
  Linger();
}

void ClientSession::Close() {
  if (closed_) return;
  closed_ = true;
  group_->deadlines->Remove(deadline_);
  boost::system::error_code ignored;  // Closing a socket that failed has nothing left to report.
  socket_.close(ignored);
}

}  // namespace vanilladeck::gateway
