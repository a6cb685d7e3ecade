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

/// Keep-alive connections to the platform and the calls that wait for one.
class Pool : public std::enable_shared_from_this<Pool> {
 public:
  using Response = core::Result<HttpResponse, StoreError>;
  using Done = std::function<void(Response)>;

  [[nodiscard]] static core::Result<std::shared_ptr<Pool>, StoreError> Create(
      boost::asio::io_context& context, const ClientSettings& settings);

  Pool(boost::asio::io_context& context, ClientSettings settings);

  void Start(HttpCall call, Done done);

  /// Runs `task` on the context, never from within this function.
  void Post(std::function<void()> task);

  /// Closes all connections; calls that still wait for one fail with `kUnavailable`.
  void Close();

  [[nodiscard]] std::size_t pending() const noexcept;

 private:
  using Tcp = boost::asio::ip::tcp;
  struct Connection {
    Tcp::socket socket;
    /// Bytes of an answer that wait to be parsed.
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
  void StartWaiting();
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
  std::deque<Pending> waiting_;
  std::vector<ConnectionPtr> idle_;  ///< The most recently used one is last.
  std::set<ConnectionPtr> busy_;
  std::size_t in_flight_ = 0;
  std::size_t watches_ = 0;
  bool closed_ = false;
};

}  // namespace vanilladeck::store::impl
