#include "process/system.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace vanilladeck::process {
namespace {

namespace http = boost::beast::http;
using standins::FetchBlocking;
using standins::MakeRequest;
using standins::ParseEndpoint;

constexpr const char* kToken = "test-token";
constexpr milliseconds kCallTimeout{3000};
constexpr std::array<const char*, System::kDomains> kDomainNames{"west-a", "east-a"};

std::string LoopbackAddress(int port) { return "127.0.0.1:" + std::to_string(port); }

/// Returns the first of `count` consecutive free ports below the range of ephemeral ports.
int FindFreePorts(int count = 1) {
  constexpr int kFirst = 20'000;
  constexpr int kLast = 32'000;
  // Test processes that run concurrently start in different ranges.
  static int next_port = kFirst + static_cast<int>(getpid() % 40) * 300;
  const auto is_free = [](int port) {
    boost::asio::io_context context;
    boost::system::error_code ec;
    boost::asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(boost::asio::ip::tcp::v4(), ec);
    acceptor.bind(ParseEndpoint(LoopbackAddress(port)), ec);
    return !ec;
  };
  for (int consecutive_free = 0; consecutive_free < count; ++next_port) {
    if (next_port >= kLast) next_port = kFirst;
    consecutive_free = is_free(next_port) ? consecutive_free + 1 : 0;
  }
  return next_port - count;
}

std::vector<Json> ReadJsonLines(const std::string& path) {
  std::vector<Json> out;
  std::istringstream in(ReadFile(path));
  for (std::string line; std::getline(in, line);) {
    Json row = Json::parse(line, nullptr, false);
    // The last line may be incomplete while its writer runs.
    if (row.is_object()) out.push_back(std::move(row));
  }
  return out;
}

constexpr const char* kDeployment = R"([deployment]
name = "test"
record_retention_s = 900
lookup_ttl_s = LOOKUP_TTL
[policy]
scheduler = "weighted_fair"
queue_limit = QUEUE_LIMIT
retry_budget = 0.1
drain_timeout_s = 20
[ranks.urgent]
target_ms = 250
worth = 100
floor = 0.3
[ranks.normal]
target_ms = 500
worth = 10
floor = 0.2
[ranks.bulk]
target_ms = 2000
worth = 1
floor = 0.1
[[region]]
name = "west"
client_blocks = ["127.0.0.0/8"]
[[region]]
name = "east"
client_blocks = ["10.0.0.0/8"]
[[failure_domain]]
name = "west-a"
region = "west"
seats = 2
[[failure_domain]]
name = "east-a"
region = "east"
seats = 2
[[link]]
from = "west"
to = "east"
capacity_mbps = 4000
shift_cap_rps = 50
shift_cap_inflight = 20
[[link]]
from = "east"
to = "west"
capacity_mbps = 4000
shift_cap_rps = 50
shift_cap_inflight = 20
[[service]]
name = "catalogue"
depends_on = []
default_rank = "normal"
[[service.place]]
failure_domain = "west-a"
servers = 2
slots = 10
connections = 330
[[service.place]]
failure_domain = "east-a"
servers = 2
slots = 10
connections = 330
)";

void ReplacePlaceholder(std::string& text, const std::string& placeholder, int value) {
  text.replace(text.find(placeholder), placeholder.size(), std::to_string(value));
}

}  // namespace

System::System(const Json& backend, const DeploymentOptions& options) {
  std::string name = (std::filesystem::temp_directory_path() / "process-test-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create " + name);
  dir_ = name;
  StartPlatform();
  for (std::size_t i = 0; i < kDomains; ++i) StartBackends(i, backend);
  daemons_.resize(kDaemons);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    WriteDaemonSettings(i);
    StartDaemon(i);
  }
  const bool applied = WaitUntil(kSettleTimeout, [&] {
    Child ctl = StartApply(0, 0, options);
    return ctl.Wait(kCallTimeout) == 0;
  });
  if (!applied) WARN("apply: " << ReadFile(FilePath("apply" + std::to_string(file_id_) + ".err")));
  REQUIRE(applied);
  REQUIRE(WaitUntil(kSettleTimeout, [this] { return AllDaemonsReady(1); }));
}

System::~System() {
  load_.reset();
  daemons_.clear();
  standins_.clear();
  std::error_code ec;
  if (std::getenv("KEEP_PROCESS_TEST_FILES") == nullptr) std::filesystem::remove_all(dir_, ec);
}

std::string System::ProgramPath(const std::string& name) const {
  const std::string subdirectory = name.starts_with("standin_") ? "/tests/" : "/";
  return VANILLADECK_BINARY_DIR + subdirectory + name;
}

