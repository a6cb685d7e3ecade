#include "vanilladeck/gateway/listener.h"

namespace vanilladeck::gateway {
namespace {

// All clients of a region may connect at once when another instance fails.
constexpr int kBacklog = 1024;
// With no descriptors left, accept fails immediately; retrying in a loop would take processor time
// from the sessions whose end frees descriptors.
constexpr core::Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
// Part (1/n) of the memory for messages that bodies may use which are passed on while they arrive.
constexpr std::size_t kArrivingBodiesDivisor = 2;

}  // namespace

Listener::Listener(boost::asio::io_context& context, DeadlinesPtr deadlines,
                   const core::ByteBudgetPtr& budget, RequestHandler& handler,
                   std::size_t max_sessions)
    : acceptor_(context),
      group_(std::make_shared<SessionGroup>(SessionGroup{
          handler,
          std::move(deadlines),
          budget,
          std::make_shared<core::ByteBudget>(budget->capacity() / kArrivingBodiesDivisor),
          {},
          false,
          {}})),
      max_sessions_(max_sessions) {}

boost::system::error_code Listener::Open(const boost::asio::ip::tcp::endpoint& endpoint) {
  boost::system::error_code ec;
  acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(boost::asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(kBacklog, ec);
  if (!ec) {
    Accept();
  } else {
    Close();
  }
  return ec;
}

void Listener::Accept() {
  acceptor_.async_accept([this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
    OnAccept(ec, std::move(socket));
  });
}

void Listener::OnAccept(boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
  if (ec) {
    group_->deadlines->Add(core::RuntimeClock::now() + kAcceptRetryDelay, [this] {
      if (acceptor_.is_open()) Accept();
    });
    return;
  }
  Accept();
  StartSession(std::move(socket));
}

void Listener::StartSession(boost::asio::ip::tcp::socket socket) {
  if (group_->sessions.size() >= max_sessions_ && !MakeRoom()) {
    // Closing one connection is better than running out of descriptors for all.
    boost::system::error_code ignored;
    socket.close(ignored);
  } else {
    std::make_shared<ClientSession>(std::move(socket), group_)->Start();
  }
}

void Listener::AcceptWaiting() {
  boost::system::error_code ec;
  acceptor_.non_blocking(true, ec);
  // Bounded, since clients may connect faster than they are accepted.
  for (int i = 0; i < kBacklog && !ec; ++i) {
    boost::asio::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, ec);
    if (!ec) StartSession(std::move(socket));
  }
}

std::vector<std::shared_ptr<ClientSession>> Listener::Sessions() const {
  std::vector<std::shared_ptr<ClientSession>> sessions;
  sessions.reserve(group_->sessions.size());
  for (ClientSession* it : group_->sessions) {
    // Null for a session that is being destroyed.
    if (auto session = it->weak_from_this().lock()) sessions.push_back(std::move(session));
  }
  return sessions;
}

bool Listener::MakeRoom() {
  ClientSession* idle = nullptr;
  ClientSession* arriving = nullptr;
  for (ClientSession* it : group_->sessions) {
    if (it->idle()) {
      const bool longest = idle == nullptr || it->idle_since() < idle->idle_since();
      if (longest && !it->IsDelivering()) idle = it;
    } else if (it->awaits_request()) {
      if (arriving == nullptr || it->request_began() < arriving->request_began()) arriving = it;
    }
  }
  // Clients that send very slowly would otherwise keep all others out. Nothing of a request that is
  // not complete has been passed on, so that it can be sent again.
  ClientSession* chosen = idle != nullptr ? idle : arriving;
  if (chosen != nullptr) chosen->CloseNow();
  return chosen != nullptr;
}

void Listener::Close() {
  // Connections that wait to be accepted would be reset with the listening socket.
  if (acceptor_.is_open()) AcceptWaiting();
  boost::system::error_code ignored;  // An error on close needs no handling.
  acceptor_.close(ignored);
}

}  // namespace vanilladeck::gateway
