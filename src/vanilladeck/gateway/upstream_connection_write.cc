#include <array>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <utility>

#include "vanilladeck/core/free_memory.h"
#include "vanilladeck/gateway/socket_options.h"
#include "vanilladeck/gateway/upstream_connection.h"

/// Writing of requests, those included whose bodies still arrive from the client.

namespace vanilladeck::gateway {
namespace {

// Larger bodies may fill the receive buffer of a server that doesn't read yet.
constexpr std::size_t kMaxUnreadBytes = 65536;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Size line of a chunk.
std::string ChunkHeader(std::size_t size) {
  std::array<char, 24> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%zx\r\n", size);
  return {buf.data(), static_cast<std::size_t>(n)};
}

}  // namespace

void UpstreamConnection::WriteRequest() {
  const std::string_view body =
      request_.body ? std::string_view{*request_.body} : std::string_view{};
  const bool chunked = request_.rest && !request_.rest->length();
  // The user timeout would also end a connection whose peer doesn't read for that time.
  waits_for_reader_ = request_.rest || body.size() > kMaxUnreadBytes;
  if (waits_for_reader_) SetUserTimeout(socket_, deadline_at_ - core::RuntimeClock::now());
  frame_ = chunked ? ChunkHeader(body.size()) : std::string();
  last_chunk_sent_ = false;
  const std::array<boost::asio::const_buffer, 4> buffers{
      boost::asio::buffer(request_.head), boost::asio::buffer(frame_), boost::asio::buffer(body),
      boost::asio::buffer(chunked ? kLineEnd : std::string_view())};
  boost::asio::async_write(
      socket_, buffers, [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        self->account_.CountSent(n);
        self->OnRequestWritten(ec);
      });
}

void UpstreamConnection::OnRequestWritten(boost::system::error_code ec) {
  write_error_ = ec;
  // Frees the body, which is kept by its owner as long as it may be sent again.
  core::FreeMemory(request_.head);
  request_.body = nullptr;
  core::FreeMemory(part_);
  if (!ec && done_ && request_.rest) {
    WriteRest();
    return;
  }
  writing_ = false;
  request_.rest = nullptr;
  if (std::exchange(waits_for_reader_, false)) SetUserTimeout(socket_, core::Duration::zero());
  // A server may respond before it has read the whole request; then the pending read determines the
  // result.
  if (ec && done_ && !reading_) Finish(ExchangeStatus::kClosed, ec.message());
}

void UpstreamConnection::WriteRest() {
  const RequestBodyPtr rest = request_.rest;
  const bool chunked = !rest->length();
  part_ = rest->Take();
  if (part_.empty() && !rest->ended()) {
    rest->AwaitBytes([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->done_) self->WriteRest();
    });
    return;
  }
  if (part_.empty() && (!chunked || last_chunk_sent_)) {
    request_.rest = nullptr;
    OnRequestWritten({});
    return;
  }
  last_chunk_sent_ = part_.empty();
  frame_ = chunked && !last_chunk_sent_ ? ChunkHeader(part_.size()) : std::string();
  const std::string_view end = last_chunk_sent_ ? kLastChunk : kLineEnd;
  const std::array<boost::asio::const_buffer, 3> buffers{
      boost::asio::buffer(frame_), boost::asio::buffer(part_),
      boost::asio::buffer(chunked ? end : std::string_view())};
  boost::asio::async_write(
      socket_, buffers, [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        self->account_.CountSent(n);
        self->OnRequestWritten(ec);
      });
}

}  // namespace vanilladeck::gateway
