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

/// Stand-in for the platform: the subset of the Consul HTTP API of the design page, section 3.4,
/// and a second listener that injects faults.
class Platform {
 public:
  struct Settings {
    tcp::endpoint listen;
    tcp::endpoint control;
    std::string token;                      ///< Empty: no token needed.
    std::chrono::milliseconds list_lag{0};  ///< Age of the instance list that callers see.
  };

  Platform(asio::io_context& context, const Settings& settings) : settings_(settings) {
    api_ = HttpServer::Start(context, settings.listen, [this](HttpRequest r, Connection c) {
      return ServeApi(std::move(r), std::move(c));
    });
    control_ = HttpServer::Start(
        context, settings.control,
        [this](HttpRequest r, const Connection&) { return ServeControl(std::move(r)); });
    lists_.push_back({Now(), Json::object()});
  }

  [[nodiscard]] std::string address() const { return Text(api_->endpoint()); }
  [[nodiscard]] std::string control_address() const { return Text(control_->endpoint()); }

 private:
  using Clock = std::chrono::steady_clock;
  enum class Kind : std::uint8_t { kRead, kWrite, kWatch };
  struct Fault {
    std::string mode = "ok";
    std::chrono::milliseconds delay{0};
    std::uint64_t after_writes = 0;
    double probability = 1;
    std::set<std::string> partitioned;
  };
  struct Listing {
    Clock::time_point since;
    Json instances;  ///< By registration id.
  };

  static Clock::time_point Now() { return Clock::now(); }

  static std::string Text(const tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }

