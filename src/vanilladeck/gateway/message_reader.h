#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "vanilladeck/core/byte_budget.h"

namespace vanilladeck::gateway {

struct MessageLimits {
  std::uint32_t head_bytes = 65536;
  std::uint64_t body_bytes = 16U << 20U;
};

enum class ReadStatus : std::uint8_t {
  kMore,          ///< The message is not complete.
  kComplete,      ///< Bytes that follow it are kept as input.
  kMalformed,     ///< Not HTTP, or more framing than a sender needs.
  kHeadTooLarge,  ///< Too many bytes or fields.
  kBodyTooLarge,
  kNoMemory,  ///< The budget of all readers has no room.
};

/// Reads HTTP/1.1 messages from a byte stream with bounds on everything that it keeps.
///
/// The parser's own limits leave out heads whose fields arrive one by one, chunk extensions and
/// trailers; their bytes are counted here.
template <bool IsRequest>
class MessageReader {
 public:
  using Message = boost::beast::http::message<IsRequest, boost::beast::http::string_body>;

  /// `account` is charged for what the reader holds and must outlive it. A body counts
  /// `body_copies` times.
  explicit MessageReader(core::ByteBudget::Account& account, std::size_t body_copies = 1)
      : account_(account), body_copies_(body_copies) {}

  /// Begins the next message; input that was appended already belongs to it.
  void Start(const MessageLimits& limits, bool has_no_body = false);

  void Append(std::string_view bytes) { input_.append(bytes); }

  /// Parses the input; call again after `Append` when more is needed.
  [[nodiscard]] ReadStatus Parse();

  /// The stream ended: completes a body that has no length of its own.
  [[nodiscard]] ReadStatus ParseEnd();

  /// Takes the complete message; `Start` comes next.
  [[nodiscard]] Message Release();

  /// Drops message and input.
  void Reset();

  [[nodiscard]] const Message& message() const { return parser_->get(); }
  [[nodiscard]] bool head_complete() const { return parser_ && parser_->is_header_done(); }
  [[nodiscard]] bool keep_alive() const { return parser_->keep_alive(); }
  [[nodiscard]] std::size_t input_size() const noexcept { return input_.size(); }
  /// Bytes that the account is charged for.
  [[nodiscard]] std::size_t held_bytes() const;
  /// What was wrong, after a status that ends the message.
  [[nodiscard]] const std::string& error() const noexcept { return error_; }

 private:
  using Parser = boost::beast::http::parser<IsRequest, boost::beast::http::string_body>;

  /// `pending` bytes of the input wait for more before they can be parsed.
  [[nodiscard]] ReadStatus CheckBounds(std::size_t pending);
  [[nodiscard]] ReadStatus Fail(ReadStatus status, std::string error);

  core::ByteBudget::Account& account_;
  std::size_t body_copies_;
  MessageLimits limits_;
  std::optional<Parser> parser_;
  std::string input_;
  std::size_t head_bytes_ = 0;       ///< Parsed so far.
  std::size_t head_lines_ = 0;       ///< Likewise.
  std::size_t body_wire_bytes_ = 0;  ///< Bytes parsed of the body with its framing.
  std::string error_;
};

}  // namespace vanilladeck::gateway
