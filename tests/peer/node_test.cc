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

/// Collects the events of a node for the test's thread.
class Inbox {
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

std::unique_ptr<peer::Node> Listen(const std::string& address, Inbox& inbox) {
  auto node = peer::Node::Create(address, inbox.Sink());
  REQUIRE(node.has_value());
  return std::move(node.value());
}

constexpr auto kServer = "127.0.0.1:39411";
constexpr auto kClient = "127.0.0.1:39412";

}  // namespace

// Guards against fields that are lost or changed between peers.
TEST_CASE("a forwarded request and its answer arrive whole", "[peer]") {
  Inbox server_inbox;
  Inbox client_inbox;
  auto server = Listen(kServer, server_inbox);
  auto client = Listen(kClient, client_inbox);
  peer::ForwardRequest request;
  request.service = "catalogue";
  request.method = "POST";
  request.target = "/swatches?q=1";
  request.headers = {{"accept", "text/plain"}};
  request.body = std::string("a\0b", 3);
  request.rank = vanilladeck::core::Rank::kUrgent;
  request.timeout_ms = 1234;
  REQUIRE(client->Send(7, kServer, request, 2s));
  auto incoming = server_inbox.Wait<peer::IncomingCall>();
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
  auto finished = client_inbox.Wait<peer::CallFinished>();
  CHECK(finished.id == 7);
  const auto& answer = std::get<peer::ForwardReply>(finished.result.value());
  CHECK(answer.status == 201);
  CHECK(answer.outcome == reply.outcome);
  CHECK(answer.body == reply.body);
}

// Guards against calling a request unsent when it may have arrived, and the reverse.
TEST_CASE("failures say whether the call was sent", "[peer]") {
  Inbox server_inbox;
  Inbox client_inbox;
  auto client = Listen(kClient, client_inbox);
  REQUIRE(client->Send(1, kServer, peer::FetchVersions{"d", 0}, 1s));
  CHECK(client_inbox.Wait<peer::CallFinished>().result.error().code ==
        peer::CallErrorCode::kUnreachable);

  auto server = Listen(kServer, server_inbox);
  REQUIRE(client->Send(2, kServer, peer::FetchVersions{"d", 0}, 200ms));
  (void)server_inbox.Wait<peer::IncomingCall>();
  CHECK(client_inbox.Wait<peer::CallFinished>().result.error().code ==
        peer::CallErrorCode::kOutcomeUnknown);

  server_inbox.Refuse(true);
  REQUIRE(client->Send(3, kServer, peer::FetchVersions{"d", 0}, 1s));
  CHECK(client_inbox.Wait<peer::CallFinished>().result.error().code ==
        peer::CallErrorCode::kRejected);
}

// Guards against work that goes on at the far side after the near side gave up, and against a late
// answer that reaches another call.
TEST_CASE("an abandoned forward is reported and its late answer is dropped", "[peer]") {
  Inbox server_inbox;
  Inbox client_inbox;
  auto server = Listen(kServer, server_inbox);
  auto client = Listen(kClient, client_inbox);
  REQUIRE(client->Send(1, kServer, peer::ForwardRequest{}, 5s));
  auto first = server_inbox.Wait<peer::IncomingCall>();
  REQUIRE(client->Cancel(1));
  CHECK(client_inbox.Wait<peer::CallFinished>().id == 1);
  CHECK(server_inbox.Wait<peer::IncomingCallCancelled>().id == first.id);
  REQUIRE(client->Send(2, kServer, peer::ForwardRequest{}, 5s));
  auto second = server_inbox.Wait<peer::IncomingCall>();
  peer::ForwardReply late;
  late.status = 500;
  REQUIRE(server->Respond(first.id, late));
  peer::ForwardReply right;
  right.status = 200;
  REQUIRE(server->Respond(second.id, right));
  auto finished = client_inbox.Wait<peer::CallFinished>();
  CHECK(finished.id == 2);
  CHECK(std::get<peer::ForwardReply>(finished.result.value()).status == 200);
}

// Guards against a listener that one sender of garbage can bring down.
TEST_CASE("garbage bytes leave other peers untouched", "[peer]") {
  Inbox server_inbox;
  Inbox client_inbox;
  auto server = Listen(kServer, server_inbox);
  auto client = Listen(kClient, client_inbox);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(39411);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  const std::string garbage(4096, '\xff');
  REQUIRE(send(fd, garbage.data(), garbage.size(), MSG_NOSIGNAL) > 0);
  REQUIRE(client->Send(1, kServer, peer::ConfirmSeat{{"a", 0, {"x", 1}, 7}}, 2s));
  auto incoming = server_inbox.Wait<peer::IncomingCall>();
  REQUIRE(server->Respond(incoming.id, peer::SeatConfirmed{true}));
  CHECK(std::get<peer::SeatConfirmed>(client_inbox.Wait<peer::CallFinished>().result.value())
            .confirmed);
  close(fd);
}

// Guards against a daemon that runs without its listener.
TEST_CASE("an address in use is a typed error", "[peer]") {
  Inbox inbox;
  auto first = Listen(kServer, inbox);
  auto second = peer::Node::Create(kServer, inbox.Sink());
  REQUIRE_FALSE(second.has_value());
  CHECK(second.error().address == kServer);
}
