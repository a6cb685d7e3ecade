#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "vanilladeck/gateway/client_session.h"

namespace vanilladeck::gateway {

/// Accepts connections and runs a `ClientSession` on each.
class Listener {
 public:
  Listener(boost::asio::io_context& context, DeadlinesPtr deadlines, RequestHandler& handler,
           std::size_t max_sessions);

  [[nodiscard]] boost::system::error_code Open(const boost::asio::ip::tcp::endpoint& endpoint);
  void Close();

  [[nodiscard]] SessionGroup& group() noexcept { return *group_; }

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<SessionGroup> group_;
  std::size_t max_sessions_;
};

}  // namespace vanilladeck::gateway
