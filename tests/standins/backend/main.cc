#include <docopt/docopt.h>

#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "standins/backend/backend.h"

namespace vanilladeck::standins {
namespace {

constexpr char kUsage[] = R"(Stand-in for backend servers, one simulated server per port.

Usage:
  standin_backend --listen=ADDR --control=ADDR --log=FILE [options]

Options:
  --listen=ADDR          IP:port of the first server; the others use the next ports.
  --control=ADDR         IP:port for GET /stats and POST /set {"server": INDEX, ...}.
  --log=FILE             File for one JSON line per request that ran.
  --count=N              Number of servers [default: 1].
  --platform=ADDR        Platform with which the servers register [default: ].
  --token=TOKEN          Token for the platform [default: ].
  --service=NAME         Service of the servers [default: service].
  --failure-domain=NAME  Failure domain of the servers [default: domain].
  --set=JSON             Initial settings [default: {}].
)";

/// All servers of the process, their control listener and their registration with the platform.
class BackendFleet {
 public:
  BackendFleet(asio::io_context& context, std::map<std::string, docopt::value> args)
      : args_(std::move(args)), log_(args_["--log"].asString()), client_(context) {
    if (!log_) throw std::invalid_argument("cannot write " + args_["--log"].asString());
    BackendSettings settings;
    settings.Apply(Json::parse(args_["--set"].asString()));
    tcp::endpoint endpoint = ParseEndpoint(args_["--listen"].asString());
    for (std::int64_t i = 0; i < args_["--count"].asLong(); ++i) {
      servers_.push_back(std::make_unique<Backend>(context, endpoint, log_, settings));
      endpoint.port(static_cast<std::uint16_t>(servers_.back()->endpoint().port() + 1));
    }
    control_ = HttpServer::Start(context, ParseEndpoint(args_["--control"].asString()),
                                 [this](HttpRequest request, const Connection&) {
                                   return ServeControl(std::move(request));
                                 });
    for (const auto& server : servers_) {
      asio::co_spawn(context, Register(*server), asio::detached);
    }
  }

 private:
  /// Retries until the platform has accepted the server's current state.
  asio::awaitable<void> Register(Backend& server) {
    constexpr milliseconds kTimeout{1000};
    constexpr milliseconds kRetryDelay{50};
    const std::string platform = args_["--platform"].asString();
    if (platform.empty()) co_return;
    const std::string ip = server.endpoint().address().to_string();
    const std::uint16_t port = server.endpoint().port();
    const std::string service = args_["--service"].asString();
    const char* state = server.settings().leaving_list ? "leaving" : "live";
    const Json meta{{"failure_domain", args_["--failure-domain"].asString()}, {"state", state}};
    const Json body{{"ID", service + "-" + ip + ":" + std::to_string(port)},
                    {"Name", service},
                    {"Address", ip},
                    {"Port", port},
                    {"Meta", meta}};
    while (true) {
      HttpRequest request = MakeRequest(http::verb::put, "/v1/agent/service/register", body.dump());
      request.set("X-Consul-Token", args_["--token"].asString());
      const FetchResult result =
          co_await client_.Fetch(ParseEndpoint(platform), std::move(request), kTimeout);
      if (result.status() == 200) co_return;
      co_await Sleep(kRetryDelay);
    }
  }

  asio::awaitable<Reply> ServeControl(HttpRequest request) {
    try {
      if (request.target() == "/stats") {
        Json stats = Json::array();
        for (const auto& server : servers_) stats.push_back(server->Stats());
        co_return MakeReply(http::status::ok, stats.dump());
      }
      ApplySettings(Json::parse(request.body()));
      co_return MakeReply(http::status::ok, "true");
    } catch (const std::exception& error) {
      co_return MakeReply(http::status::bad_request, error.what(), "text/plain");
    }
  }

  void ApplySettings(const Json& body) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (body.contains("server") && body["server"].get<std::size_t>() != i) continue;
      servers_[i]->Apply(body);
      if (body.contains("leaving_list")) {
        asio::co_spawn(control_->executor(), Register(*servers_[i]), asio::detached);
      }
    }
  }

  std::map<std::string, docopt::value> args_;
  std::ofstream log_;
  HttpClient client_;
  std::vector<std::unique_ptr<Backend>> servers_;
  std::shared_ptr<HttpServer> control_;
};

}  // namespace
}  // namespace vanilladeck::standins

int main(int argc, char** argv) try {
  using namespace vanilladeck::standins;  // NOLINT(google-build-using-namespace)
  boost::asio::io_context context;
  BackendFleet fleet(context, docopt::docopt(kUsage, {argv + 1, argv + argc}));
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, auto) { context.stop(); });
  std::cout << "ready" << std::endl;
  context.run();
} catch (const std::exception& error) {
  std::cerr << "standin_backend: " << error.what() << "\n";
  return 1;
}
