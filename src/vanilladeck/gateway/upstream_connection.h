#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "vanilladeck/core/byte_budget.h"
#include "vanilladeck/gateway/deadlines.h"
#include "vanilladeck/gateway/message_reader.h"

namespace vanilladeck::gateway {

using Response = MessageReader<false>::Message;

enum class ExchangeStatus : std::uint8_t {
  kResponse,  ///< A whole response.
  kClosed,    ///< Closed or reset before a whole response.
  kTimeout,
  kMalformed,  ///< The bytes are no response, or the response is over the limits.
  kNoMemory,   ///< The bytes of all messages together reached the limit.
  kCancelled,
};

inline constexpr std::array<std::string_view, 6> kExchangeStatusNames{
    "response", "closed", "timeout", "malformed", "no-memory", "cancelled"};

/// What the other end of a connection is to this process.
enum class UpstreamRole : std::uint8_t {
  kServer,
  kControl,  ///< The store or another instance; messages of clients and servers give way to its.
};

struct ExchangeOutcome {
  ExchangeStatus status = ExchangeStatus::kClosed;
  Response response;               ///< Set for `kResponse`.
  bool any_byte_received = false;  ///< Part of a response arrived.
  std::string detail;
};

/// A client connection for HTTP/1.1 exchanges, one at a time, on one thread.
///
/// While idle it watches for the peer's close and for stray bytes; either ends it. A connection
/// whose last exchange left any doubt reports that it is not reusable. Responses over the limits
/// end the exchange as malformed.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using ConnectDone = std::function<void(boost::system::error_code)>;
  using ExchangeDone = std::function<void(ExchangeOutcome)>;
  /// True if the response belongs to the request; others are dropped and the next one is awaited.
  using ResponseFilter = std::function<bool(const Response&)>;

  UpstreamConnection(boost::asio::io_context& context, DeadlinesPtr deadlines,
                     core::ByteBudgetPtr budget, UpstreamRole role);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  void Connect(const boost::asio::ip::tcp::endpoint& endpoint, core::TimePoint deadline,
               ConnectDone done);

  /// `done` runs exactly once, also after `Cancel`.
  void Exchange(std::string request, bool is_head, core::TimePoint deadline, ResponseFilter filter,
                ExchangeDone done);

  /// Ends the connection and the exchange under way.
  void Cancel();

  /// Watches an idle connection; `on_closed` runs when it ends by itself.
  void WatchIdle(std::function<void()> on_closed);

  /// Asks the kernel whether the idle peer has neither closed nor sent anything.
  [[nodiscard]] bool IsStillIdle();

  [[nodiscard]] bool reusable() const noexcept { return reusable_ && socket_.is_open(); }
  [[nodiscard]] core::TimePoint idle_since() const noexcept { return idle_since_; }
  /// How long the peer keeps the connection when idle, if it says so.
  [[nodiscard]] std::optional<core::Duration> keep_alive() const noexcept { return keep_alive_; }

 private:
  void Read();
  void OnRead(boost::system::error_code ec, std::size_t n);
  void Parse();
  void OnReadStatus(ReadStatus status);
  enum class Match : std::uint8_t { kMatching, kSkipped, kUnexpected };
  /// Whether the response ends the exchange, or the next one is awaited.
  [[nodiscard]] Match MatchResponse();
  void OnEvicted();
  void Finish(ExchangeStatus status, std::string detail);
  void Close();

  boost::asio::ip::tcp::socket socket_;
  DeadlinesPtr deadlines_;
  UpstreamRole role_;
  MessageLimits limits_;
  Deadlines::Id deadline_ = 0;
  std::string request_;
  bool writing_ = false;
  bool reading_ = false;
  bool is_head_ = false;
  bool reusable_ = false;
  bool any_byte_received_ = false;
  int interim_responses_ = 0;
  int dropped_responses_ = 0;
  core::ByteBudget::Account account_;
  MessageReader<false> reader_;
  std::array<char, 8192> buf_{};
  ResponseFilter response_filter_;
  ExchangeDone done_;
  ConnectDone connect_done_;
  std::function<void()> on_idle_closed_;
  core::TimePoint idle_since_;
  std::optional<core::Duration> keep_alive_;
};

}  // namespace vanilladeck::gateway
