#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "vanilladeck/core/byte_budget.h"
#include "vanilladeck/gateway/deadlines.h"
#include "vanilladeck/gateway/message_reader.h"

namespace vanilladeck::gateway {

using Request = MessageReader<true>::Message;

class ClientSession;

/// A request on its way through this instance; owned by the handler and the session.
class PendingRequest {
 public:
  virtual ~PendingRequest() = default;
  /// The client closed the connection; nobody waits for an answer.
  virtual void OnClientGone() = 0;
};

/// Serves the requests of sessions; must outlive them.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Answer with `session->Reply`, now or later. A null result means that it has answered.
  [[nodiscard]] virtual std::shared_ptr<PendingRequest> OnRequest(
      const std::shared_ptr<ClientSession>& session, Request request) = 0;
};

/// Limits of what clients may send; changes apply to the next request.
struct SessionLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 1U << 20U;
  core::Duration header_timeout = std::chrono::seconds(3);
  core::Duration body_timeout = std::chrono::seconds(30);
  core::Duration idle_timeout = std::chrono::seconds(15);
  /// A client that does not read its answer for this long loses the connection.
  core::Duration write_timeout = std::chrono::seconds(10);
};

/// What the sessions of one listener share.
struct SessionGroup {
  RequestHandler& handler;
  DeadlinesPtr deadlines;
  core::ByteBudgetPtr budget;
  SessionLimits limits;
  bool closing = false;  ///< Answers carry `Connection: close`.
  std::unordered_set<ClientSession*> sessions;
};

/// One connection of a client: reads requests one by one and writes the answers in order.
///
/// It keeps reading while a request is served, to notice that the client has left.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionGroup> group);
  ~ClientSession();
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  void Start();

  /// Sends the answer to the request under way: `head` is the status line and the fields without
  /// `Connection`, each ended by CRLF; the blank line is added.
  void Reply(std::string head, const std::string& body);

  /// Closes without an answer; for a request that may have run and whose answer is lost.
  void Abort();

  /// Closes the connection if no request has begun to arrive.
  void CloseIfIdle();

  /// Frees the descriptor of an idle session at once.
  void CloseNow() { Close(); }

  /// No request has begun to arrive, and no answer is on its way.
  [[nodiscard]] bool idle() const noexcept {
    return !serving_ && !writing_ && !lingering_ && !closed_ && !head_timeout_set_;
  }
  [[nodiscard]] core::TimePoint idle_since() const noexcept { return idle_since_; }
  [[nodiscard]] bool busy() const noexcept { return serving_ || writing_; }
  /// When the first byte of the request under way arrived.
  [[nodiscard]] core::TimePoint request_began() const noexcept { return request_began_; }

 private:
  void Read();
  void OnRead(boost::system::error_code ec, std::size_t n);
  void Advance();
  void StartReader();
  /// Invites the body of a request that expects it.
  void WriteContinue();
  /// Answers a request that cannot be read and closes.
  void RejectAndClose(std::string_view status, std::string_view fields = {});
  void OnRequest();
  void OnEvicted();
  void OnDisconnected();
  void Write(std::string text, bool close_after);
  void OnWritten(bool close_after);
  void Linger();
  void Close();
  void SetDeadline(core::Duration after);

  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<SessionGroup> group_;
  core::ByteBudget::Account account_;
  MessageReader<true> reader_;
  std::array<char, 4096> buf_{};
  std::string output_;
  Deadlines::Id deadline_ = 0;
  std::shared_ptr<PendingRequest> pending_;
  core::TimePoint request_began_;
  core::TimePoint idle_since_;
  bool head_timeout_set_ = false;
  bool body_timeout_set_ = false;
  bool serving_ = false;
  bool writing_ = false;
  bool reading_ = false;
  bool writing_continue_ = false;  ///< The invitation of a body is being written.
  bool lingering_ = false;
  std::size_t lingered_bytes_ = 0;
  bool keep_alive_ = true;
  bool closed_ = false;
};

}  // namespace vanilladeck::gateway
