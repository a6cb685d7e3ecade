#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "vanilladeck/gateway/client_session.h"

namespace vanilladeck::gateway {

/// Accepts connections and runs a `ClientSession` on each.
class Listener {
 public:
  Listener(boost::asio::io_context& context, DeadlinesPtr deadlines,
           const core::ByteBudgetPtr& budget, RequestHandler& handler, std::size_t max_sessions);

  /// Can be called again after an error.
  [[nodiscard]] boost::system::error_code Open(const boost::asio::ip::tcp::endpoint& endpoint);
  [[nodiscard]] bool open() const noexcept { return acceptor_.is_open(); }
  /// Accepts the connections that wait, then closes the listening socket.
  void Close();

  /// The sessions, kept alive while the result is, so that it can be walked while they close.
  [[nodiscard]] std::vector<std::shared_ptr<ClientSession>> Sessions() const;
  [[nodiscard]] SessionGroup& group() noexcept { return *group_; }
  [[nodiscard]] const SessionGroup& group() const noexcept { return *group_; }

 private:
  void Accept();
  /// Closes the session that has been idle longest, or the one whose request has been arriving
  /// longest; false if all are being served.
  bool MakeRoom();
  void AcceptWaiting();
  void StartSession(boost::asio::ip::tcp::socket socket);
  void OnAccept(boost::system::error_code ec, boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<SessionGroup> group_;
  std::size_t max_sessions_;
};

}  // namespace vanilladeck::gateway
