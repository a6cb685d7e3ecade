#include "vanilladeck/store/client.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "standins/platform/platform.h"

using namespace std::chrono_literals;
using namespace vanilladeck::store;  // NOLINT(google-build-using-namespace)
namespace standins = vanilladeck::standins;

namespace {

constexpr auto kLimit = 5s;

/// A client and the platform stand-in on one context.
struct Fixture {
  explicit Fixture(ClientSettings settings = {}, std::chrono::milliseconds lag = 0ms)
      : platform(context, {standins::ParseEndpoint("127.0.0.1:0"),
                           standins::ParseEndpoint("127.0.0.1:0"), "secret", lag}) {
    settings.address = platform.address();
    settings.token = "secret";
    client = std::make_unique<Client>(Client::Create(context, settings).value());
  }

  /// Runs the context until `done` holds; fails the test after `kLimit`.
  template <class F>
  void RunUntil(F done) {
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (!done()) {
      REQUIRE(std::chrono::steady_clock::now() < end);
      context.restart();
      context.run_one_for(50ms);
    }
  }

  StoreResult Call(const Request& request) {
    std::optional<StoreResult> out;
    client->Call(request, [&out](StoreResult result) { out = std::move(result); });
    REQUIRE_FALSE(out.has_value());
    RunUntil([&out] { return out.has_value(); });
    return std::move(*out);
  }

  template <class T>
  T Get(const Request& request) {
    StoreResult result = Call(request);
    if (result.has_error()) FAIL(kStoreErrorNames.at(static_cast<int>(result.error().code)));
    return std::get<T>(std::move(result).value());
  }

  StoreErrorCode Error(const Request& request) {
    const StoreResult result = Call(request);
    REQUIRE(result.has_error());
    return result.error().code;
  }

  void Fault(const nlohmann::json& fault) { Control("/fault", fault.dump()); }

  std::string Control(const std::string& path, const std::string& body = "") {
    namespace http = boost::beast::http;
    std::string out;
    bool finished = false;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          const auto token = boost::asio::use_awaitable;
          boost::asio::ip::tcp::socket socket(context);
          co_await socket.async_connect(standins::ParseEndpoint(platform.control_address()), token);
          http::request<http::string_body> request{http::verb::post, path, 11, body};
          request.prepare_payload();
          co_await http::async_write(socket, request, token);
          boost::beast::flat_buffer buf;
          http::response<http::string_body> response;
          co_await http::async_read(socket, buf, response, token);
          out = response.body();
          finished = true;
        },
        boost::asio::detached);
    RunUntil([&finished] { return finished; });
    return out;
  }

  boost::asio::io_context context;
  standins::Platform platform;
  std::unique_ptr<Client> client;
};

}  // namespace

// Guards against a codec that loses bytes of keys or values, or misreads the index.
TEST_CASE("keys and values round-trip through the store", "[store]") {
  Fixture f;
  std::string value;
  for (int i = 0; i < 1000; ++i) value.push_back(static_cast<char>(i * 7));
  const std::string key = "config/v/1 ?&%#\xc3\xa9";
  REQUIRE_FALSE(f.Get<GetReply>(Get{key}).entry.has_value());
  for (const std::string& text : {value, std::string(), value.substr(1), value.substr(2)}) {
    const auto old = f.Get<GetReply>(Get{key}).entry;
    REQUIRE(
        f.Get<CompareAndSwapReply>(CompareAndSwap{key, text, old ? old->modify_index : 0}).swapped);
    const auto entry = f.Get<GetReply>(Get{key}).entry;
    REQUIRE(entry.has_value());
    REQUIRE(entry->key == key);
    REQUIRE(entry->value == text);
  }
}

