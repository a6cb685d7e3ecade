#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fake_backend.h"
#include "vanilladeck/core/runtime_clock.h"
#include "vanilladeck/daemon/serving.h"
#include "vanilladeck/operations/operation_key.h"

namespace vanilladeck::test {

using Headers = std::map<std::string, std::string>;

/// Blocking HTTP client with one connection.
class Caller {
 public:
  explicit Caller(const std::string& address) : socket_(io_) {
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    socket_.connect({boost::asio::ip::address_v4::loopback(), port});
  }

  void Send(const std::string& method, const std::string& target, const Headers& headers = {},
            const std::string& body = {}) {
    http::Request request;
    request.method_string(method);
    request.target(target);
    request.set("Host", "test");
    for (const auto& [name, value] : headers) request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    boost::beast::http::write(socket_, request);
  }

  void SendRaw(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }

  [[nodiscard]] http::Response Receive() {
    http::Response response;
    boost::beast::http::read(socket_, buffer_, response);
    return response;
  }

  [[nodiscard]] http::Response Call(const std::string& method, const std::string& target,
                                    const Headers& headers = {}, const std::string& body = {}) {
    Send(method, target, headers, body);
    return Receive();
  }

  void Close() { socket_.close(); }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
};

/// A serving thread with one service in its failure domain; the test acts as the control thread.
class ServingFixture {
 public:
  explicit ServingFixture(const std::vector<std::string>& servers = {})
      : control_(1024, [this] { Collect(); }) {
    settings.deployment = "test";
    settings.failure_domain = "d1";
    settings.listen.callers = {"127.0.0.1", 0};
    settings.limits.max_request_bytes = 4096;
    settings.limits.max_header_bytes = 2048;
    settings.platform.token = daemon::Secret("token");
    deployment.name = "test";
    deployment.lookup_ttl = std::chrono::seconds(1);
    deployment.policy.retry_budget = 1.0;
    for (auto& rank : deployment.ranks) rank = {std::chrono::milliseconds(1000), 1.0, 0.2};
    deployment.regions = {{"r1", {"127.0.0.0/8"}}, {"r2", {"10.0.0.0/8"}}};
    deployment.failure_domains = {{"d1", "r1", 1}, {"d2", "r2", 1}};
    deployment.links = {{"r1", "r2", 1000, 1000, 100}, {"r2", "r1", 1000, 1000, 100}};
    config::Service service{"catalogue", {}, core::Rank::kNormal, {}};
    service.places = {{"d1", 2, 4, 50}, {"d2", 2, 4, 50}};
    deployment.services = {service};
    for (const auto& address : servers) {
      listed.push_back({"catalogue", address, "d1", store::InstanceState::kLive});
    }
  }
  ServingFixture(const ServingFixture&) = delete;
  ServingFixture& operator=(const ServingFixture&) = delete;
  ~ServingFixture() { serving.reset(); }

  /// Starts the serving thread and posts the first snapshot.
  void Start() {
    auto created = daemon::Serving::Create(settings, self, control_);
    REQUIRE(created.has_value());
    serving = std::move(created.value());
    serving->Start();
    PostSnapshot();
  }

  /// Posts a snapshot and waits until lookup responses show its version.
  void PostSnapshot(std::chrono::milliseconds seat_lifetime = std::chrono::hours(1)) {
    auto snapshot = std::make_shared<daemon::Snapshot>();
    snapshot->config_version = ++version;
    snapshot->deployment = std::make_shared<config::Deployment>(deployment);
    snapshot->backend_servers = listed;
    snapshot->entry_instances = {{self, serving->caller_address(), "d1", "r1", false},
                                 {peer, "127.0.0.9:80", "d2", "r2", false}};
    snapshot->seats = {0};
    snapshot->operations_shard = "d1";
    snapshot->operations_salt = "salt";
    snapshot->seats_valid_until_ns =
        (core::RuntimeClock::now() + seat_lifetime).time_since_epoch().count();
    REQUIRE(serving->Post(daemon::SnapshotChanged{snapshot}));
    const std::string expected_version = "\"version\":" + std::to_string(version);
    for (int i = 0; i < 500; ++i) {
      if (Call("GET", "/v1/lookup?service=catalogue").body().find(expected_version) !=
          std::string::npos) {
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    FAIL("lookup responses do not show the posted snapshot version");
  }

  [[nodiscard]] Caller Connect() const { return Caller(serving->caller_address()); }

  [[nodiscard]] http::Response Call(const std::string& method, const std::string& target,
                                    const Headers& headers = {},
                                    const std::string& body = {}) const {
    return Connect().Call(method, target, headers, body);
  }

  /// Next message of type T to the control thread; discards messages of other types.
  template <class T>
  [[nodiscard]] T Expect() {
    std::unique_lock lock(mutex_);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    for (;;) {
      while (!messages_.empty()) {
        daemon::ToControl message = std::move(messages_.front());
        messages_.pop_front();
        if (auto* found = std::get_if<T>(&message)) return std::move(*found);
      }
      if (arrived_.wait_until(lock, deadline) == std::cv_status::timeout) break;
    }
    FAIL("no message of the expected type reached the control thread within 5 s");
    return T{};
  }

  [[nodiscard]] std::string NewKey() const {
    return operations::OperationKey::Issue("d1", core::RuntimeClock::WallMs(), "127.0.0.1", "salt")
        .Text();
  }

  daemon::Settings settings;
  config::Deployment deployment;
  std::vector<store::ListedInstance> listed;
  core::InstanceId self{"127.0.0.1:1", 11};
  core::InstanceId peer{"127.0.0.9:1", 22};
  std::uint64_t version = 0;
  std::unique_ptr<daemon::Serving> serving;

 private:
  void Collect() {
    control_.Drain([this](daemon::ToControl message) {
      const std::lock_guard lock(mutex_);
      messages_.push_back(std::move(message));
      arrived_.notify_all();
    });
  }

  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<daemon::ToControl> messages_;
  core::Mailbox<daemon::ToControl> control_;
};

}  // namespace vanilladeck::test
