#pragma once

#include <algorithm>
#include <charconv>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "standins/common/http_server.h"
#include "standins/common/target.h"
#include "standins/platform/store_data.h"

namespace vanilladeck::standins {

using Json = nlohmann::json;

/// Stand-in for the platform: the subset of the Consul HTTP API given in section 3.4 of the
/// design document, and a control listener that injects faults.
class Platform {
 public:
  struct Settings {
    tcp::endpoint listen;
    tcp::endpoint control;
    std::string token;                      ///< Empty: requests need no token.
    std::chrono::milliseconds list_lag{0};  ///< Staleness of the instance list served to clients.
  };

  Platform(asio::io_context& context, const Settings& settings) : settings_(settings) {
    api_ = HttpServer::Start(context, settings.listen,
                             [this](HttpRequest request, Connection connection) {
                               return ServeApi(std::move(request), std::move(connection));
                             });
    control_ = HttpServer::Start(context, settings.control,
                                 [this](HttpRequest request, const Connection&) {
                                   return ServeControl(std::move(request));
                                 });
    lists_.push_back({Now(), Json::object()});
  }

  [[nodiscard]] std::string address() const { return FormatEndpoint(api_->endpoint()); }
  [[nodiscard]] std::string control_address() const { return FormatEndpoint(control_->endpoint()); }

 private:
  using Clock = std::chrono::steady_clock;
  enum class CallKind : std::uint8_t { kRead, kWrite, kWatch };
  struct Fault {
    std::string mode = "ok";
    std::chrono::milliseconds delay{0};
    std::uint64_t after_writes = 0;
    double probability = 1;
    std::set<std::string> partitioned;
  };
  struct InstanceList {
    Clock::time_point since;
    Json instances;  ///< By registration id.
  };

  static Clock::time_point Now() { return Clock::now(); }

  static std::string FormatEndpoint(const tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

  static std::optional<std::uint64_t> ParseNumber(const Target& target, std::string_view name) {
    if (!target.Has(name)) return std::nullopt;
    const std::string text = target.Value(name);
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
      throw std::invalid_argument(std::string(name) + " is not a number: " + text);
    }
    return value;
  }

  static std::chrono::milliseconds ParseWaitTime(const Target& target) {
    constexpr std::chrono::milliseconds kDefaultWait = std::chrono::minutes(5);
    const std::string text = target.Value("wait");
    if (text.empty()) return kDefaultWait;
    const auto count = std::stoll(text);
    return text.ends_with("ms") ? std::chrono::milliseconds(count) : std::chrono::seconds(count);
  }

  asio::awaitable<Reply> ServeApi(HttpRequest request, Connection connection) {
    const Target target = ParseTarget(request.target());
    const CallKind kind = target.Has("index")                   ? CallKind::kWatch
                          : request.method() == http::verb::get ? CallKind::kRead
                                                                : CallKind::kWrite;
    CountCall(kind, target.path);
    const Fault fault = ActiveFault(kind);
    if (fault_.partitioned.contains(connection.client_ip)) co_return NoResponse(Delivery::kSilent);
    if (fault.mode == "down") co_return NoResponse(Delivery::kClose);
    if (fault.mode == "error") {
      co_return MakeReply(http::status::internal_server_error, "No cluster leader", "text/plain");
    }
    if (fault.mode == "slow") {
      co_await Sleep(fault.delay);
    }
    if (!settings_.token.empty() && request["X-Consul-Token"] != settings_.token) {
      co_return MakeReply(http::status::forbidden, "Permission denied", "text/plain");
    }
    if (kind == CallKind::kWatch) {
      co_await WaitForChange(target);
    }
    Reply reply = Execute(request, target);
    if (fault.mode == "lose_answers" && kind == CallKind::kWrite) reply.delivery = Delivery::kClose;
    co_return reply;
  }

  void CountCall(CallKind kind, const std::string& path) {
    constexpr std::array<const char*, 3> kNames{"read", "write", "watch"};
    const char* name = kNames[static_cast<std::size_t>(kind)];
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(Now().time_since_epoch()).count();
    if (second != current_second_) {
      current_second_ = second;
      calls_in_current_second_.clear();
    }
    ++calls_by_kind_[name];
    peak_calls_per_second_[name] =
        std::max(peak_calls_per_second_[name], ++calls_in_current_second_[name]);
    // "/v1/kv/ops/..." is counted as "kv/ops".
    const auto component_end = path.find('/', 4);
    ++calls_by_path_[path.substr(4, path.find('/', component_end + 1) - 4)];
  }

