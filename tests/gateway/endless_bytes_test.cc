#include <unistd.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>

#include "gateway/proxy_fixture.h"

namespace vanilladeck::gateway {
namespace {

using testing::FullResponse;
using testing::HeaderOf;
using testing::ProxyFixture;
using testing::ScriptedServer;
using namespace std::chrono_literals;

constexpr std::size_t kMebibyte = 1U << 20U;
// AddressSanitizer keeps freed memory in quarantine, so resident memory is not checked with it.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kSanitized = true;
#else
constexpr bool kSanitized = false;
#endif

std::size_t ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  in >> size >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Writes `block` repeatedly until the peer closes the connection.
template <class Socket>
void WriteEndlessly(Socket& socket, std::shared_ptr<const std::string> block,
                    std::shared_ptr<void> owner, std::shared_ptr<std::size_t> written) {
  boost::asio::async_write(socket, boost::asio::buffer(*block),
                           [&socket, block, owner, written](auto ec, std::size_t n) {
                             *written += n;
                             if (!ec) WriteEndlessly(socket, block, owner, written);
                           });
}

std::string RepeatToBlock(const std::string& text) {
  constexpr std::size_t kBlock = 65536;
  std::string block;
  while (block.size() < kBlock) block += text;
  return block;
}

/// A response that starts with `head` and repeats `endless` until the connection closes.
struct EndlessResponse {
  std::string name;
  std::string head;
  std::string endless;
};

constexpr const char* kChunked = "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<EndlessResponse> EndlessResponses() {
  return {
      {"bytes that are not HTTP", "", "\x01\x02\x03"},
      {"status line", "HTTP/1.1 200 ", "a"},
      {"head of many fields", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
      {"one field", "HTTP/1.1 200 OK\r\na: ", "b"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to other requests", "",
       "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"},
      {"body without length", "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n", "body"},
      {"body of a length that never ends",
       "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 9000000000\r\n\r\n", "body"},
      {"chunks", kChunked, "400\r\n" + std::string(1024, 'x') + "\r\n"},
      {"chunks of one byte", kChunked, "1\r\nx\r\n"},
      {"chunk size", kChunked, "0"},
      {"chunk extension", std::string(kChunked) + "5;a=", "b"},
      {"chunk extensions of short chunks", kChunked, "1;" + std::string(200, 'a') + "\r\nx\r\n"},
      {"trailer", std::string(kChunked) + "0\r\n", "a: b\r\n"}};
}

// Guards against a faulty server that makes an instance exceed its memory or keeps its thread busy
// by sending endless bytes in any part of a response.
TEST_CASE("an endless response is cut off in every state of the reader") {
  for (const EndlessResponse& it : EndlessResponses()) {
    DYNAMIC_SECTION(it.name) {
      ProxyFixture f;
      const auto written = std::make_shared<std::size_t>(0);
      const auto block = std::make_shared<const std::string>(RepeatToBlock(it.endless));
      auto& server = f.AddServer(
          "i-1", [&](const ScriptedServer::ConnectionPtr& connection, const std::string&) {
            connection->Write(it.head);
            WriteEndlessly(connection->socket, block, connection, written);
          });
      const std::size_t before = ResidentBytes();
      const auto began = core::RuntimeClock::now();
      const std::string answer = f.Fetch("POST", "/write/1", "id-1", "x");
      const auto taken = core::RuntimeClock::now() - began;
      REQUIRE_FALSE(answer.empty());
      CHECK(f.StatusOf(answer) == "502");
      // The route's timeout; a response that is too long ends the attempt earlier.
      CHECK(taken < 1500ms);
      REQUIRE(server.connections.size() == 1);
      CHECK(f.RunUntil([&] { return server.connections[0]->closed_by_peer; }, 1s));
      // A response may have 16 MiB; the rest is for buffers that grow by doubling and for sockets.
      CHECK(*written < 40 * kMebibyte);
      const std::size_t after = ResidentBytes();
      if (!kSanitized) CHECK((after < before ? 0 : after - before) < 64 * kMebibyte);
    }
  }
}

// Guards against memory use that grows with the number of such servers, and against small responses
// that fail because large ones use up the memory budget.
TEST_CASE("endless responses together stay within the memory limit and leave room for others") {
  ProcessLimits process;
  process.memory_bytes = 64 * kMebibyte;
  ProxyFixture f(process);
  // Each response alone is below the limit for one response.
  const auto part = std::make_shared<const std::string>(12 * kMebibyte, 'x');
  for (int i = 0; i < 6; ++i) {
    f.AddServer("i-" + std::to_string(i),
                [part](const ScriptedServer::ConnectionPtr& connection, const std::string&) {
                  connection->Write("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n");
                  boost::asio::async_write(connection->socket, boost::asio::buffer(*part),
                                           [connection, part](auto, std::size_t) {});
                });
  }
  const std::size_t before = ResidentBytes();
  std::vector<std::shared_ptr<ProxyFixture::Client>> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(f.Connect());
    f.Send(*clients.back(), f.RequestText("POST", "/write/1", "id-" + std::to_string(i), "x"));
  }
  std::size_t peak = 0;
  for (int i = 0; i < 50; ++i) {
    f.RunFor(10ms);
    peak = std::max(peak, ResidentBytes());
  }
  for (const std::string& id : f.context.servers.Ids()) (void)f.context.servers.OnRemoved(id);
  f.AddServer("small",
              [](const ScriptedServer::ConnectionPtr& connection, const std::string& text) {
                connection->Write(FullResponse(text, "small"));
              });
  for (int i = 0; i < 20; ++i) {
    CHECK(f.StatusOf(f.Fetch("POST", "/write/1", "small-" + std::to_string(i))) == "200");
    peak = std::max(peak, ResidentBytes());
  }
  if (!kSanitized) CHECK(peak < before + process.memory_bytes);
  CHECK(f.context.messages->used() <= f.context.messages->capacity());
  CHECK(f.context.messages->evictions() > 0);
  // All requests end with the route's timeout and release their memory.
  CHECK(f.RunUntil([&] { return f.context.messages->used() == 0; }));
}

/// A request that starts with `head` and repeats `endless`, and the expected response status.
struct EndlessRequest {
  std::string name;
  std::string head;
  std::string endless;
  std::string status;
};

// Guards against a client that makes an instance exceed its memory by sending endless bytes.
TEST_CASE("an endless request is rejected in every state of the reader") {
  const std::string chunked =
      "POST /write/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<EndlessRequest> requests{
      {"bytes that are not HTTP", "", "\x01\x02\x03", "400"},
      {"target", "GET /", "a", "431"},
      {"head of many fields", "GET / HTTP/1.1\r\n", "a: b\r\n", "431"},
      {"one field", "GET / HTTP/1.1\r\na: ", "b", "431"},
      {"length", "POST / HTTP/1.1\r\nContent-Length: 9000000000\r\n\r\n", "body", "413"},
      {"chunks", chunked, "400\r\n" + std::string(1024, 'x') + "\r\n", "413"},
      {"chunks of one byte", chunked, "1\r\nx\r\n", "400"},
      {"chunk extension", chunked + "5;a=", "b", "400"},
      {"trailer", chunked + "0\r\n", "a: b\r\n", "400"}};
  for (const EndlessRequest& it : requests) {
    DYNAMIC_SECTION(it.name) {
      ProxyFixture f;
      const auto written = std::make_shared<std::size_t>(0);
      const auto client = f.Connect();
      f.Send(*client, it.head);
      WriteEndlessly(client->socket, std::make_shared<const std::string>(RepeatToBlock(it.endless)),
                     client, written);
      REQUIRE(f.RunUntil([&] { return ProxyFixture::HasAnswer(client->input); }, 2s));
      CHECK(f.StatusOf(client->input) == it.status);
      CHECK(f.RunUntil([&] { return client->closed; }, 2s));
      CHECK(*written < 16 * kMebibyte);
    }
  }
}

