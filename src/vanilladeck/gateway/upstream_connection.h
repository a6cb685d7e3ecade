#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "vanilladeck/core/byte_budget.h"
#include "vanilladeck/gateway/deadlines.h"
#include "vanilladeck/gateway/message_reader.h"
#include "vanilladeck/gateway/request_body.h"

namespace vanilladeck::gateway {

using Response = MessageReader<false>::Message;

enum class ExchangeStatus : std::uint8_t {
  kResponse,  ///< A complete response.
  kClosed,    ///< Closed or reset before the response was complete.
  kTimeout,
  kMalformed,  ///< Not a response, or one that exceeds the limits.
  kNoMemory,   ///< The memory budget for all messages is exhausted.
  kCancelled,
};

inline constexpr std::array<std::string_view, 6> kExchangeStatusNames{
    "response", "closed", "timeout", "malformed", "no-memory", "cancelled"};

/// Role of the peer.
enum class UpstreamRole : std::uint8_t {
  kServer,
  kControl,  ///< The store or another instance; its messages have priority over all others.
};

/// The received part of a response.
struct Transfer {
  std::size_t bytes = 0;
  core::Duration duration{0};  ///< Since the first byte.
};

struct ExchangeOutcome {
  ExchangeStatus status = ExchangeStatus::kClosed;
  Response response;  ///< Set for `kResponse`.
  Transfer transfer;
  std::string detail;
};

/// A request as it is written to the peer.
struct OutgoingRequest {
  std::string head;  ///< Up to and including the blank line.
  /// Not copied, since it may have to be sent again; null if there is none.
  std::shared_ptr<const std::string> body;
  /// What follows `body`; null if that is whole. Its framing must be stated in `head`.
  RequestBodyPtr rest;
};

/// An outgoing connection for HTTP/1.1 exchanges, one at a time. Single-threaded.
///
/// An idle connection is closed when the peer closes it or sends unexpected bytes. A connection is
/// not reusable unless its last exchange ended cleanly. Responses that exceed the limits end the
/// exchange as malformed.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using ConnectDone = std::function<void(boost::system::error_code)>;
  using ExchangeDone = std::function<void(ExchangeOutcome)>;
  /// Returns true if the response belongs to the request. Others are skipped.
  using ResponseFilter = std::function<bool(const Response&)>;

  UpstreamConnection(boost::asio::io_context& context, DeadlinesPtr deadlines,
                     core::ByteBudgetPtr budget, UpstreamRole role);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  void Connect(const boost::asio::ip::tcp::endpoint& endpoint, core::TimePoint deadline,
               ConnectDone done);

  /// `done` runs exactly once, also after `Cancel`. On a control connection the deadline is
  /// extended while bytes arrive, within `kMaxTransferTime`.
  ///
  /// A response that arrives before the whole request was written ends the exchange. Then nothing
  /// more is sent and the connection is closed, because the peer would take other bytes for the
  /// rest of the request.
  void Exchange(OutgoingRequest request, bool is_head, core::TimePoint deadline,
                ResponseFilter filter, ExchangeDone done);
  void Exchange(std::string request, bool is_head, core::TimePoint deadline, ResponseFilter filter,
                ExchangeDone done) {
    Exchange(OutgoingRequest{std::move(request), nullptr, nullptr}, is_head, deadline,
             std::move(filter), std::move(done));
  }

  /// Longest time without a byte before a transfer from the store or another instance ends; covers
  /// the retransmission of a lost packet.
  static constexpr core::Duration kStallTimeout = std::chrono::milliseconds(600);
  /// Bound on an exchange with a control peer that keeps sending. The largest policy that the store
  /// takes, 1.4 MB with its encoding, arrives in half of this time on a link of 4 Mbit/s.
  static constexpr core::Duration kMaxTransferTime = std::chrono::seconds(6);

  /// Closes the connection and ends the current exchange.
  void Cancel();

  /// `on_progress` runs whenever part of a response has arrived.
  void SetProgressHandler(std::function<void()> on_progress) {
    on_progress_ = std::move(on_progress);
  }

  /// Watches an idle connection; `on_closed` runs when the peer closes it or sends bytes.
  void WatchIdle(std::function<void()> on_closed);

  /// Checks the socket: true if the peer has neither closed the connection nor sent anything.
  [[nodiscard]] bool IsStillIdle();

  [[nodiscard]] bool reusable() const noexcept { return reusable_ && socket_.is_open(); }
  /// True if an exchange preceded the current one.
  [[nodiscard]] bool reused() const noexcept { return exchanges_ > 1; }
  [[nodiscard]] core::TimePoint idle_since() const noexcept { return idle_since_; }
  /// Idle timeout of the peer, if it states one.
  [[nodiscard]] std::optional<core::Duration> keep_alive() const noexcept { return keep_alive_; }

 private:
  void WriteRequest();
  /// Writes what has arrived of the rest of the body, or waits for more.
  void WriteRest();
  void OnRequestWritten(boost::system::error_code ec);
  void Read();
  void OnRead(boost::system::error_code ec, std::size_t n);
  void OnEndOfStream();
  /// Ends the exchange after the end of the stream, with a response if it is complete by that.
  void CompleteAtEnd();
  void SetDeadline(core::TimePoint deadline);
  /// Moves the deadline after bytes have arrived.
  void ExtendDeadline();
  void OnReadStatus(ReadStatus status);
  enum class Match : std::uint8_t { kMatching, kSkipped, kUnexpected };
  /// Whether the response ends the exchange or is skipped.
  [[nodiscard]] Match MatchResponse();
  void OnEvicted();
  void Finish(ExchangeStatus status, std::string detail);
  void Close();
  /// Closes the connection with a reset, so that the system drops what it has not delivered.
  /// Otherwise the server may get a request long after it was given up, when a partition ends.
  void Abort();

  boost::asio::ip::tcp::socket socket_;
  DeadlinesPtr deadlines_;
  UpstreamRole role_;
  MessageLimits limits_;
  Deadlines::Id deadline_ = 0;
  core::TimePoint deadline_at_;
  OutgoingRequest request_;
  std::string frame_;  ///< Size line of the chunk that is written; empty without chunks.
  std::string part_;   ///< Part of the rest of the body that is written.
  bool last_chunk_sent_ = false;
  bool waits_for_reader_ = false;          ///< The user timeout is extended.
  bool writing_ = false;                   ///< Also while the rest of the body is awaited.
  boost::system::error_code write_error_;  ///< Of the current exchange.
  bool reading_ = false;
  bool is_head_ = false;
  bool reusable_ = false;
  std::size_t bytes_received_ = 0;
  core::TimePoint sent_at_;
  core::TimePoint first_byte_at_;
  std::uint32_t exchanges_ = 0;
  int interim_responses_ = 0;
  int dropped_responses_ = 0;
  core::ByteBudget::Account account_;
  MessageReader<false> reader_;
  std::array<char, 8192> buf_{};
  ResponseFilter response_filter_;
  ExchangeDone done_;
  ConnectDone connect_done_;
  std::function<void()> on_idle_closed_;
  std::function<void()> on_progress_;
  core::TimePoint idle_since_;
  std::optional<core::Duration> keep_alive_;
};

}  // namespace vanilladeck::gateway
