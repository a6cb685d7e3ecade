#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_set>

#include "vanilladeck/core/byte_budget.h"
#include "vanilladeck/gateway/answer_queue.h"
#include "vanilladeck/gateway/arrival_times.h"
#include "vanilladeck/gateway/deadlines.h"
#include "vanilladeck/gateway/message_reader.h"
#include "vanilladeck/gateway/request_body.h"
#include "vanilladeck/gateway/request_handler.h"

namespace vanilladeck::gateway {

class ClientSession;

/// Limits on client requests; changes apply from the next request on.
struct SessionLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 1U << 20U;
  core::Duration header_timeout = std::chrono::seconds(3);
  core::Duration body_timeout = std::chrono::seconds(30);
  core::Duration idle_timeout = std::chrono::seconds(15);
  /// The connection is closed if the client does not read its response within this time.
  core::Duration write_timeout = std::chrono::seconds(10);
};

/// State shared by the sessions of one listener.
struct SessionGroup {
  RequestHandler& handler;
  DeadlinesPtr deadlines;
  core::ByteBudgetPtr budget;
  core::ByteBudgetPtr arriving_bodies;  ///< Part of `budget` for bodies that are passed on.
  SessionLimits limits;
  bool closing = false;  ///< Responses carry `Connection: close`.
  std::unordered_set<ClientSession*> sessions;
  std::uint64_t ran_beside = 0;  ///< Requests started before those ahead of them were answered.
};

/// A client connection: reads requests and writes the responses in their order.
///
/// Keeps reading while requests are served, to detect that the client has disconnected and to start
/// requests that it sent ahead, if the handler lets them run beside those being served. All others
/// wait until every response before theirs is written. What waits is bounded; reading pauses at the
/// bounds and goes on when a response has been written.
class ClientSession : public SlotOwner, public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionGroup> group);
  ~ClientSession() override;
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  void Start();

  void OnAnswered() override;
  void OnAnswerLost() override;

  /// Closes the connection if it has been idle for `min_idle`, its client has received all
  /// responses, and nothing has arrived that waits to be read. The client can tell that a request
  /// in transit was not read, since it gets a reset.
  void CloseIfIdle(core::Duration min_idle);

  /// The process is about to exit: requests being served are answered at once, and one that has not
  /// arrived whole is refused.
  void AnswerAll();

  /// True while the system still sends a response that was written. To close the connection would
  /// drop the rest if the client sends anything more. False again for a client that has received
  /// nothing for the write timeout.
  [[nodiscard]] bool IsDelivering();

  /// Closes the socket of a session that serves no request at once, without lingering.
  void CloseNow() { Close(); }

  /// True if no byte of a request has arrived and no response is being sent.
  [[nodiscard]] bool idle() const noexcept {
    return !busy() && !lingering_ && !closed_ && stage_ == Stage::kNone;
  }
  [[nodiscard]] core::TimePoint idle_since() const noexcept { return idle_since_; }
  [[nodiscard]] bool busy() const noexcept { return !answers_.empty() || writing_; }
  /// True if a part of a request has arrived, or of what follows the last response, and none is
  /// being served.
  [[nodiscard]] bool awaits_request() const noexcept { return !busy() && !closed_ && !idle(); }
  /// When the first byte of the request being read arrived.
  [[nodiscard]] core::TimePoint request_began() const noexcept { return request_began_; }
  /// Number of responses that wait for those before them.
  [[nodiscard]] std::size_t answers_waiting() const noexcept { return answers_.waiting(); }

 private:
  /// How much of the next request has been parsed.
  enum class Stage : std::uint8_t { kNone, kHead, kBody, kComplete };

  void Read();
  void OnRead(boost::system::error_code ec, std::size_t n);
  /// Parses and starts requests as far as possible, then goes on reading.
  void Advance();
  /// False if what has arrived must wait until a response has been written.
  [[nodiscard]] bool MayParse() const;
  /// False if the request whose header section was parsed must wait for those ahead of it.
  [[nodiscard]] bool MayStart() const;
  [[nodiscard]] ReadStatus ParseNext();
  void StartRequest();
  /// True if the body is too large to be read whole and has as many bytes as may be kept.
  [[nodiscard]] bool IsBodyToBePassedOn() const;
  /// Gives the request to the handler while its body arrives. Its response closes the connection.
  void StartArrivingRequest();
  /// Passes on what has been read of the body.
  void OnBodyBytes();
  /// The response needs the rest of the body no longer: reads and drops it.
  void DropBody();
  /// Reads on while what has arrived waits, up to a bound.
  void ReadAhead();
  /// Sends `100 Continue` to a client that waits for it before it sends the body.
  void WriteContinue();
  void Reject(ReadStatus status);
  /// Responds to a request that cannot be read, then closes the connection.
  void RejectAndClose(std::string_view status, std::string_view fields = {});
  /// Forgets the request that is being read and all input behind it.
  void DropInput();
  void OnReadTimeout();
  void OnInputEvicted();
  void OnAnswersEvicted();
  /// Writes the next response if it has been given.
  void WriteNext();
  void OnWritten(bool close_after);
  /// Charges the memory of requests being served and of responses.
  void ChargeAnswers();
  void Linger();
  void Close();
  void SetReadDeadline(core::Duration after);
  /// Sets the deadline of the stage that the request being read is in, unless it is set already.
  void SetStageDeadline();
  void RemoveReadDeadline();

  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<SessionGroup> group_;
  core::ByteBudget::Account input_account_;
  core::ByteBudget::Account answers_account_;
  MessageReader<true> reader_;
  ArrivalTimes arrivals_;
  std::array<char, 4096> buf_{};
  OrderedAnswer output_;  ///< Is being written.
  AnswerQueue answers_;
  Deadlines::Id read_deadline_ = 0;
  Deadlines::Id write_deadline_ = 0;
  core::TimePoint request_began_;  ///< When the first byte of the request being read arrived.
  core::TimePoint idle_since_;
  Stage stage_ = Stage::kNone;
  Stage timed_stage_ = Stage::kNone;  ///< Whose deadline is set; `kNone` if none or another one is.
  bool memory_short_ = false;         ///< The last input was not charged.
  bool writing_ = false;
  bool reading_ = false;
  bool writing_continue_ = false;  ///< `100 Continue` is being written.
  RequestBodyPtr body_;            ///< Of the last request while it arrives; null otherwise.
  bool dropping_body_ = false;     ///< The rest of a body is read and dropped.
  bool lingering_ = false;
  bool closed_ = false;
  std::size_t discarded_bytes_ = 0;    ///< Arrived behind the last request.
  std::size_t undelivered_bytes_ = 0;  ///< At the last call of `IsDelivering`.
  core::TimePoint delivered_at_;       ///< Last progress that `IsDelivering` has seen.
};

}  // namespace vanilladeck::gateway
