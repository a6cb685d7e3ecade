#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "vanilladeck/core/result.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/store/client.h"
#include "vanilladeck/store/impl/codec.h"

namespace vanilladeck::store::impl {

/// Pool of keep-alive connections to the platform with a queue of waiting calls.
class Pool : public std::enable_shared_from_this<Pool> {
 public:
  using Response = core::Result<HttpResponse, StoreError>;
  using Done = std::function<void(Response)>;

  [[nodiscard]] static core::Result<std::shared_ptr<Pool>, StoreError> Create(
      boost::asio::io_context& context, const ClientSettings& settings);

  Pool(boost::asio::io_context& context, ClientSettings settings);

  void Start(HttpCall call, Done done);

  /// Runs `task` on the context after this function has returned.
  void Post(std::function<void()> task);

  /// Closes all connections; queued calls fail with `kUnavailable`.
  void Close();

  [[nodiscard]] std::size_t pending() const noexcept;

 private:
  using Tcp = boost::asio::ip::tcp;
  struct Connection {
    Tcp::socket socket;
    /// Limit of buffered response bytes that are not parsed yet.
    static constexpr std::size_t kMaxUnparsedBytes = 65536;
    boost::beast::flat_buffer buf{kMaxUnparsedBytes};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Pending {
    HttpCall call;
    Done done;
    core::TimePoint deadline;
  };

  void Fail(Pending pending, StoreErrorCode code);
  void Launch(Pending pending);
  void StartQueued();
  [[nodiscard]] ConnectionPtr TakeConnection();
  void Finish(const Pending& pending, const ConnectionPtr& connection, bool reusable);

  static boost::asio::awaitable<void> Run(std::shared_ptr<Pool> self, Pending pending);
  boost::asio::awaitable<Response> Exchange(ConnectionPtr connection, const HttpCall* call,
                                            bool* reusable);
  boost::asio::awaitable<bool> Connect(ConnectionPtr connection);

  boost::asio::io_context& context_;
  ClientSettings settings_;
  Tcp::endpoint remote_;
  std::optional<Tcp::endpoint> local_;
  std::deque<Pending> queue_;
  std::vector<ConnectionPtr> idle_;  ///< The most recently used one is last.
  std::set<ConnectionPtr> active_;
  std::size_t in_flight_ = 0;
  std::size_t watches_ = 0;
  bool closed_ = false;
};

}  // namespace vanilladeck::store::impl