void System::StartPlatform() {
  platform_address_ = LoopbackAddress(FindFreePorts());
  platform_control_address_ = LoopbackAddress(FindFreePorts());
  standins_.emplace_back(
      std::vector<std::string>{ProgramPath("standin_platform"), "--listen=" + platform_address_,
                               "--control=" + platform_control_address_,
                               std::string("--token=") + kToken, "--list-lag-ms=500"},
      FilePath("platform"));
  REQUIRE(
      WaitUntil(kCallTimeout, [this] { return standins_.back().Stdout().starts_with("ready"); }));
}

void System::StartBackends(std::size_t domain, const Json& settings) {
  backend_control_addresses_.push_back(LoopbackAddress(FindFreePorts()));
  Json merged_settings{{"slots", kSlots}};
  merged_settings.update(settings);
  const std::string name = kDomainNames.at(domain);
  standins_.emplace_back(
      std::vector<std::string>{
          ProgramPath("standin_backend"), "--listen=" + LoopbackAddress(FindFreePorts(2)),
          "--count=2", "--control=" + backend_control_addresses_.back(),
          "--log=" + FilePath("ran-" + name), "--platform=" + platform_address_,
          std::string("--token=") + kToken, "--service=catalogue", "--failure-domain=" + name,
          "--set=" + merged_settings.dump()},
      FilePath("backend-" + name));
  REQUIRE(
      WaitUntil(kCallTimeout, [this] { return standins_.back().Stdout().starts_with("ready"); }));
}

void System::WriteDaemonSettings(std::size_t i) {
  Daemon& instance = daemons_.at(i);
  instance.settings_file = FilePath("daemon" + std::to_string(i) + ".toml");
  instance.callers_address = LoopbackAddress(FindFreePorts());
  instance.operators_address = LoopbackAddress(FindFreePorts());
  std::ofstream(instance.settings_file)
      << "deployment = \"test\"\nfailure_domain = \"" << kDomainNames.at(i / 2)
      << "\"\nseat = " << i % 2 << "\n[listen]\ncallers = \"" << instance.callers_address
      << "\"\npeers = \"" << LoopbackAddress(FindFreePorts()) << "\"\noperators = \""
      << instance.operators_address << "\"\n[platform]\naddress = \"" << platform_address_
      << "\"\ntoken = \"" << kToken << "\"\n";
}

void System::StartDaemon(std::size_t i) {
  Daemon& instance = daemons_.at(i);
  instance.child = std::make_unique<Child>(
      std::vector<std::string>{ProgramPath("vanilladeckd"), "--settings", instance.settings_file},
      FilePath("daemon" + std::to_string(i) + "-" + std::to_string(++file_id_)));
}

std::string System::WriteDeploymentFile(const DeploymentOptions& options) {
  std::string text = kDeployment;
  ReplacePlaceholder(text, "LOOKUP_TTL", options.lookup_ttl_s);
  ReplacePlaceholder(text, "QUEUE_LIMIT", options.queue_limit);
  std::string path = FilePath("deployment" + std::to_string(++file_id_) + ".toml");
  std::ofstream(path) << text;
  return path;
}

Child System::StartApply(std::size_t i, int base, const DeploymentOptions& options) {
  const std::string text = WriteDeploymentFile(options);
  return {{ProgramPath("vanilladeckctl"), "--operators", daemons_.at(i).operators_address, "--who",
           "test", "--base", std::to_string(base), "apply", text},
          FilePath("apply" + std::to_string(file_id_))};
}

bool System::AllDaemonsReady(int version) const {
  for (std::size_t i = 0; i < kDaemons; ++i) {
    const Json body = Json::parse(Lookup(i).body(), nullptr, false);
    if (!body.is_object() || body.value("version", 0) != version) return false;
    if (body.value("entry_instances", Json::array()).size() != kDaemons) return false;
    if (!HoldsSeat(i) || !IsServing(i)) return false;
  }
  return true;
}

bool System::HoldsSeat(std::size_t i) const {
  const auto result = FetchBlocking(ParseEndpoint(daemons_.at(i).operators_address),
                                    MakeRequest(http::verb::get, "/v1/status"), kCallTimeout);
  const Json body = Json::parse(result.body(), nullptr, false);
  return body.is_object() && !body.value("daemon", Json::object()).value("seats", Json()).empty();
}

int System::ConfigVersion(std::size_t i) const {
  const Json body = Json::parse(Lookup(i).body(), nullptr, false);
  return body.is_object() ? body.value("version", 0) : 0;
}

FetchResult System::Lookup(std::size_t i, const std::string& client) const {
  auto request = MakeRequest(http::verb::get, "/v1/lookup?service=catalogue");
  request.set("Client-Id", client);
  return FetchBlocking(ParseEndpoint(daemons_.at(i).callers_address), std::move(request),
                       kCallTimeout);
}

