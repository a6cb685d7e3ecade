#include "vanilladeck/store/impl/pool.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <exception>
#include <utility>

namespace vanilladeck::store::impl {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// The largest response is a list of the operation records of one bucket.
constexpr std::uint64_t kMaxResponseBytes = 64ULL * 1024 * 1024;

core::Result<asio::ip::tcp::endpoint, StoreError> ParseEndpoint(const std::string& text) {
  const auto malformed = [&] {
    return core::failure(StoreError{StoreErrorCode::kProtocol, "address " + text});
  };
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return malformed();
  std::uint16_t port = 0;
  const char* last = text.data() + text.size();
  const auto [end, ec] = std::from_chars(text.data() + colon + 1, last, port);
  boost::system::error_code bad_ip;
  const auto ip = asio::ip::make_address(text.substr(0, colon), bad_ip);
  if (ec != std::errc() || end != last || port == 0 || bad_ip) return malformed();
  return asio::ip::tcp::endpoint(ip, port);
}

/// False if the peer closed the idle connection or sent unsolicited bytes.
bool IsUsable(asio::ip::tcp::socket& socket) {
  boost::system::error_code ec;
  socket.non_blocking(true, ec);
  if (ec) return false;
  std::array<char, 1> byte{};
  socket.receive(asio::buffer(byte), asio::socket_base::message_peek, ec);
  return ec == asio::error::would_block;
}

void Rethrow(std::exception_ptr error) {  // NOLINT(performance-unnecessary-value-param): Asio's API
  if (error) std::rethrow_exception(error);
}

}  // namespace

core::Result<std::shared_ptr<Pool>, StoreError> Pool::Create(asio::io_context& context,
                                                             const ClientSettings& settings) {
  auto pool = std::make_shared<Pool>(context, settings);
  BOOST_OUTCOME_TRY(pool->remote_, ParseEndpoint(settings.address));
  if (!settings.local_address.empty()) {
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(settings.local_address, ec);
    if (ec) {
      return core::failure(
          StoreError{StoreErrorCode::kProtocol, "local address " + settings.local_address});
    }
    pool->local_ = Tcp::endpoint(ip, 0);
  }
  return pool;
}

Pool::Pool(asio::io_context& context, ClientSettings settings)
    : context_(context), settings_(std::move(settings)) {}

std::size_t Pool::pending() const noexcept { return in_flight_ + watches_ + queue_.size(); }

void Pool::Post(std::function<void()> task) { asio::post(context_, std::move(task)); }

void Pool::Fail(Pending pending, StoreErrorCode code) {
  Post([done = std::move(pending.done), key = std::move(pending.call.key), code] {
    done(core::failure(StoreError{code, key}));
  });
}

void Pool::Start(HttpCall call, Done done) {
  call.request.set(http::field::host, settings_.address);
  if (!settings_.token.empty()) call.request.set("X-Consul-Token", settings_.token);
  call.request.prepare_payload();
  const auto deadline = core::RuntimeClock::now() + settings_.timeout + call.wait;
  Pending pending{std::move(call), std::move(done), deadline};
  if (closed_) return Fail(std::move(pending), StoreErrorCode::kUnavailable);
  const bool is_watch = pending.call.is_watch;
  if (is_watch ? watches_ < settings_.max_watches : in_flight_ < settings_.max_in_flight) {
    return Launch(std::move(pending));
  }
  if (is_watch || queue_.size() >= settings_.max_waiting) {
    return Fail(std::move(pending), StoreErrorCode::kOverBudget);
  }
  queue_.push_back(std::move(pending));
}

void Pool::Launch(Pending pending) {
  ++(pending.call.is_watch ? watches_ : in_flight_);
  asio::co_spawn(context_, Run(shared_from_this(), std::move(pending)), Rethrow);
}

