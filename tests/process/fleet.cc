#include "process/fleet.h"

#include <signal.h>

#include <catch2/catch.hpp>
#include <iomanip>
#include <sstream>

#include "process/fleet_checks.h"

namespace vanilladeck::process {
namespace {

using Json = nlohmann::json;

constexpr milliseconds kStartTimeout{10'000};
constexpr std::size_t kZones = 3;  // Of a region.
constexpr const char* kPolicyKey = "op/config";

/// Loopback address of a gateway, of this test process alone: the metrics port is fixed.
std::string AddressOf(std::size_t gateway) {
  constexpr int kAddresses = 250;
  constexpr int kFirstSecondByte = 80;
  constexpr int kSecondBytes = 100;
  const int n = getpid();
  return "127." + std::to_string(kFirstSecondByte + n / kAddresses % kSecondBytes) + "." +
         std::to_string(n % kAddresses) + "." + std::to_string(gateway + 1);
}

std::string EndpointText(const asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace

Fleet::Fleet(const FleetOptions& options) : options_(options), random_(options.seed) {
  std::vector<std::string> store_addresses;
  for (std::size_t i = 0; i < options_.gateways; ++i) {
    gateways_.push_back(std::make_unique<GatewayProcess>(AddressOf(i)));
    // Not the gateway's own address, on which the ports for its listeners are not in use yet.
    store_addresses.push_back(AddressOf(options_.gateways + i));
  }
  store_ = std::make_unique<standins::MetadataStore>(io_, store_addresses);
  store_->behavior = options_.store;
  store_->on_return = [this] {
    records_.store_impairments.back().end = Clock::now();
    const int latest = static_cast<int>(kRewriteTime.count()) - 100;
    const milliseconds drawn(std::uniform_int_distribution<int>(0, latest)(random_));
    CallLater(options_.operator_pause.value_or(drawn), [this] { OfferPolicy(); });
  };
  records_.gateways.resize(options_.gateways);
  records_.gateway_impairments.resize(options_.gateways);
  const std::size_t servers = options_.services * options_.servers_per_service;
  records_.servers.resize(servers);
  for (std::size_t i = 0; i < servers; ++i) {
    records_.service_of_server.push_back(i % options_.services);
    servers_.push_back(
        std::make_unique<FleetServer>(io_, *store_, records_, i, ZoneOf(i), random_()));
    servers_.back()->Join();
  }
  asio::co_spawn(io_, MeasureDelays(), asio::detached);
  SendPolicy();
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    WriteGatewaySettings(i);
    StartGateway(i);
  }
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    const bool ready = RunUntil(kStartTimeout, [&] { return Readiness(i) == 200; });
    if (!ready) KeepLogs("start-failed");
    REQUIRE(ready);
  }
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    for (std::size_t n = 0; n < options_.clients_per_gateway; ++n) {
      clients_.push_back(std::make_unique<FleetClient>(
          io_, records_, i, gateways_[i]->Endpoint(gateways_[i]->client_port()), options_.services,
          options_.client_pause, random_()));
    }
  }
}

Fleet::~Fleet() = default;

std::string Fleet::RegionOf(std::size_t i) const {
  return i % options_.regions == 0 ? "east" : "west";
}

std::string Fleet::ZoneOf(std::size_t i) const {
  return RegionOf(i) + "-" + static_cast<char>('a' + i / options_.regions % kZones);
}

void Fleet::WriteGatewaySettings(std::size_t i) {
  std::ostringstream extra;
  extra << "node=" << NameOf(i) << "\nzone=" << ZoneOf(i) << "\nregion=" << RegionOf(i) << '\n';
  for (std::size_t zone = 0; zone < kZones * options_.regions; ++zone) {
    extra << "zones." << ZoneOf(zone) << '=' << RegionOf(zone) << '\n';
  }
  constexpr std::size_t kSeeds = 3;
  for (std::size_t n = 0; n < std::min(kSeeds, gateways_.size()); ++n) {
    extra << (n == 0 ? "seeds=" : ",")
          << EndpointText(gateways_[n]->Endpoint(gateways_[n]->peer_port()));
  }
  extra << "\nprovider.address=" << EndpointText(store_->endpoint(i))
        << "\ntolerate.nodes=1\nbounds.configS=2.5\nbounds.drainS=2.5\nbounds.graceS=6\n"
           "bounds.contactS=4\nlimits.memoryMb=260\nlimits.maxFds=4100\n";
  gateways_[i]->WriteSettings(extra.str());
}

std::string Fleet::PolicyText(const PolicyVersion& version) const {
  Json resources = Json::array();
  const auto add_route = [&](const std::string& prefix, std::size_t service, bool idempotent) {
    resources.push_back({{"type", "routes"},
                         {"metadata", {{"name", "a.example" + prefix}}},
                         {"spec",
                          {{"host", "a.example"},
                           {"prefix", prefix},
                           {"kind", idempotent ? "idempotent" : "non_idempotent"},
                           {"timeoutS", 2.0},
                           {"sloS", 0.6},
                           {"priority", 1},
                           {"attempts", idempotent ? 2 : 1},
                           {"backend", "s" + std::to_string(service)}}}});
  };
  add_route("/moved/", version.service, true);
  for (std::size_t i = 0; i < options_.services; ++i) {
    add_route("/s" + std::to_string(i) + "/", i, i % 2 == 0);
    resources.push_back(
        {{"type", "backends"},
         {"metadata", {{"name", "s" + std::to_string(i)}}},
         {"spec",
          {{"healthPath", "/healthz"}, {"maxConns", 330}, {"coldS", 3.0}, {"coldPerS", 1000.0}}}});
  }
  resources.push_back({{"type", "limits"},
                       {"metadata", {{"name", "limits"}}},
                       {"spec",
                        {{"maxHeaderBytes", 9000},
                         {"maxBodyBytes", 70000},
                         {"headerTimeoutS", 3},
                         {"idleTimeoutS", 15}}}});
  std::ostringstream number;
  constexpr int kVersionDigits = 8;
  number << std::hex << std::setw(kVersionDigits) << std::setfill('0') << version.number;
  return Json{{"version", number.str()}, {"resources", resources}}.dump();
}

void Fleet::SendPolicy() {
  // Versions increase in uneven steps.
  constexpr int kLargestStep = 3;
  const int before = records_.versions.empty() ? 0 : records_.versions.back().number;
  const int step = std::uniform_int_distribution<int>(1, kLargestStep)(random_);
  records_.versions.push_back(
      {before + step, records_.versions.size() % options_.services, Clock::now(), std::nullopt});
  OfferPolicy();
}

void Fleet::OfferPolicy() {
  constexpr milliseconds kRetryPause{200};
  PolicyVersion& newest = records_.versions.back();
  const std::string text = PolicyText(newest);
  if (store_->available() && store_->Holds(kPolicyKey, text)) return;
  if (!store_->Put(kPolicyKey, text)) {
    CallLater(kRetryPause, [this] { OfferPolicy(); });
  } else if (!newest.acknowledged) {
    newest.acknowledged = Clock::now();
  }
}

void Fleet::CallLater(milliseconds pause, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(io_, pause);
  timer->async_wait([timer, action = std::move(action)](boost::system::error_code ec) {
    if (!ec) action();
  });
}

void Fleet::LoseStore(milliseconds silence, milliseconds age) {
  records_.store_impairments.push_back({Impaired::kStore, Clock::now(), std::nullopt});
  store_->LoseAndReturn(silence, age);
}

void Fleet::SetStoreAccess(std::size_t gateway, standins::MetadataStore::Access access) {
  if (access == standins::MetadataStore::Access::kServed) {
    EndImpairment(gateway, Impaired::kStoreAccess);
  } else {
    BeginImpairment(gateway, Impaired::kStoreAccess);
  }
  store_->SetAccess(gateway, access);
}

void Fleet::BeginImpairment(std::size_t gateway, Impaired what) {
  records_.gateway_impairments[gateway].push_back({what, Clock::now(), std::nullopt});
}

void Fleet::EndImpairment(std::size_t gateway, Impaired what) {
  for (Impairment& it : records_.gateway_impairments[gateway]) {
    if (it.what == what && !it.end) it.end = Clock::now();
  }
}

void Fleet::StartGateway(std::size_t i) {
  const bool first = records_.gateways[i].empty();
  records_.gateways[i].push_back({Clock::now(), std::nullopt, std::nullopt});
  gateways_[i]->Start();
  // The first start is before all traffic; any other one is an impairment of a moment.
  if (!first) EndImpairment(i, Impaired::kProcess);
}

void Fleet::Terminate(std::size_t i) {
  BeginImpairment(i, Impaired::kProcess);
  records_.gateways[i].back().terminated = Clock::now();
  gateway(i).Signal(SIGTERM);
}

void Fleet::Kill(std::size_t i) {
  BeginImpairment(i, Impaired::kProcess);
  records_.gateways[i].back().killed = Clock::now();
  gateway(i).Signal(SIGKILL);
}

void Fleet::Pause(std::size_t i) {
  BeginImpairment(i, Impaired::kProcess);
  gateway(i).Signal(SIGSTOP);
}

void Fleet::Continue(std::size_t i) {
  gateway(i).Signal(SIGCONT);
  EndImpairment(i, Impaired::kProcess);
}

standins::FetchResult Fleet::Get(const asio::ip::tcp::endpoint& endpoint,
                                 const std::string& target) {
  constexpr milliseconds kTimeout{1000};
  standins::HttpClient client(io_);
  std::optional<standins::FetchResult> result;
  asio::co_spawn(io_,
                 client.Fetch(endpoint, standins::MakeRequest(http::verb::get, target), kTimeout),
                 [&result](const std::exception_ptr& error, const standins::FetchResult& fetched) {
                   result = error ? standins::FetchResult{} : fetched;
                 });
  (void)RunUntil(kStartTimeout, [&] { return result.has_value(); });
  return result.value_or(standins::FetchResult{});
}

int Fleet::Readiness(std::size_t i) {
  return Get(gateways_[i]->Endpoint(gateways_[i]->readiness_port()), "/-/readyz").status();
}

bool Fleet::LookupNames(std::size_t asked, std::size_t named) {
  const std::string query = "name=a.example&region=" + RegionOf(asked) + "&zone=" + ZoneOf(asked);
  const auto result =
      Get(gateways_[asked]->Endpoint(gateways_[asked]->lookup_port()), "/-/resolve?" + query);
  const auto client = gateways_[named]->Endpoint(gateways_[named]->client_port());
  return result.body().find('"' + EndpointText(client) + '"') != std::string::npos;
}

std::vector<std::string> Fleet::GatewaysWithoutRecord() const {
  std::vector<std::string> missing;
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    if (store_->data().Find("vanilladeck/instances/" + NameOf(i)) == nullptr) {
      missing.push_back(NameOf(i));
    }
  }
  return missing;
}