  /// Returns the fault to inject into this call; counts writes down while `after_writes` > 0.
  Fault ActiveFault(CallKind kind) {
    if (fault_.after_writes > 0) {
      if (kind == CallKind::kWrite) --fault_.after_writes;
      return {};
    }
    if (std::bernoulli_distribution(fault_.probability)(random_)) return fault_;
    return {};
  }

  asio::awaitable<void> WaitForChange(const Target& target) {
    const auto deadline = Now() + ParseWaitTime(target);
    const std::uint64_t index = ParseNumber(target, "index").value_or(0);
    const std::uint64_t initial_restore_count = restore_count_;
    const std::string key = KeyFromPath(target);
    auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
    watchers_.insert(timer);
    while (data_.IndexOf(key, target.Has("recurse")) <= index && Now() < deadline &&
           initial_restore_count == restore_count_) {
      timer->expires_at(deadline);
      co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    }
    watchers_.erase(timer);
  }

  void WakeWatchers() {
    for (const auto& timer : watchers_) timer->cancel();
  }

  static std::string KeyFromPath(const Target& target) {
    constexpr std::string_view kPrefix = "/v1/kv/";
    return target.path.starts_with(kPrefix) ? target.path.substr(kPrefix.size()) : std::string();
  }

  Reply Execute(const HttpRequest& request, const Target& target) try {
    if (target.path.starts_with("/v1/kv/")) return ServeKey(request, target);
    if (target.path.starts_with("/v1/session/")) return ServeSession(request, target);
    if (target.path.starts_with("/v1/agent/service/")) return ServeAgent(request, target);
    if (target.path.starts_with("/v1/health/service/")) return ServeHealth(target);
    return MakeReply(http::status::not_found, "no such endpoint", "text/plain");
  } catch (const std::exception& error) {
    return MakeReply(http::status::bad_request, error.what(), "text/plain");
  }

  Reply ServeKey(const HttpRequest& request, const Target& target) {
    const std::string key = KeyFromPath(target);
    if (request.method() == http::verb::get) return ReadKey(key, target);
    constexpr std::size_t kMaxValueBytes = 1'000'000;
    if (request.body().size() > kMaxValueBytes) {
      return MakeReply(http::status::payload_too_large, "value exceeds limit", "text/plain");
    }
    const auto cas = ParseNumber(target, "cas");
    const bool applied = request.method() == http::verb::put
                             ? data_.Put(key, request.body(), cas)
                             : data_.Delete(key, target.Has("recurse"), cas);
    if (applied) WakeWatchers();
    return MakeReply(http::status::ok, applied ? "true" : "false");
  }

  Reply ReadKey(const std::string& key, const Target& target) {
    const bool recurse = target.Has("recurse");
    const Json rows = data_.Rows(key, recurse);
    Reply reply = MakeReply(http::status::ok, rows.dump());
    if (rows.empty()) {
      reply = MakeReply(http::status::not_found, "");
    } else if (target.Has("raw")) {
      reply = MakeReply(http::status::ok, data_.Find(key)->value, "application/octet-stream");
    }
    reply.response.set("X-Consul-Index", std::to_string(data_.IndexOf(key, recurse)));
    return reply;
  }

  Reply ServeSession(const HttpRequest& request, const Target& target) {
    if (target.path == "/v1/session/create") {
      const Json body = Json::parse(request.body().empty() ? "{}" : request.body());
      const std::string id = "session-" + std::to_string(++last_session_number_);
      const auto ttl = std::chrono::seconds(std::stoll(body.value("TTL", "3600s")));
      sessions_[id] = {Now() + ttl, ttl};
      return MakeReply(http::status::ok, Json{{"ID", id}}.dump());
    }
    const std::string id = target.path.substr(target.path.rfind('/') + 1);
    std::erase_if(sessions_, [](const auto& session) { return session.second.first < Now(); });
    const auto it = sessions_.find(id);
    if (target.path.starts_with("/v1/session/destroy/")) {
      sessions_.erase(id);
      return MakeReply(http::status::ok, "true");
    }
    if (it == sessions_.end()) {
      return MakeReply(http::status::not_found, "Session id not found", "text/plain");
    }
    it->second.first = Now() + it->second.second;
    return MakeReply(http::status::ok, Json::array({Json{{"ID", id}}}).dump());
  }

  Reply ServeAgent(const HttpRequest& request, const Target& target) {
    Json instances = lists_.back().instances;
    if (target.path == "/v1/agent/service/register") {
      Json body = Json::parse(request.body());
      const std::string id = body.value("ID", body.at("Name").get<std::string>());
      ResetExpiry(id, body);
      body.erase("Check");
      instances[id] = std::move(body);
    } else {
      instances.erase(target.path.substr(target.path.rfind('/') + 1));
    }
    SetInstances(std::move(instances));
    return MakeReply(http::status::ok, "");
  }