std::string System::OperationKey(std::size_t i, const std::string& client) const {
  return Json::parse(Lookup(i, client).body()).at("operation_key").get<std::string>();
}

FetchResult System::Send(std::size_t i, http::verb verb, const std::string& target,
                         const Headers& headers, const std::string& body) const {
  auto request = MakeRequest(verb, "/svc/catalogue" + target, body);
  request.set("Client-Id", "test");
  for (const auto& [name, value] : headers) request.set(name, value);
  return FetchBlocking(ParseEndpoint(daemons_.at(i).callers_address), std::move(request),
                       kCallTimeout);
}

bool System::IsServing(std::size_t i) const {
  return Send(i, http::verb::get, "/ready").status() == 200;
}

void System::SetPlatformFault(const Json& fault) const {
  const auto result =
      FetchBlocking(ParseEndpoint(platform_control_address_),
                    MakeRequest(http::verb::post, "/fault", fault.dump()), kCallTimeout);
  REQUIRE(result.status() == 200);
}

void System::ConfigureBackends(std::size_t domain, const Json& settings) const {
  const auto result =
      FetchBlocking(ParseEndpoint(backend_control_addresses_.at(domain)),
                    MakeRequest(http::verb::post, "/set", settings.dump()), kCallTimeout);
  REQUIRE(result.status() == 200);
}

Json System::BackendStats(std::size_t domain) const {
  return Json::parse(FetchBlocking(ParseEndpoint(backend_control_addresses_.at(domain)),
                                   MakeRequest(http::verb::get, "/stats"), kCallTimeout)
                         .body());
}

void System::StartLoad(int seconds, double rps_per_rank, double post_share) {
  std::string entries;
  for (const Daemon& it : daemons_) entries += (entries.empty() ? "" : ",") + it.callers_address;
  const std::string rps = std::to_string(rps_per_rank);
  load_ = std::make_unique<Child>(
      std::vector<std::string>{ProgramPath("standin_load"), "--entries=" + entries,
                               "--service=catalogue", "--seconds=" + std::to_string(seconds),
                               "--urgent=" + rps, "--normal=" + rps, "--bulk=" + rps,
                               "--post-share=" + std::to_string(post_share),
                               "--operations=" + FilePath("operations")},
      FilePath("load"));
}

Json System::FinishLoad() {
  constexpr milliseconds kLoadTimeout{60'000};
  REQUIRE(load_->Wait(kLoadTimeout) == 0);
  Json summary = Json::parse(load_->Stdout());
  INFO(summary.dump(2));
  for (const auto& [rank, stats] : summary["ranks"].items()) {
    CHECK(stats["sent"] > 0);
    CHECK(stats["wrong"] == 0);
  }
  return summary;
}

std::vector<Json> System::FinishedOperations() const {
  return ReadJsonLines(FilePath("operations"));
}

std::vector<Json> System::RanRequests() const {
  std::vector<Json> out;
  for (const char* name : kDomainNames) {
    auto rows = ReadJsonLines(FilePath(std::string("ran-") + name));
    out.insert(out.end(), rows.begin(), rows.end());
  }
  return out;
}

std::size_t System::RunCount(const std::string& key) const {
  const auto rows = RanRequests();
  return static_cast<std::size_t>(std::count_if(
      rows.begin(), rows.end(), [&key](const Json& row) { return row["key"] == key; }));
}

void System::CheckOperationRuns() const {
  std::map<std::string, int> runs_by_key;
  for (const Json& request : RanRequests()) {
    const auto key = request["key"].get<std::string>();
    if (!key.empty()) ++runs_by_key[key];
  }
  for (const auto& [key, count] : runs_by_key) {
    INFO("operation " << key);
    CHECK(count == 1);
  }
  std::size_t confirmed_count = 0;
  for (const Json& operation : FinishedOperations()) {
    const int count = runs_by_key[operation["key"].get<std::string>()];
    INFO(operation.dump());
    if (operation["verdict"] == "ok") {
      ++confirmed_count;
      CHECK(count == 1);
    }
    if (operation["verdict"] == "not-run") CHECK(count == 0);
  }
  CHECK(confirmed_count > 0);
}

void System::CheckSlotLimits() const {
  for (std::size_t domain = 0; domain < kDomains; ++domain) {
    for (const Json& server : BackendStats(domain)) {
      INFO(server.dump());
      CHECK(server["shed"] == 0);
      CHECK(server["peak_queue"] == 0);
      CHECK(server["peak_busy"] <= kSlots);
    }
  }
}

}  // namespace vanilladeck::process