// Guards against a conditional write that overwrites another writer's value.
TEST_CASE("compare and swap writes only at the expected index", "[store]") {
  Fixture f;
  REQUIRE(f.Get<CompareAndSwapReply>(CompareAndSwap{"a", "1", kCreateOnly}).swapped);
  REQUIRE_FALSE(f.Get<CompareAndSwapReply>(CompareAndSwap{"a", "2", kCreateOnly}).swapped);
  const auto index = f.Get<GetReply>(Get{"a"}).entry->modify_index;
  REQUIRE_FALSE(f.Get<CompareAndSwapReply>(CompareAndSwap{"a", "2", index + 1}).swapped);
  REQUIRE(f.Get<CompareAndSwapReply>(CompareAndSwap{"a", "2", index}).swapped);
  REQUIRE(f.Get<GetReply>(Get{"a"}).entry->value == "2");
}

// Guards against unordered lists and deletions that miss keys or remove others.
TEST_CASE("list and delete cover exactly the prefix", "[store]") {
  Fixture f;
  for (const char* key : {"ops/b/2", "ops/b/1", "ops/c/1"}) {
    REQUIRE(f.Get<CompareAndSwapReply>(CompareAndSwap{key, key, kCreateOnly}).swapped);
  }
  const auto entries = f.Get<ListReply>(List{"ops/b/"}).entries;
  REQUIRE(entries.size() == 2);
  REQUIRE(entries[0].key == "ops/b/1");
  REQUIRE(entries[1].value == "ops/b/2");
  (void)f.Get<DeletePrefixReply>(DeletePrefix{"ops/b/"});
  REQUIRE(f.Get<ListReply>(List{"ops/"}).entries.size() == 1);
}

// Guards against a watch that misses a write, or that never ends.
TEST_CASE("watch returns on a write and at the end of its wait", "[store]") {
  Fixture f;
  const auto index = f.Get<GetReply>(Get{"head"}).index;
  std::optional<StoreResult> out;
  f.client->Call(Watch{"head", index, 10s},
                 [&out](StoreResult result) { out = std::move(result); });
  REQUIRE(f.Get<CompareAndSwapReply>(CompareAndSwap{"head", "7", kCreateOnly}).swapped);
  f.RunUntil([&out] { return out.has_value(); });
  const auto reply = std::get<GetReply>(std::move(*out).value());
  REQUIRE(reply.entry->value == "7");
  REQUIRE(reply.index > index);
  const auto unchanged = f.Get<GetReply>(Watch{"head", reply.index, 50ms});
  REQUIRE(unchanged.index == reply.index);
}

// Guards against list entries without the metadata that decides which instances may dispatch.
TEST_CASE("instances are listed with failure domain and state until they leave", "[store]") {
  Fixture f;
  ListedInstance instance{"entry", "127.0.0.1:7001", "fukuoka-a", InstanceState::kLive};
  const auto run_to_completion = [&f](auto start) {
    bool ok = false;
    bool finished = false;
    start([&](auto result) {
      ok = !result.has_error();
      finished = true;
    });
    f.RunUntil([&finished] { return finished; });
    return ok;
  };
  for (auto state : {InstanceState::kLive, InstanceState::kLeaving}) {
    instance.state = state;
    REQUIRE(run_to_completion([&](auto done) { f.client->RegisterInstance(instance, 30s, done); }));
    const auto listed = f.Get<ListInstancesReply>(ListInstances{"entry"}).instances;
    REQUIRE(listed.size() == 1);
    REQUIRE(listed[0].address == instance.address);
    REQUIRE(listed[0].failure_domain == "fukuoka-a");
    REQUIRE(listed[0].state == state);
  }
  REQUIRE(run_to_completion([&](auto done) { f.client->DeregisterInstance(instance, done); }));
  REQUIRE(f.Get<ListInstancesReply>(ListInstances{"entry"}).instances.empty());
  instance.address = "nowhere";
  REQUIRE_FALSE(
      run_to_completion([&](auto done) { f.client->RegisterInstance(instance, 0s, done); }));
}

