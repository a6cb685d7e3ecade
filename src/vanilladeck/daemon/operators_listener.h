#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "vanilladeck/config/operator_api.h"
#include "vanilladeck/core/result.h"

namespace vanilladeck::daemon {

/// The operators' listener could not be opened.
struct OperatorsError {
  std::string address;
  std::string reason;
};

/// HTTP listener for operators; runs on the control thread and has its own address.
class OperatorsListener {
 public:
  using Respond = std::function<void(config::OperatorResponse)>;
  /// Must call `Respond` exactly once, immediately or later on the same thread.
  using Handler = std::function<void(config::OperatorRequest, Respond)>;

  [[nodiscard]] static core::Result<std::unique_ptr<OperatorsListener>, OperatorsError> Create(
      boost::asio::io_context& context, const std::string& ip, unsigned short port,
      Handler handler);
  ~OperatorsListener();

  /// Limit of a request body; a deployment text of 1.6 million client blocks is about 32 MB.
  static constexpr std::size_t kMaxBodyBytes = 64'000'000;
  /// A connection is closed when it has been idle, or a request has not been received completely,
  /// for this long.
  static constexpr std::chrono::seconds kIdleTimeout{60};

 private:
  class Acceptor;
  explicit OperatorsListener(std::shared_ptr<Acceptor> acceptor);
  std::shared_ptr<Acceptor> acceptor_;
};

}  // namespace vanilladeck::daemon