void Pool::StartQueued() {
  while (!queue_.empty() && in_flight_ < settings_.max_in_flight) {
    Pending next = std::move(queue_.front());
    queue_.pop_front();
    if (closed_ || core::RuntimeClock::now() >= next.deadline) {
      Fail(std::move(next), StoreErrorCode::kUnavailable);
    } else {
      Launch(std::move(next));
    }
  }
}

void Pool::Close() {
  closed_ = true;
  idle_.clear();
  for (const auto& it : active_) {
    boost::system::error_code ec;
    it->socket.close(ec);
  }
  while (!queue_.empty()) {
    Fail(std::move(queue_.front()), StoreErrorCode::kUnavailable);
    queue_.pop_front();
  }
}

Pool::ConnectionPtr Pool::TakeConnection() {
  while (!idle_.empty()) {
    ConnectionPtr it = std::move(idle_.back());
    idle_.pop_back();
    if (IsUsable(it->socket)) return it;
  }
  return std::make_shared<Connection>(Connection{Tcp::socket(context_), {}});
}

void Pool::Finish(const Pending& pending, const ConnectionPtr& connection, bool reusable) {
  active_.erase(connection);
  --(pending.call.is_watch ? watches_ : in_flight_);
  if (reusable && !closed_) {
    idle_.push_back(connection);
  } else if (core::RuntimeClock::now() >= pending.deadline) {
    // After a time-out on one connection the idle ones to the same server may be dead too.
    idle_.clear();
  }
  StartQueued();
}

asio::awaitable<void> Pool::Run(std::shared_ptr<Pool> self, Pending pending) {
  ConnectionPtr connection = self->TakeConnection();
  self->active_.insert(connection);
  // The token is destroyed at the end of the call, so that a late timer handler cannot close the
  // connection while the next call uses it.
  auto call_token = std::make_shared<ConnectionPtr>(connection);
  core::Timer timer(self->context_, pending.deadline);
  timer.async_wait([call_token = std::weak_ptr(call_token)](boost::system::error_code ec) {
    const auto locked = call_token.lock();
    if (!ec && locked) (*locked)->socket.close(ec);
  });
  bool reusable = false;
  Response response = co_await self->Exchange(connection, &pending.call, &reusable);
  call_token.reset();
  timer.cancel();
  self->Finish(pending, connection, reusable);
  pending.done(std::move(response));
}

asio::awaitable<bool> Pool::Connect(ConnectionPtr connection) {
  Tcp::socket& socket = connection->socket;
  boost::system::error_code ec;
  if (closed_ || socket.open(remote_.protocol(), ec)) co_return false;
  if (local_ && socket.bind(*local_, ec)) co_return false;
  std::tie(ec) = co_await socket.async_connect(remote_, asio::as_tuple(asio::use_awaitable));
  if (ec) co_return false;
  socket.set_option(Tcp::no_delay(true), ec);
  co_return !ec;
}

asio::awaitable<Pool::Response> Pool::Exchange(ConnectionPtr connection, const HttpCall* call,
                                               bool* reusable) {
  const auto error = [call](StoreErrorCode code) {
    return core::failure(StoreError{code, call->key});
  };
  if (!connection->socket.is_open()) {
    const bool connected = co_await Connect(connection);
    if (!connected) co_return error(StoreErrorCode::kUnavailable);
  }
  auto [write_error, sent] = co_await http::async_write(connection->socket, call->request,
                                                        asio::as_tuple(asio::use_awaitable));
  if (write_error) {
    co_return error(sent == 0 ? StoreErrorCode::kUnavailable : StoreErrorCode::kOutcomeUnknown);
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  auto [read_error, received] = co_await http::async_read(
      connection->socket, connection->buf, parser, asio::as_tuple(asio::use_awaitable));
  if (read_error) co_return error(StoreErrorCode::kOutcomeUnknown);
  *reusable = parser.keep_alive() && connection->buf.size() == 0;
  co_return parser.release();
}

}  // namespace vanilladeck::store::impl