// Guards against a write that took effect but is reported as not sent, and the reverse.
TEST_CASE("store errors distinguish unsent calls from lost answers", "[store]") {
  ClientSettings settings;
  settings.timeout = 300ms;
  Fixture f(settings);
  REQUIRE(f.Get<CompareAndSwapReply>(CompareAndSwap{"a", "1", kCreateOnly}).swapped);

  f.Fault({{"mode", "refuse"}});
  REQUIRE(f.Error(CompareAndSwap{"b", "1", kCreateOnly}) == StoreErrorCode::kUnavailable);
  REQUIRE(f.Error(Get{"a"}) == StoreErrorCode::kUnavailable);

  f.Fault({{"mode", "lose_answers"}});
  REQUIRE(f.Error(CompareAndSwap{"c", "1", kCreateOnly}) == StoreErrorCode::kOutcomeUnknown);
  f.Fault({{"mode", "error"}});
  REQUIRE(f.Error(CompareAndSwap{"d", "1", kCreateOnly}) == StoreErrorCode::kOutcomeUnknown);
  f.Fault({{"mode", "slow"}, {"delay_ms", 1000}});
  REQUIRE(f.Error(CompareAndSwap{"e", "1", kCreateOnly}) == StoreErrorCode::kOutcomeUnknown);
  f.Fault({{"partition", {"127.0.0.1"}}});
  REQUIRE(f.Error(CompareAndSwap{"g", "1", kCreateOnly}) == StoreErrorCode::kOutcomeUnknown);

  f.Fault({{"mode", "ok"}});
  REQUIRE_FALSE(f.Get<GetReply>(Get{"b"}).entry.has_value());
  REQUIRE(f.Get<GetReply>(Get{"c"}).entry.has_value());
  REQUIRE(f.Error(CompareAndSwap{"h", std::string(kMaxValueBytes + 1, 'x'), kCreateOnly}) ==
          StoreErrorCode::kTooLarge);
}

// Guards against unbounded queues in front of a slow store, and against watches that block writes.
TEST_CASE("calls beyond the limits are refused and all others answered", "[store]") {
  ClientSettings settings;
  settings.max_in_flight = 2;
  settings.max_waiting = 3;
  settings.max_watches = 1;
  Fixture f(settings);
  f.Fault({{"mode", "slow"}, {"delay_ms", 30}});
  int answered = 0;
  int refused = 0;
  const auto count = [&](const StoreResult& result) {
    ++answered;
    if (result.has_error() && result.error().code == StoreErrorCode::kOverBudget) ++refused;
  };
  for (int i = 0; i < 2; ++i) f.client->Call(Watch{"w", 1, 100ms}, count);
  for (int i = 0; i < 7; ++i) f.client->Call(Get{"a"}, count);
  REQUIRE(f.client->pending() == 6);
  f.RunUntil([&answered] { return answered == 9; });
  REQUIRE(refused == 3);
  REQUIRE(f.client->pending() == 0);
  const auto stats = nlohmann::json::parse(f.Control("/stats"));
  REQUIRE(stats["connections"].get<int>() <= 3);
}

// Guards against callbacks that are lost or run twice when the daemon stops.
TEST_CASE("destroying the client answers every pending call once", "[store]") {
  ClientSettings settings;
  settings.max_in_flight = 1;
  Fixture f(settings);
  f.Fault({{"mode", "slow"}, {"delay_ms", 10'000}});
  int answered = 0;
  for (int i = 0; i < 3; ++i) {
    f.client->Call(Get{"a"}, [&answered](const StoreResult& result) {
      REQUIRE(result.has_error());
      ++answered;
    });
  }
  f.context.run_for(50ms);
  f.client.reset();
  f.RunUntil([&answered] { return answered == 3; });
  REQUIRE(answered == 3);
}

// Guards against a client that starts with an address it can never connect to.
TEST_CASE("malformed addresses are refused", "[store]") {
  boost::asio::io_context context;
  for (const char* address :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "host:80", "1.2.3.4:x"}) {
    ClientSettings settings;
    settings.address = address;
    REQUIRE(Client::Create(context, settings).has_error());
  }
}
