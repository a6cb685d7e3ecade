#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

#include "vanilladeck/core/byte_budget.h"
#include "vanilladeck/gateway/message_body.h"

namespace vanilladeck::gateway {

struct MessageLimits {
  std::uint32_t head_bytes = 65536;
  std::uint64_t body_bytes = 16U << 20U;
};

enum class ReadStatus : std::uint8_t {
  kMore,          ///< The message is not complete.
  kComplete,      ///< Bytes after the message are kept as input.
  kMalformed,     ///< Not HTTP, or too much chunk framing for the body.
  kHeadTooLarge,  ///< The header section has too many bytes or lines.
  kBodyTooLarge,
  kNoMemory,  ///< The memory budget shared by all readers is exhausted.
};

/// Reads HTTP/1.1 messages from a byte stream with bounds on all data that it holds.
///
/// The parser's own limits do not cover header sections whose fields arrive one by one, chunk
/// extensions and trailers, so their bytes are counted here.
template <bool IsRequest>
class MessageReader {
 public:
  using Body = std::conditional_t<IsRequest, GrowingBody, boost::beast::http::string_body>;
  using Message = boost::beast::http::message<IsRequest, Body>;

  /// `account` is charged for the bytes that the reader holds and must outlive it.
  explicit MessageReader(core::ByteBudget::Account& account) : account_(account) {}

  /// Starts the next message; input that has already been appended belongs to it.
  void Start(const MessageLimits& limits, bool has_no_body = false);

  void Append(std::string_view bytes) { input_.append(bytes); }

  /// Parses the input; on `kMore`, call again after `Append`.
  [[nodiscard]] ReadStatus Parse();

  /// Handles the end of the stream: completes a body without a stated length.
  [[nodiscard]] ReadStatus ParseEnd();

  /// Returns the complete message. `Start` must be called before the next one.
  [[nodiscard]] Message Release();

  /// The message without its body, which may be incomplete. The header section must be complete.
  [[nodiscard]] Message CopyHead() const;

  /// Moves the part of the body out that has arrived since the last call.
  [[nodiscard]] std::string TakeBody();

  /// Size of the body if the header section states it.
  [[nodiscard]] std::optional<std::uint64_t> content_length() const;

  /// Discards the message and the input.
  void Reset();

  [[nodiscard]] const Message& message() const { return parser_->get(); }
  [[nodiscard]] bool head_complete() const { return parser_ && parser_->is_header_done(); }
  [[nodiscard]] bool keep_alive() const { return parser_->keep_alive(); }
  [[nodiscard]] std::size_t input_size() const noexcept { return input_.size(); }
  /// Number of bytes that the account is charged for.
  [[nodiscard]] std::size_t held_bytes() const;
  /// Error text, set when `Parse` or `ParseEnd` has returned an error status.
  [[nodiscard]] const std::string& error() const noexcept { return error_; }

 private:
  using Parser = boost::beast::http::parser<IsRequest, Body>;

  /// `pending` is the number of input bytes that cannot be parsed until more arrive.
  [[nodiscard]] ReadStatus CheckBounds(std::size_t pending);
  [[nodiscard]] ReadStatus Fail(ReadStatus status, std::string error);

  core::ByteBudget::Account& account_;
  MessageLimits limits_;
  std::optional<Parser> parser_;
  std::string input_;
  std::size_t head_bytes_ = 0;       ///< Bytes of the header section parsed so far.
  std::size_t head_lines_ = 0;       ///< Lines of the header section parsed so far.
  std::size_t body_wire_bytes_ = 0;  ///< Bytes of the body parsed so far, including framing.
  std::size_t taken_bytes_ = 0;      ///< Bytes of the body that were moved out.
  std::string error_;
};

}  // namespace vanilladeck::gateway
