#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "vanilladeck/core/result.h"

namespace vanilladeck::daemon {

/// A request on the operators' listener.
struct OperatorRequest {
  std::string method;
  std::string target;
  std::string body;
};

struct OperatorResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// The operators' listener could not be opened.
struct OperatorsError {
  std::string address;
  std::string reason;
};

/// HTTP listener for operators, on an address of its own, on the control thread.
class OperatorsListener {
 public:
  using Respond = std::function<void(OperatorResponse)>;
  /// Answers by calling `Respond` once, at once or later on the same thread.
  using Handler = std::function<void(OperatorRequest, Respond)>;

  [[nodiscard]] static core::Result<std::unique_ptr<OperatorsListener>, OperatorsError> Create(
      boost::asio::io_context& context, const std::string& ip, unsigned short port,
      Handler handler);
  ~OperatorsListener();

  /// Limit of a request body; a deployment text of 1.6 million client blocks is about 32 MB.
  static constexpr std::size_t kMaxBodyBytes = 64'000'000;
  /// An operator's connection is closed when it has been idle, or a request has not arrived
  /// whole, for this long.
  static constexpr std::chrono::seconds kIdleTimeout{60};

 private:
  class Acceptor;
  explicit OperatorsListener(std::shared_ptr<Acceptor> acceptor);
  std::shared_ptr<Acceptor> acceptor_;
};

}  // namespace vanilladeck::daemon
