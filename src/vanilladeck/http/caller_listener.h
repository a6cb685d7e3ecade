#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/http/message.h"
#include "vanilladeck/http/problem.h"

namespace vanilladeck::http {

/// One request of a caller while it is being served.
struct CallerExchange {
  Request request;
  std::string peer_ip;
  core::TimePoint arrived;
  /// Called at most once when the caller closes its connection before the response is sent.
  std::function<void()> on_disconnect;
  bool disconnected = false;
};

/// Serves the requests that a `CallerListener` reads.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;

  /// Answers requests that need no waiting; none passes the request on to `Serve`.
  [[nodiscard]] virtual std::optional<Response> ServeNow(const Request& request,
                                                         std::string_view peer_ip) = 0;

  /// `exchange` outlives the returned operation.
  [[nodiscard]] virtual boost::asio::awaitable<Response> Serve(CallerExchange& exchange) = 0;

  /// Reports a request that was refused before it could be read whole.
  virtual void OnRefused(const Problem& problem) = 0;
};

struct ListenerLimits {
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
  std::size_t max_connections = 0;
};

struct ListenError {
  std::string detail;
};

/// HTTP/1.1 listener with keep-alive for callers.
class CallerListener {
 public:
  /// Binds at once; `handler` must outlive the io_context's run.
  [[nodiscard]] static core::Result<std::unique_ptr<CallerListener>, ListenError> Create(
      boost::asio::io_context& context, const std::string& ip, std::uint16_t port,
      const ListenerLimits& limits, CallerHandler& handler);

  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;
  ~CallerListener();

  void Start();

  /// From now on each response carries `Connection: close`; connections stay accepted.
  void CloseAfterResponses();

  /// Stops accepting and closes the connections without a request in progress.
  void StopAccepting();

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::size_t connections() const;

  /// Requests that are being read, served or answered.
  [[nodiscard]] std::size_t active_requests() const;

 private:
  struct State;
  explicit CallerListener(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace vanilladeck::http