Fleet::Moved Fleet::MovedSince(Clock::time_point since, std::size_t gateway) const {
  Moved moved;
  for (const Request& it : records_.requests) {
    if (it.service || it.gateway != gateway || it.sent < since) continue;
    ++moved.requests;
    const bool other = std::any_of(it.runs.begin(), it.runs.end(), [&](const Run& run) {
      return records_.service_of_server[run.server] != records_.versions.back().service;
    });
    if (other) ++moved.other_service;
  }
  return moved;
}

std::vector<std::string> Fleet::UnusedServersSince(Clock::time_point since) const {
  std::vector<std::string> unused;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const ServerLifetime& lifetime = records_.servers[i].back();
    if (servers_[i]->state() != FleetServer::State::kReady) continue;
    if (lifetime.joined + kConfigBound > since || RunsAfter(records_, i, since) > 0) continue;
    unused.push_back(lifetime.id);
  }
  return unused;
}

std::size_t Fleet::FailedRequests(Clock::time_point since) const {
  return static_cast<std::size_t>(
      std::count_if(records_.requests.begin(), records_.requests.end(), [&](const Request& it) {
        return it.sent >= since && it.ending != Ending::kPending &&
               (it.ending != Ending::kAnswered || it.status != 200);
      }));
}

asio::awaitable<void> Fleet::MeasureDelays() {
  constexpr milliseconds kInterval{10};
  for (;;) {
    const auto due = Clock::now() + kInterval;
    co_await standins::Sleep(kInterval);
    const auto delay = std::chrono::duration_cast<milliseconds>(Clock::now() - due);
    records_.largest_delay = std::max(records_.largest_delay, delay);
  }
}

void Fleet::KeepLogs(const std::string& name) const {
  const char* folder = std::getenv("VANILLADECK_LOG_FOLDER");
  if (folder == nullptr) return;
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    const auto target = std::filesystem::path(folder) / name / NameOf(i);
    std::filesystem::create_directories(target);
    std::filesystem::copy(gateways_[i]->directory(), target,
                          std::filesystem::copy_options::recursive |
                              std::filesystem::copy_options::overwrite_existing);
  }
}

}  // namespace vanilladeck::process
