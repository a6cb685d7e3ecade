#include "vanilladeck/http/caller_listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>

#include "vanilladeck/http/impl/caller_session.h"

namespace vanilladeck::http {
namespace {

using boost::asio::ip::tcp;

// Absorbs bursts of new connections; the kernel caps it at net.core.somaxconn.
constexpr int kBacklog = 1024;
// Delay after a failed accept, which usually means that the process is out of file descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(10);

}  // namespace

struct CallerListener::State {
  State(boost::asio::io_context& io, const ListenerLimits& session_limits, CallerHandler& handler)
      : context(io), acceptor(io), sessions{session_limits, handler} {}

  boost::asio::io_context& context;
  tcp::acceptor acceptor;
  impl::Sessions sessions;
};

namespace {

boost::asio::awaitable<void> Accept(std::shared_ptr<void> owner, tcp::acceptor& acceptor,
                                    impl::Sessions& sessions) {
  core::Timer retry_timer(acceptor.get_executor());
  for (;;) {
    auto [ec, socket] =
        co_await acceptor.async_accept(boost::asio::as_tuple(boost::asio::use_awaitable));
    if (!acceptor.is_open()) co_return;
    if (ec) {
      retry_timer.expires_after(kAcceptRetryDelay);
      co_await retry_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
      continue;
    }
    auto session = std::make_shared<impl::CallerSession>(std::move(socket), sessions, owner);
    boost::asio::co_spawn(
        acceptor.get_executor(), [session] { return session->Run(); }, boost::asio::detached);
  }
}

}  // namespace

core::Result<std::unique_ptr<CallerListener>, ListenError> CallerListener::Create(
    boost::asio::io_context& context, const std::string& ip, std::uint16_t port,
    const ListenerLimits& limits, CallerHandler& handler) {
  auto state = std::make_shared<State>(context, limits, handler);
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(ip, ec);
  if (ec) return ListenError{"\"" + ip + "\" is not an IP address"};
  const tcp::endpoint endpoint(address, port);
  if (!ec) ec = state->acceptor.open(endpoint.protocol(), ec);
  if (!ec) ec = state->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) ec = state->acceptor.bind(endpoint, ec);
  if (!ec) ec = state->acceptor.listen(kBacklog, ec);
  if (ec) return ListenError{ec.message()};
  return std::unique_ptr<CallerListener>(new CallerListener(std::move(state)));
}

CallerListener::CallerListener(std::shared_ptr<State> state) : state_(std::move(state)) {}

CallerListener::~CallerListener() = default;

void CallerListener::Start() {
  boost::asio::co_spawn(
      state_->context, [state = state_] { return Accept(state, state->acceptor, state->sessions); },
      boost::asio::detached);
}

void CallerListener::CloseAfterResponses() { state_->sessions.closing = true; }

void CallerListener::StopAccepting() {
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
  state_->sessions.closing = true;
  state_->sessions.CloseIdle();
}

std::uint16_t CallerListener::port() const {
  boost::system::error_code ignored;
  return state_->acceptor.local_endpoint(ignored).port();
}

std::size_t CallerListener::connections() const { return state_->sessions.open.size(); }

std::size_t CallerListener::active_requests() const { return state_->sessions.active_requests; }

}  // namespace vanilladeck::http
