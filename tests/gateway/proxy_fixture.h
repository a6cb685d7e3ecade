#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "vanilladeck/gateway/listener.h"
#include "vanilladeck/gateway/proxied_request.h"

namespace vanilladeck::gateway::testing {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// A backend server on loopback that responds as scripted by the test.
class ScriptedServer {
 public:
  /// A connection, which the script may write to, close or reset.
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    void Write(const std::string& text) {
      boost::system::error_code ignored;
      boost::asio::write(socket, boost::asio::buffer(text), ignored);
    }
    void Close() {
      boost::system::error_code ignored;
      socket.close(ignored);
    }
    void Reset() {
      boost::system::error_code ignored;
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }
    tcp::socket socket;
    std::string input;
    std::array<char, 8192> buf{};
    bool closed_by_peer = false;
    bool reset_by_peer = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  using Script = std::function<void(const ConnectionPtr&, const std::string& request)>;

  ScriptedServer(boost::asio::io_context& io, Script script,
                 const tcp::endpoint& endpoint = {boost::asio::ip::make_address("127.0.0.1"), 0})
      : acceptor_(io, endpoint), script_(std::move(script)) {
    Accept();
  }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  void StopListening() { acceptor_.close(); }

  std::vector<std::string> requests;
  std::vector<ConnectionPtr> connections;

 private:
  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
      if (ec) return;
      connections.push_back(std::make_shared<Connection>(std::move(socket)));
      Read(connections.back());
      Accept();
    });
  }

  void Read(const ConnectionPtr& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->buf),
        [this, connection](boost::system::error_code ec, std::size_t n) {
          if (ec) {
            connection->closed_by_peer = true;
            connection->reset_by_peer = ec == boost::asio::error::connection_reset;
            return;
          }
          connection->input.append(connection->buf.data(), n);
          TakeRequests(connection);
          if (connection->socket.is_open()) Read(connection);
        });
  }

  void TakeRequests(const ConnectionPtr& connection) {
    for (;;) {
      const auto head_end = connection->input.find("\r\n\r\n");
      if (head_end == std::string::npos) return;
      std::size_t length = 0;
      const auto at = connection->input.find("Content-Length: ");
      if (at != std::string::npos && at < head_end) {
        length = std::stoul(connection->input.substr(at + 16));
      }
      if (connection->input.size() < head_end + 4 + length) return;
      const std::string request = connection->input.substr(0, head_end + 4 + length);
      connection->input.erase(0, request.size());
      requests.push_back(request);
      script_(connection, request);
    }
  }

  tcp::acceptor acceptor_;
  Script script_;
};

/// Value of a header field in the text of a request or response.
inline std::string HeaderOf(const std::string& text, const std::string& name) {
  const auto at = text.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const auto begin = at + name.size() + 4;
  return text.substr(begin, text.find("\r\n", begin) - begin);
}

