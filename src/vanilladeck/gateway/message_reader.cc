#include "vanilladeck/gateway/message_reader.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "vanilladeck/core/free_memory.h"
#include "vanilladeck/http/header_fields.h"
#include "vanilladeck/http/message.h"

namespace vanilladeck::gateway {
namespace {

namespace http = boost::beast::http;

// Chunk headers, chunk extensions and trailers may take this many bytes plus the size of the body,
// which suffices for chunks of 6 bytes.
constexpr std::size_t kMaxFramingBytes = 16384;
// Common servers accept 100 header fields.
constexpr std::size_t kMaxHeadLines = 256;
// Overhead of the parser per field, in addition to its text.
constexpr std::size_t kFieldBytes = 96;

std::optional<std::string> StatusError(const MessageReader<false>::Message& response) {
  const unsigned status = response.result_int();
  if (!vanilladeck::http::IsValidStatusCode(status)) return "status code " + std::to_string(status);
  return std::nullopt;
}

std::optional<std::string> StatusError(const MessageReader<true>::Message& /*request*/) {
  return std::nullopt;
}

/// Returns why a header section that the parser has accepted can't be used; none if it can.
template <class Message>
std::optional<std::string> HeaderError(const Message& message) {
  if (auto error = StatusError(message)) return error;
  // The end of such a body isn't known: the parser takes a request for one without a body, and the
  // bytes of its body for the next request.
  if (vanilladeck::http::HasUnsupportedTransferCoding(message)) {
    return "unsupported transfer coding";
  }
  return std::nullopt;
}

}  // namespace

template <bool IsRequest>
void MessageReader<IsRequest>::Start(const MessageLimits& limits, bool has_no_body) {
  limits_ = limits;
  parser_.emplace();
  parser_->header_limit(limits.head_bytes);
  parser_->body_limit(limits.body_bytes);
  parser_->skip(has_no_body);
  head_bytes_ = 0;
  head_lines_ = 0;
  body_wire_bytes_ = 0;
  taken_bytes_ = 0;
  error_.clear();
}

template <bool IsRequest>
ReadStatus MessageReader<IsRequest>::Parse() {
  while (!input_.empty() && !parser_->is_done()) {
    const bool in_head = !parser_->is_header_done();
    // The header section is parsed separately, so that its bytes are counted apart from the body's.
    parser_->eager(!in_head);
    boost::system::error_code ec;
    std::size_t used = 0;
    try {
      used = parser_->put(boost::asio::buffer(input_), ec);
    } catch (const std::exception& error) {
      // The parser throws for fields of more than 64 KiB and when memory runs out.
      return Fail(in_head ? ReadStatus::kHeadTooLarge : ReadStatus::kMalformed, error.what());
    }
    if (in_head) {
      head_bytes_ += used;
      head_lines_ += static_cast<std::size_t>(
          std::count(input_.begin(), input_.begin() + static_cast<std::ptrdiff_t>(used), '\n'));
    } else {
      body_wire_bytes_ += used;
    }
    // The parser takes whole lines of the header section.
    const bool folded =
        !IsRequest && in_head && vanilladeck::http::HasFoldedLine({input_.data(), used});
    input_.erase(0, used);
    if (folded) return Fail(ReadStatus::kMalformed, "folded header line");
    if (ec == http::error::header_limit) return Fail(ReadStatus::kHeadTooLarge, ec.message());
    if (ec == http::error::body_limit) return Fail(ReadStatus::kBodyTooLarge, ec.message());
    if (ec && ec != http::error::need_more) return Fail(ReadStatus::kMalformed, ec.message());
    if (in_head && head_complete()) {
      if (auto error = HeaderError(parser_->get())) {
        return Fail(ReadStatus::kMalformed, std::move(*error));
      }
    }
    const bool stuck = ec == http::error::need_more || used == 0;
    if (const auto it = CheckBounds(stuck ? input_.size() : 0); it != ReadStatus::kMore) return it;
    if (stuck) break;
  }
  return parser_->is_done() ? ReadStatus::kComplete : ReadStatus::kMore;
}

template <bool IsRequest>
ReadStatus MessageReader<IsRequest>::ParseEnd() {
  if (!head_complete()) return Fail(ReadStatus::kMalformed, "end of stream in the header section");
  boost::system::error_code ec;
  parser_->put_eof(ec);
  if (ec || !parser_->is_done()) return Fail(ReadStatus::kMalformed, "end of stream within body");
  return ReadStatus::kComplete;
}

template <bool IsRequest>
ReadStatus MessageReader<IsRequest>::CheckBounds(std::size_t pending) {
  const std::size_t body = taken_bytes_ + parser_->get().body().size();
  const std::size_t head = head_bytes_ + (head_complete() ? 0 : pending);
  if (head > limits_.head_bytes || head_lines_ > kMaxHeadLines) {
    return Fail(ReadStatus::kHeadTooLarge, "header section exceeds the limits");
  }
  if (head_complete() &&
      (pending > kMaxFramingBytes || body_wire_bytes_ + pending > kMaxFramingBytes + 2 * body)) {
    return Fail(ReadStatus::kMalformed, "chunk framing exceeds its limit");
  }
  if (!account_.TryResize(held_bytes())) return Fail(ReadStatus::kNoMemory, "memory limit reached");
  return ReadStatus::kMore;
}

template <bool IsRequest>
std::size_t MessageReader<IsRequest>::held_bytes() const {
  if (!parser_) return input_.size();
  const std::string& body = parser_->get().body();
  // The memory of a response's body is reserved by the stated length and used as bytes arrive.
  const std::size_t body_bytes = IsRequest ? body.capacity() : body.size();
  return input_.size() + head_bytes_ + head_lines_ * kFieldBytes + body_bytes;
}

template <bool IsRequest>
typename MessageReader<IsRequest>::Message MessageReader<IsRequest>::CopyHead() const {
  return Message(parser_->get().base());
}

template <bool IsRequest>
std::string MessageReader<IsRequest>::TakeBody() {
  std::string body = std::exchange(parser_->get().body(), {});
  taken_bytes_ += body.size();
  return body;
}

template <bool IsRequest>
std::optional<std::uint64_t> MessageReader<IsRequest>::content_length() const {
  const auto length = parser_->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

template <bool IsRequest>
typename MessageReader<IsRequest>::Message MessageReader<IsRequest>::Release() {
  Message message = parser_->release();
  parser_.reset();
  return message;
}

template <bool IsRequest>
void MessageReader<IsRequest>::Reset() {
  parser_.reset();
  core::FreeMemory(input_);
}

template <bool IsRequest>
ReadStatus MessageReader<IsRequest>::Fail(ReadStatus status, std::string error) {
  error_ = std::move(error);
  return status;
}

template class MessageReader<true>;
template class MessageReader<false>;

}  // namespace vanilladeck::gateway