  static std::optional<std::uint64_t> Number(const Target& target, std::string_view name) {
    if (!target.Has(name)) return std::nullopt;
    const std::string text = target.Value(name);
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
      throw std::invalid_argument(std::string(name) + " is not a number: " + text);
    }
    return value;
  }

  static std::chrono::milliseconds Wait(const Target& target) {
    constexpr std::chrono::milliseconds kDefaultWait = std::chrono::minutes(5);
    const std::string text = target.Value("wait");
    if (text.empty()) return kDefaultWait;
    const auto count = std::stoll(text);
    return text.ends_with("ms") ? std::chrono::milliseconds(count) : std::chrono::seconds(count);
  }

  asio::awaitable<Answer> ServeApi(HttpRequest request, Connection connection) {
    const Target target = ParseTarget(request.target());
    const Kind kind = target.Has("index")                   ? Kind::kWatch
                      : request.method() == http::verb::get ? Kind::kRead
                                                            : Kind::kWrite;
    Count(kind, target.path);
    const Fault fault = ActiveFault(kind);
    if (fault_.partitioned.contains(connection.client_ip)) co_return Dropped(Delivery::kSilent);
    if (fault.mode == "down") co_return Dropped(Delivery::kClose);
    if (fault.mode == "error") {
      co_return MakeAnswer(http::status::internal_server_error, "No cluster leader", "text/plain");
    }
    if (fault.mode == "slow") {
      co_await Sleep(fault.delay);
    }
    if (!settings_.token.empty() && request["X-Consul-Token"] != settings_.token) {
      co_return MakeAnswer(http::status::forbidden, "Permission denied", "text/plain");
    }
    if (kind == Kind::kWatch) {
      co_await Block(target);
    }
    Answer answer = Execute(request, target);
    if (fault.mode == "lose_answers" && kind == Kind::kWrite) answer.delivery = Delivery::kClose;
    co_return answer;
  }

  void Count(Kind kind, const std::string& path) {
    constexpr std::array<const char*, 3> kNames{"read", "write", "watch"};
    const char* name = kNames[static_cast<std::size_t>(kind)];
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(Now().time_since_epoch()).count();
    if (second != second_) {
      second_ = second;
      in_second_.clear();
    }
    ++calls_[name];
    peaks_[name] = std::max(peaks_[name], ++in_second_[name]);
    // "/v1/kv/ops/..." is counted as "kv/ops".
    const auto first = path.find('/', 4);
    ++paths_[path.substr(4, path.find('/', first + 1) - 4)];
  }

  /// The fault that applies to this call; counts writes for `after_writes`.
  Fault ActiveFault(Kind kind) {
    if (fault_.after_writes > 0) {
      if (kind == Kind::kWrite) --fault_.after_writes;
      return {};
    }
    if (std::bernoulli_distribution(fault_.probability)(random_)) return fault_;
    return {};
  }

  asio::awaitable<void> Block(const Target& target) {
    const auto deadline = Now() + Wait(target);
    const std::uint64_t index = Number(target, "index").value_or(0);
    const std::uint64_t restores = restores_;
    const std::string key = Key(target);
    auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
    watchers_.insert(timer);
    while (data_.IndexOf(key, target.Has("recurse")) <= index && Now() < deadline &&
           restores == restores_) {
      timer->expires_at(deadline);
      co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    }
    watchers_.erase(timer);
  }

  void WakeWatchers() {
    for (const auto& it : watchers_) it->cancel();
  }

  static std::string Key(const Target& target) {
    constexpr std::string_view kPrefix = "/v1/kv/";
    return target.path.starts_with(kPrefix) ? target.path.substr(kPrefix.size()) : std::string();
  }

  Answer Execute(const HttpRequest& request, const Target& target) try {
    if (target.path.starts_with("/v1/kv/")) return ServeKey(request, target);
    if (target.path.starts_with("/v1/session/")) return ServeSession(request, target);
    if (target.path.starts_with("/v1/agent/service/")) return ServeAgent(request, target);
    if (target.path.starts_with("/v1/health/service/")) return ServeHealth(target);
    return MakeAnswer(http::status::not_found, "no such endpoint", "text/plain");
  } catch (const std::exception& error) {
    return MakeAnswer(http::status::bad_request, error.what(), "text/plain");
  }

  Answer ServeKey(const HttpRequest& request, const Target& target) {
    const std::string key = Key(target);
    if (request.method() == http::verb::get) return ReadKey(key, target);
    constexpr std::size_t kMaxValueBytes = 1'000'000;
    if (request.body().size() > kMaxValueBytes) {
      return MakeAnswer(http::status::payload_too_large, "value exceeds limit", "text/plain");
    }
    const auto cas = Number(target, "cas");
    const bool done = request.method() == http::verb::put
                          ? data_.Put(key, request.body(), cas)
                          : data_.Delete(key, target.Has("recurse"), cas);
    if (done) WakeWatchers();
    return MakeAnswer(http::status::ok, done ? "true" : "false");
  }

  Answer ReadKey(const std::string& key, const Target& target) {
    const bool recurse = target.Has("recurse");
    const Json rows = data_.Rows(key, recurse);
    Answer answer = MakeAnswer(http::status::ok, rows.dump());
    if (rows.empty()) {
      answer = MakeAnswer(http::status::not_found, "");
    } else if (target.Has("raw")) {
      answer = MakeAnswer(http::status::ok, data_.Find(key)->value, "application/octet-stream");
    }
    answer.response.set("X-Consul-Index", std::to_string(data_.IndexOf(key, recurse)));
    return answer;
  }

  Answer ServeSession(const HttpRequest& request, const Target& target) {
    if (target.path == "/v1/session/create") {
      const Json body = Json::parse(request.body().empty() ? "{}" : request.body());
      const std::string id = "session-" + std::to_string(++last_session_);
      const auto ttl = std::chrono::seconds(std::stoll(body.value("TTL", "3600s")));
      sessions_[id] = {Now() + ttl, ttl};
      return MakeAnswer(http::status::ok, Json{{"ID", id}}.dump());
    }
    const std::string id = target.path.substr(target.path.rfind('/') + 1);
    std::erase_if(sessions_, [](const auto& it) { return it.second.first < Now(); });
    const auto it = sessions_.find(id);
    if (target.path.starts_with("/v1/session/destroy/")) {
      sessions_.erase(id);
      return MakeAnswer(http::status::ok, "true");
    }
    if (it == sessions_.end()) {
      return MakeAnswer(http::status::not_found, "Session id not found", "text/plain");
    }
    it->second.first = Now() + it->second.second;
    return MakeAnswer(http::status::ok, Json::array({Json{{"ID", id}}}).dump());
  }

  Answer ServeAgent(const HttpRequest& request, const Target& target) {
    Json instances = lists_.back().instances;
    if (target.path == "/v1/agent/service/register") {
      Json body = Json::parse(request.body());
      const std::string id = body.value("ID", body.at("Name").get<std::string>());
      ExtendTtl(id, body);
      body.erase("Check");
      instances[id] = std::move(body);
    } else {
      instances.erase(target.path.substr(target.path.rfind('/') + 1));
    }
    SetInstances(std::move(instances));
    return MakeAnswer(http::status::ok, "");
  }

  void ExtendTtl(const std::string& id, const Json& body) {
    expiries_.erase(id);
    if (!body.contains("Check")) return;
    const auto ttl = std::chrono::seconds(std::stoll(body["Check"].value("TTL", "3600s")));
    expiries_[id] = Now() + ttl;
  }

  void SetInstances(Json instances) {
    if (instances != lists_.back().instances) lists_.push_back({Now(), std::move(instances)});
  }

  Answer ServeHealth(const Target& target) {
    Json instances = lists_.back().instances;
    std::erase_if(expiries_, [&](const auto& it) {
      if (it.second >= Now()) return false;
      instances.erase(it.first);
      return true;
    });
    SetInstances(std::move(instances));
    while (lists_.size() > 1 && lists_[1].since + settings_.list_lag <= Now()) lists_.pop_front();
    const std::string name = target.path.substr(target.path.rfind('/') + 1);
    Json rows = Json::array();
    for (const auto& [id, it] : lists_.front().instances.items()) {
      if (it.value("Name", "") != name) continue;
      rows.push_back({{"Service",
                       {{"ID", id},
                        {"Service", name},
                        {"Address", it.value("Address", "")},
                        {"Port", it.value("Port", 0)},
                        {"Meta", it.value("Meta", Json::object())}}}});
    }
    return MakeAnswer(http::status::ok, rows.dump());
  }

  asio::awaitable<Answer> ServeControl(HttpRequest request) {
    try {
      co_return Control(request);
    } catch (const std::exception& error) {
      co_return MakeAnswer(http::status::bad_request, error.what(), "text/plain");
    }
  }

  Answer Control(const HttpRequest& request) {
    const std::string path(request.target());
    if (path == "/stats") return MakeAnswer(http::status::ok, Stats().dump());
    if (path == "/snapshot") {
      backup_ = data_;
    } else if (path == "/restore") {
      if (!backup_) throw std::invalid_argument("no snapshot was taken");
      data_ = *backup_;
      ++restores_;
      WakeWatchers();
    } else if (path == "/fault") {
      SetFault(Json::parse(request.body()));
    } else {
      return MakeAnswer(http::status::not_found, "no such control", "text/plain");
    }
    return MakeAnswer(http::status::ok, "true");
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
    return {{"calls", calls_},
            {"peak_per_second", peaks_},
            {"paths", paths_},
            {"index", data_.index()},
            {"connections", api_->connections()}};
  }

  Settings settings_;
  std::shared_ptr<HttpServer> api_;
  std::shared_ptr<HttpServer> control_;
  StoreData data_;
  std::optional<StoreData> backup_;
  std::uint64_t restores_ = 0;
  std::set<std::shared_ptr<asio::steady_timer>> watchers_;
  std::map<std::string, std::pair<Clock::time_point, std::chrono::seconds>> sessions_;
  std::uint64_t last_session_ = 0;
  std::deque<Listing> lists_;  ///< Oldest first; the front is what callers see.
  std::map<std::string, Clock::time_point> expiries_;
  Fault fault_;
  std::mt19937_64 random_{1};
  std::map<std::string, std::uint64_t> calls_;
  std::map<std::string, std::uint64_t> peaks_;
  std::map<std::string, std::uint64_t> in_second_;
  std::map<std::string, std::uint64_t> paths_;
  std::int64_t second_ = 0;
};

}  // namespace vanilladeck::standins