/// Text of a complete response to `request`.
inline std::string FullResponse(const std::string& request, const std::string& body,
                                const std::string& status = "200 OK",
                                const std::string& extra_headers = "") {
  return "HTTP/1.1 " + status + "\r\nRequest-Id: " + HeaderOf(request, "Request-Id") +
         "\r\nSeal: s\r\n" + extra_headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Request path of an instance on loopback, with one route per kind of request.
class ProxyFixture : public RequestHandler {
 public:
  explicit ProxyFixture(const ProcessLimits& process = {},
                        int events_fd = open("/dev/null", O_WRONLY))
      : events_(events_fd, "edge-1"),
        context(
            io, process, Names(), Limits(),
            [](const std::string& domain) { return domain.substr(0, domain.find('-')); }, Picker(),
            events_),
        listener_(io, context.deadlines, context.messages, *this, 100) {
    config::RoutingPolicy policy;
    policy.version = 1;
    config::Route route;
    route.host = "a.example";
    route.timeout = 1500ms;
    route.objective = 500ms;
    route.attempts = 3;
    route.services.push_back({"s", 1});
    route.name = "reads";
    route.prefix = "/read/";
    route.kind = config::RequestKind::kIdempotent;
    policy.routes.push_back(route);
    route.name = "writes";
    route.prefix = "/write/";
    route.kind = config::RequestKind::kNonIdempotent;
    policy.routes.push_back(route);
    config::ServiceLimits service;
    service.name = "s";
    service.max_connections = 100;
    policy.services.push_back(service);
    context.routes = std::make_shared<const steering::RouteTable>(policy);
    endpoint_ = tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), FreePort());
    REQUIRE_FALSE(listener_.Open(endpoint_));
  }

  std::shared_ptr<PendingRequest> OnRequest(const std::shared_ptr<ResponseSlot>& slot,
                                            Request request) override {
    auto pending = ProxiedRequest::Start(context, slot, std::move(request));
    if (after_start) after_start();
    return pending;
  }
  std::shared_ptr<PendingRequest> OnArrivingRequest(const std::shared_ptr<ResponseSlot>& slot,
                                                    Request request, RequestBodyPtr body) override {
    return ProxiedRequest::Start(context, slot, std::move(request), std::move(body));
  }
  [[nodiscard]] bool MayRunBeside(const Request& request) const override {
    return ProxiedRequest::MayRunBeside(context, request);
  }

  /// Brings the next version into force after `change` was applied to every route.
  void ChangePolicy(const std::function<void(config::Route&)>& change) {
    config::RoutingPolicy policy = context.routes->policy();
    ++policy.version;
    for (config::Route& it : policy.routes) change(it);
    context.routes = std::make_shared<const steering::RouteTable>(std::move(policy));
  }

  ScriptedServer& AddServer(const std::string& id, ScriptedServer::Script script,
                            const std::string& failure_domain = "east-a",
                            const std::string& service = "s") {
    servers_.emplace_back(io, std::move(script));
    auto report = Report(id, servers_.back().Address());
    report.failure_domain = failure_domain;
    report.service = service;
    Apply(report);
    return servers_.back();
  }

  static steering::ServerReport Report(const std::string& id, const std::string& address) {
    steering::ServerReport report;
    report.id = id;
    report.born_ms = 1;
    report.service = "s";
    report.address = address;
    report.failure_domain = "east-a";
    report.slots = 9;
    report.sequence = 1;
    return report;
  }

  void Apply(const steering::ServerReport& report) {
    (void)context.servers.OnReport(report, core::RuntimeClock::now());
  }

  /// A client connection.
  struct Client {
    explicit Client(boost::asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::string input;
    std::array<char, 8192> buf{};
    bool closed = false;
  };

  std::shared_ptr<Client> Connect() {
    auto client = std::make_shared<Client>(io);
    client->socket.connect(endpoint_);
    Read(client);
    return client;
  }

  static std::string RequestText(const std::string& method, const std::string& path,
                                 const std::string& id, const std::string& body = "",
                                 const std::string& extra_headers = "") {
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                       "\r\nDeadline-Ms: 5000\r\n" + extra_headers;
    if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
  }

  static void Send(Client& client, const std::string& text) {
    boost::asio::write(client.socket, boost::asio::buffer(text));
  }

  template <class Predicate>
  bool RunUntil(Predicate predicate, core::Duration limit = 5s) {
    const auto end = core::RuntimeClock::now() + limit;
    while (!predicate() && core::RuntimeClock::now() < end) io.run_one_for(20ms);
    return predicate();
  }
  void RunFor(core::Duration time) {
    const auto end = core::RuntimeClock::now() + time;
    while (core::RuntimeClock::now() < end) io.run_one_for(10ms);
  }

  /// Sends a request on a new connection and waits until the response arrives or the connection
  /// closes.
  std::string Fetch(const std::string& method, const std::string& path, const std::string& id,
                    const std::string& body = "") {
    auto client = Connect();
    Send(*client, RequestText(method, path, id, body));
    (void)RunUntil([&] { return HasAnswer(client->input) || client->closed; });
    return client->input;
  }

  static bool HasAnswer(const std::string& text) {
    const auto head_end = text.find("\r\n\r\n");
    if (head_end == std::string::npos) return false;
    const std::string length = HeaderOf(text, "Content-Length");
    return text.size() >= head_end + 4 + (length.empty() ? 0 : std::stoul(length));
  }

  static std::string StatusOf(const std::string& answer) { return answer.substr(9, 3); }
  static std::string BodyOf(const std::string& answer) {
    return answer.substr(answer.find("\r\n\r\n") + 4);
  }

  [[nodiscard]] const tcp::endpoint& endpoint() const noexcept { return endpoint_; }
  SessionGroup& group() { return listener_.group(); }
  Listener& listener() { return listener_; }

  /// Called after a request was read and its first server chosen, before it is sent.
  std::function<void()> after_start;
  boost::asio::io_context io;

 private:
  telemetry::EventStream events_;

 public:
  Context context;

 private:
  static WireNames Names() {
    WireNames names;
    names.request_id = "Request-Id";
    names.deadline_ms = "Deadline-Ms";
    names.affinity_cookie = "object";
    names.response_digest = "Seal";
    names.expected_server = "Expected-Server";
    names.server_load = "Load";
    names.server_limit = "Limit";
    names.server_leaving = "Leaving";
    names.not_run = "Not-Run";
    names.server_id = "Server-Id";
    return names;
  }
  static FleetLimits Limits() {
    FleetLimits limits;
    limits.retry_ratio = 0.2;
    limits.retry_allowance = 50;
    return limits;
  }
  static steering::PickerSettings Picker() {
    steering::PickerSettings settings;
    settings.region = "east";
    return settings;
  }
  std::uint16_t FreePort() {
    const tcp::acceptor probe(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return probe.local_endpoint().port();
  }
  void Read(const std::shared_ptr<Client>& client) {
    client->socket.async_read_some(boost::asio::buffer(client->buf),
                                   [this, client](boost::system::error_code ec, std::size_t n) {
                                     if (ec) {
                                       client->closed = true;
                                       return;
                                     }
                                     client->input.append(client->buf.data(), n);
                                     Read(client);
                                   });
  }

  Listener listener_;
  tcp::endpoint endpoint_;
  std::list<ScriptedServer> servers_;
};

/// Answers each request with `body`.
inline ScriptedServer::Script Answer(const std::string& body) {
  return [body](const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
    connection->Write(FullResponse(request, body));
  };
}

/// Allows only `region` for the requests of `route`.
inline std::function<void(config::Route&)> OnlyIn(const std::string& region) {
  return [region](config::Route& route) { route.allowed_regions = {region}; };
}

/// Number of requests that the servers have received together.
inline std::size_t RequestCount(const std::vector<ScriptedServer*>& servers) {
  std::size_t n = 0;
  for (const ScriptedServer* it : servers) n += it->requests.size();
  return n;
}

}  // namespace vanilladeck::gateway::testing
