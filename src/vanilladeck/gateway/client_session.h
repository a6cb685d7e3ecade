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

/// A request that this instance has accepted and not yet answered; owned by the handler and the
/// session.
class PendingRequest {
 public:
  virtual ~PendingRequest() = default;
  /// The client closed the connection; no response can be sent.
  virtual void OnClientGone() = 0;
};

/// Handles the requests of sessions; must outlive them.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Responds through `session->Reply`, at once or later. Returns null if it has responded already.
  [[nodiscard]] virtual std::shared_ptr<PendingRequest> OnRequest(
      const std::shared_ptr<ClientSession>& session, Request request) = 0;
};

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
  SessionLimits limits;
  bool closing = false;  ///< Responses carry `Connection: close`.
  std::unordered_set<ClientSession*> sessions;
};

/// A client connection: reads requests one at a time and writes the responses in order.
///
/// Keeps reading while a request is served, to detect that the client has disconnected.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<SessionGroup> group);
  ~ClientSession();
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  void Start();

  /// Sends the response to the current request. `head` is the status line and the header fields
  /// except `Connection`, each terminated by CRLF; the blank line is added.
  void Reply(std::string head, const std::string& body);

  /// Closes without a response, for a request that may have run but whose response is lost.
  void Abort();

  /// Closes the connection if it has been idle for `min_idle` and nothing has arrived that waits to
  /// be read. The client can tell that a request in transit was not read, since it gets a reset.
  void CloseIfIdle(core::Duration min_idle);

  /// Closes the socket of an idle session at once, without lingering.
  void CloseNow() { Close(); }

  /// True if no byte of a request has arrived and no response is being sent.
  [[nodiscard]] bool idle() const noexcept {
    return !serving_ && !writing_ && !lingering_ && !closed_ && !head_timeout_set_;
  }
  [[nodiscard]] core::TimePoint idle_since() const noexcept { return idle_since_; }
  [[nodiscard]] bool busy() const noexcept { return serving_ || writing_; }
  /// When the first byte of the current request arrived.
  [[nodiscard]] core::TimePoint request_began() const noexcept { return request_began_; }

 private:
  void Read();
  void OnRead(boost::system::error_code ec, std::size_t n);
  void Advance();
  void StartReader();
  /// Sends `100 Continue` to a client that waits for it before it sends the body.
  void WriteContinue();
  /// Responds to a request that cannot be read, then closes the connection.
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
  bool writing_continue_ = false;  ///< `100 Continue` is being written.
  bool lingering_ = false;
  std::size_t lingered_bytes_ = 0;
  bool keep_alive_ = true;
  bool closed_ = false;
};

}  // namespace vanilladeck::gateway
