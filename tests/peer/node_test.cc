#include "vanilladeck/peer/node.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <mutex>

using namespace std::chrono_literals;
namespace peer = vanilladeck::peer;

namespace {

/// Queues the events of a node for the test's thread.
class EventQueue {
 public:
  peer::Node::Sink Sink() {
    return [this](peer::Event event) {
      const std::scoped_lock lock(mutex_);
      if (refuse_ && std::holds_alternative<peer::IncomingCall>(event)) return false;
      events_.push_back(std::move(event));
      arrived_.notify_all();
      return true;
    };
  }

  template <class T>
  T Wait() {
    std::unique_lock lock(mutex_);
    const bool seen = arrived_.wait_for(lock, 5s, [this] { return !events_.empty(); });
    REQUIRE(seen);
    auto event = std::move(events_.front());
    events_.pop_front();
    REQUIRE(std::holds_alternative<T>(event));
    return std::get<T>(std::move(event));
  }

  void Refuse(bool refuse) {
    const std::scoped_lock lock(mutex_);
    refuse_ = refuse;
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<peer::Event> events_;
  bool refuse_ = false;
};

std::unique_ptr<peer::Node> Listen(const std::string& address, EventQueue& events) {
  auto node = peer::Node::Create(address, events.Sink());
  REQUIRE(node.has_value());
  return std::move(node.value());
}

constexpr auto kServerAddress = "127.0.0.1:39411";
constexpr auto kClientAddress = "127.0.0.1:39412";

}  // namespace

// Guards against message fields that are lost or altered by encoding and decoding.
TEST_CASE("a forwarded request and its response round-trip unchanged", "[peer]") {
  EventQueue server_events;
  EventQueue client_events;
  auto server = Listen(kServerAddress, server_events);
  auto client = Listen(kClientAddress, client_events);
  peer::ForwardRequest request;
  request.service = "catalogue";
  request.method = "POST";
  request.target = "/swatches?q=1";
  request.headers = {{"accept", "text/plain"}};
  request.body = std::string("a\0b", 3);
  request.rank = vanilladeck::core::Rank::kUrgent;
  request.timeout_ms = 1234;
  REQUIRE(client->Send(7, kServerAddress, request, 2s));
  auto incoming = server_events.Wait<peer::IncomingCall>();
  const auto& got = std::get<peer::ForwardRequest>(incoming.call);
  CHECK(got.target == request.target);
  CHECK(got.headers == request.headers);
  CHECK(got.body == request.body);
  CHECK(got.rank == request.rank);
  CHECK(got.timeout_ms == request.timeout_ms);
  peer::ForwardReply reply;
  reply.outcome = vanilladeck::core::Outcome::kRan;
  reply.status = 201;
  reply.body = std::string(100'000, 'x');
  REQUIRE(server->Respond(incoming.id, reply));
  auto finished = client_events.Wait<peer::CallFinished>();
  CHECK(finished.id == 7);
  const auto& answer = std::get<peer::ForwardReply>(finished.result.value());
  CHECK(answer.status == 201);
  CHECK(answer.outcome == reply.outcome);
  CHECK(answer.body == reply.body);
}

// Guards against reporting a call as not sent when the peer may have received it, and the reverse.
TEST_CASE("errors state whether the call was sent", "[peer]") {
  EventQueue server_events;
  EventQueue client_events;
  auto client = Listen(kClientAddress, client_events);
  REQUIRE(client->Send(1, kServerAddress, peer::FetchVersions{"d", 0}, 1s));
  CHECK(client_events.Wait<peer::CallFinished>().result.error().code ==
        peer::CallErrorCode::kUnreachable);

  auto server = Listen(kServerAddress, server_events);
  REQUIRE(client->Send(2, kServerAddress, peer::FetchVersions{"d", 0}, 200ms));
  (void)server_events.Wait<peer::IncomingCall>();
  CHECK(client_events.Wait<peer::CallFinished>().result.error().code ==
        peer::CallErrorCode::kOutcomeUnknown);

  server_events.Refuse(true);
  REQUIRE(client->Send(3, kServerAddress, peer::FetchVersions{"d", 0}, 1s));
  CHECK(client_events.Wait<peer::CallFinished>().result.error().code ==
        peer::CallErrorCode::kRejected);
}

// Guards against a peer that goes on working on a cancelled call, and against a late answer that is
// delivered to another call.
TEST_CASE("a cancelled forward is reported to the peer and its late answer is dropped", "[peer]") {
  EventQueue server_events;
  EventQueue client_events;
  auto server = Listen(kServerAddress, server_events);
  auto client = Listen(kClientAddress, client_events);
  REQUIRE(client->Send(1, kServerAddress, peer::ForwardRequest{}, 5s));
  auto first = server_events.Wait<peer::IncomingCall>();
  REQUIRE(client->Cancel(1));
  CHECK(client_events.Wait<peer::CallFinished>().id == 1);
  CHECK(server_events.Wait<peer::IncomingCallCancelled>().id == first.id);
  REQUIRE(client->Send(2, kServerAddress, peer::ForwardRequest{}, 5s));
  auto second = server_events.Wait<peer::IncomingCall>();
  peer::ForwardReply late;
  late.status = 500;
  REQUIRE(server->Respond(first.id, late));
  peer::ForwardReply right;
  right.status = 200;
  REQUIRE(server->Respond(second.id, right));
  auto finished = client_events.Wait<peer::CallFinished>();
  CHECK(finished.id == 2);
  CHECK(std::get<peer::ForwardReply>(finished.result.value()).status == 200);
}

// Guards against malformed input on one connection that stops the listener.
TEST_CASE("malformed input on one connection does not affect other peers", "[peer]") {
  EventQueue server_events;
  EventQueue client_events;
  auto server = Listen(kServerAddress, server_events);
  auto client = Listen(kClientAddress, client_events);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(39411);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  const std::string malformed(4096, '\xff');
  REQUIRE(send(fd, malformed.data(), malformed.size(), MSG_NOSIGNAL) > 0);
  REQUIRE(client->Send(1, kServerAddress, peer::ConfirmSeat{{"a", 0, {"x", 1}, 7}}, 2s));
  auto incoming = server_events.Wait<peer::IncomingCall>();
  REQUIRE(server->Respond(incoming.id, peer::SeatConfirmed{true}));
  CHECK(std::get<peer::SeatConfirmed>(client_events.Wait<peer::CallFinished>().result.value())
            .confirmed);
  close(fd);
}

// Guards against a daemon that runs although its listener could not be opened.
TEST_CASE("an address in use is reported as a ListenError", "[peer]") {
  EventQueue events;
  auto first = Listen(kServerAddress, events);
  auto second = peer::Node::Create(kServerAddress, events.Sink());
  REQUIRE_FALSE(second.has_value());
  CHECK(second.error().address == kServerAddress);
}