// Guards against a crash when a header field does not fit into the parser's 16-bit offsets.
TEST_CASE("a header field of more than 64 KiB is rejected, whatever the policy allows") {
  ProxyFixture f;
  f.group().limits.header_bytes = 262144;
  const auto client = f.Connect();
  f.Send(*client, "GET /read/1 HTTP/1.1\r\na: " + std::string(70000, 'b') + "\r\n\r\n");
  CHECK_NOTHROW(f.RunUntil([&] { return ProxyFixture::HasAnswer(client->input); }, 2s));
  CHECK(f.StatusOf(client->input) == "431");
}

// Guards against a thread that blocks in writing `100 Continue` to a client that does not read.
TEST_CASE("clients that expect 100 Continue and do not read do not block others") {
  ProxyFixture f;
  f.AddServer("i-1", [](const ScriptedServer::ConnectionPtr& connection, const std::string& text) {
    const std::size_t length = std::stoul(HeaderOf(text, "Answer-Bytes"));
    const auto answer =
        std::make_shared<const std::string>(FullResponse(text, std::string(length, 'x')));
    boost::asio::async_write(connection->socket, boost::asio::buffer(*answer),
                             [connection, answer](auto, std::size_t) {});
  });
  std::vector<testing::tcp::socket> non_reading;
  // Some of these responses fill the socket's buffers exactly.
  for (std::size_t length = 100'000; length < 4'000'000; length += 100'000) {
    auto& socket = non_reading.emplace_back(f.io, testing::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket.connect(f.endpoint());
    const std::string id = std::to_string(length);
    const std::string text =
        f.RequestText("GET", "/read/1", id, "", "Answer-Bytes: " + id + "\r\n") +
        "POST /write/1 HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\n"
        "Content-Length: 5\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(text));
  }
  f.RunFor(1s);
  const auto began = core::RuntimeClock::now();
  const auto client = f.Connect();
  f.Send(*client, f.RequestText("GET", "/read/1", "id-1", "", "Answer-Bytes: 3\r\n"));
  REQUIRE(f.RunUntil([&] { return ProxyFixture::HasAnswer(client->input); }, 1s));
  CHECK(f.StatusOf(client->input) == "200");
  CHECK(core::RuntimeClock::now() - began < 1s);
}

// Guards against memory use that grows with the number of clients that send large bodies.
TEST_CASE("request bodies together stay within the memory limit") {
  ProcessLimits process;
  process.memory_bytes = 32 * kMebibyte;
  ProxyFixture f(process);
  std::vector<std::shared_ptr<ProxyFixture::Client>> clients;
  const std::string part(900'000, 'x');
  for (int i = 0; i < 40; ++i) {
    clients.push_back(f.Connect());
    f.Send(*clients.back(), "POST /write/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " +
                                std::to_string(i) + "\r\nContent-Length: 1000000\r\n\r\n");
  }
  for (const auto& it : clients) {
    boost::asio::async_write(it->socket, boost::asio::buffer(part), [](auto, std::size_t) {});
  }
  const auto refused = [&] {
    return std::count_if(clients.begin(), clients.end(), [&](const auto& it) {
      return ProxyFixture::HasAnswer(it->input) && f.StatusOf(it->input) == "503";
    });
  };
  // Each body is charged twice, so about four of them fit into 8 MiB.
  CHECK(f.RunUntil([&] { return refused() >= 30; }));
  f.RunFor(100ms);
  CHECK(f.context.messages->used() <= f.context.messages->capacity());
  CHECK(refused() < 40);
}

}  // namespace
}  // namespace vanilladeck::gateway
