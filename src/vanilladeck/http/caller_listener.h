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

/// A caller's request while it is being served.
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

  /// Answers requests that can be served without waiting; on nullopt `Serve` is called.
  [[nodiscard]] virtual std::optional<Response> ServeNow(const Request& request,
                                                         std::string_view peer_ip) = 0;

  /// `exchange` outlives the returned awaitable.
  [[nodiscard]] virtual boost::asio::awaitable<Response> Serve(CallerExchange& exchange) = 0;

  /// Called for a request that was refused before it was completely read.
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

/// Accepts HTTP/1.1 connections from callers (the HTTP clients), with keep-alive.
class CallerListener {
 public:
  /// Binds and listens before it returns. `handler` must outlive the run of `context`.
  [[nodiscard]] static core::Result<std::unique_ptr<CallerListener>, ListenError> Create(
      boost::asio::io_context& context, const std::string& ip, std::uint16_t port,
      const ListenerLimits& limits, CallerHandler& handler);

  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;
  ~CallerListener();

  void Start();

  /// Adds `Connection: close` to all further responses; new connections are still accepted.
  void CloseAfterResponses();

  /// Stops accepting connections and closes those without a request in progress.
  void StopAccepting();

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::size_t connections() const;

  /// Number of requests that are being read, served or answered.
  [[nodiscard]] std::size_t active_requests() const;

 private:
  struct State;
  explicit CallerListener(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace vanilladeck::http