  void ResetExpiry(const std::string& id, const Json& body) {
    registration_expiries_.erase(id);
    if (!body.contains("Check")) return;
    const auto ttl = std::chrono::seconds(std::stoll(body["Check"].value("TTL", "3600s")));
    registration_expiries_[id] = Now() + ttl;
  }

  void SetInstances(Json instances) {
    if (instances != lists_.back().instances) lists_.push_back({Now(), std::move(instances)});
  }

  Reply ServeHealth(const Target& target) {
    Json instances = lists_.back().instances;
    std::erase_if(registration_expiries_, [&](const auto& expiry) {
      if (expiry.second >= Now()) return false;
      instances.erase(expiry.first);
      return true;
    });
    SetInstances(std::move(instances));
    while (lists_.size() > 1 && lists_[1].since + settings_.list_lag <= Now()) lists_.pop_front();
    const std::string name = target.path.substr(target.path.rfind('/') + 1);
    Json rows = Json::array();
    for (const auto& [id, instance] : lists_.front().instances.items()) {
      if (instance.value("Name", "") != name) continue;
      rows.push_back({{"Service",
                       {{"ID", id},
                        {"Service", name},
                        {"Address", instance.value("Address", "")},
                        {"Port", instance.value("Port", 0)},
                        {"Meta", instance.value("Meta", Json::object())}}}});
    }
    return MakeReply(http::status::ok, rows.dump());
  }

  asio::awaitable<Reply> ServeControl(HttpRequest request) {
    try {
      co_return ExecuteControl(request);
    } catch (const std::exception& error) {
      co_return MakeReply(http::status::bad_request, error.what(), "text/plain");
    }
  }

  Reply ExecuteControl(const HttpRequest& request) {
    const std::string path(request.target());
    if (path == "/stats") return MakeReply(http::status::ok, Stats().dump());
    if (path == "/snapshot") {
      snapshot_ = data_;
    } else if (path == "/restore") {
      if (!snapshot_) throw std::invalid_argument("no snapshot was taken");
      data_ = *snapshot_;
      ++restore_count_;
      WakeWatchers();
    } else if (path == "/fault") {
      SetFault(Json::parse(request.body()));
    } else {
      return MakeReply(http::status::not_found, "no such control", "text/plain");
    }
    return MakeReply(http::status::ok, "true");
  }

  void SetFault(const Json& body) {
    static const std::set<std::string> modes{"ok",     "down",         "slow",
                                             "refuse", "lose_answers", "error"};
    Fault fault;
    fault.mode = body.value("mode", "ok");
    if (!modes.contains(fault.mode)) throw std::invalid_argument("unknown mode " + fault.mode);
    fault.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    fault.after_writes = body.value("after_writes", 0U);
    fault.probability = body.value("probability", 1.0);
    fault.partitioned = body.value("partition", std::set<std::string>{});
    const bool healed = fault.partitioned.size() < fault_.partitioned.size();
    fault_ = std::move(fault);
    api_->SetListening(fault_.mode != "refuse");
    if (healed || fault_.mode == "refuse" || fault_.mode == "down") api_->CloseConnections();
    WakeWatchers();
  }

  [[nodiscard]] Json Stats() const {
    return {{"calls", calls_by_kind_},
            {"peak_per_second", peak_calls_per_second_},
            {"paths", calls_by_path_},
            {"index", data_.index()},
            {"connections", api_->connections()}};
  }

  Settings settings_;
  std::shared_ptr<HttpServer> api_;
  std::shared_ptr<HttpServer> control_;
  StoreData data_;
  std::optional<StoreData> snapshot_;
  std::uint64_t restore_count_ = 0;
  std::set<std::shared_ptr<asio::steady_timer>> watchers_;
  std::map<std::string, std::pair<Clock::time_point, std::chrono::seconds>> sessions_;
  std::uint64_t last_session_number_ = 0;
  std::deque<InstanceList> lists_;  ///< Oldest first; clients get the front.
  std::map<std::string, Clock::time_point> registration_expiries_;
  Fault fault_;
  std::mt19937_64 random_{1};
  std::map<std::string, std::uint64_t> calls_by_kind_;
  std::map<std::string, std::uint64_t> peak_calls_per_second_;
  std::map<std::string, std::uint64_t> calls_in_current_second_;
  std::map<std::string, std::uint64_t> calls_by_path_;
  std::int64_t current_second_ = 0;
};

}  // namespace vanilladeck::standins
