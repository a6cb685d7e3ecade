#pragma once

#include <algorithm>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "standins/common/http_client.h"
#include "standins/common/target.h"
#include "vanilladeck/core/rank.h"
#include "vanilladeck/core/runtime_clock.h"

namespace vanilladeck::standins {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// What the control listener of the backend stand-in can set; absent members keep their value.
struct BackendSettings {
  std::size_t slots = 10;
  std::size_t queue = 4;  ///< Requests that wait for a slot before others are shed.
  std::size_t connections = 330;
  core::PerRank<milliseconds> service_time{milliseconds(5), milliseconds(5), milliseconds(5)};
  std::map<std::string, std::int64_t> path_ms;  ///< Service time by path, before that by rank.
  milliseconds cold_start{0};                   ///< Time until the full speed is reached.
  double cold_factor = 4;                       ///< Service time at the start, relative to warm.
  bool leaving_list = false;
  bool leaving_health = false;
  bool leaving_header = false;
  std::string health = "ok";  ///< ok | silent | error
  std::string load = "ok";    ///< ok | silent | error | zero
  milliseconds load_lag{0};
  double shed = 0;           ///< Probability that a request is refused without running.
  std::string fault = "ok";  ///< ok | silent_open | reset | truncate | late | close
  double fault_probability = 1;
  milliseconds late{0};

  void Apply(const Json& body) {
    const auto set = [&body](const char* name, auto& member) {
      if (body.contains(name)) member = body[name].get<std::decay_t<decltype(member)>>();
    };
    const auto set_ms = [&body](const char* name, milliseconds& member) {
      if (body.contains(name)) member = milliseconds(body[name].get<std::int64_t>());
    };
    set("slots", slots);
    set("queue", queue);
    set("connections", connections);
    set("path_ms", path_ms);
    set("cold_factor", cold_factor);
    set("leaving_list", leaving_list);
    set("leaving_health", leaving_health);
    set("leaving_header", leaving_header);
    set("health", health);
    set("load", load);
    set("shed", shed);
    set("fault", fault);
    set("fault_probability", fault_probability);
    set_ms("cold_start_ms", cold_start);
    set_ms("load_lag_ms", load_lag);
    set_ms("late_ms", late);
    for (core::Rank rank : core::kAllRanks) {
      set_ms((std::string(core::Name(rank)) + "_ms").c_str(), service_time[core::Index(rank)]);
    }
  }
};

/// One simulated backend server with slots, a connection limit and injected faults.
class Backend {
 public:
  Backend(asio::io_context& context, const tcp::endpoint& endpoint, std::ostream& log,
          BackendSettings settings)
      : settings_(std::move(settings)), log_(log), started_(Clock::now()) {
    server_ = HttpServer::Start(context, endpoint, [this](HttpRequest r, Connection c) {
      return Serve(std::move(r), std::move(c));
    });
    server_->set_connection_limit(settings_.connections);
  }

  [[nodiscard]] const tcp::endpoint& endpoint() const { return server_->endpoint(); }
  [[nodiscard]] const BackendSettings& settings() const { return settings_; }

  void Apply(const Json& body) {
    settings_.Apply(body);
    server_->set_connection_limit(settings_.connections);
    if (body.contains("fault")) {
      silent_until_ = settings_.fault == "silent_open" ? server_->last_connection_id() : 0;
      if (settings_.fault == "close") server_->CloseConnections();
    }
    if (body.value("restart", false)) started_ = Clock::now();
  }

  [[nodiscard]] Json Stats() const {
    return {{"address", Address()},
            {"ran", ran_},
            {"shed", shed_},
            {"busy", busy_},
            {"peak_busy", peak_busy_},
            {"peak_queue", peak_queue_},
            {"last_start_ms", last_start_ms_},
            {"connections", server_->connections()},
            {"opened", server_->last_connection_id()}};
  }

 private:
  using Clock = std::chrono::steady_clock;
  enum class Admission : std::uint8_t { kStarted, kRefused, kCancelled };
  struct Waiter {
    Waiter(asio::io_context::executor_type executor, std::string request_id)
        : timer(std::move(executor)), id(std::move(request_id)) {}
    asio::steady_timer timer;
    std::string id;
    bool granted = false;
    bool cancelled = false;
  };

  [[nodiscard]] std::string Address() const {
    return endpoint().address().to_string() + ":" + std::to_string(endpoint().port());
  }

  bool Happens(double probability) { return std::bernoulli_distribution(probability)(random_); }

  asio::awaitable<Answer> Serve(HttpRequest request, Connection connection) {
    if (connection.id <= silent_until_) co_return Dropped(Delivery::kSilent);
    const Target target = ParseTarget(request.target());
    Answer answer;
    if (target.path == "/health") {
      answer = Health();
    } else if (target.path == "/load") {
      answer = Load();
    } else if (target.path == "/cancel") {
      answer = Cancel(std::string(request["Request-Id"]));
    } else {
      answer = co_await Run(std::move(request), target);
    }
    if (connection.id <= silent_until_) co_return Dropped(Delivery::kSilent);
    if (settings_.leaving_header) answer.response.set("Server-State", "leaving");
    co_return answer;
  }

  Answer Health() {
    if (settings_.health == "silent") return Dropped(Delivery::kSilent);
    const bool up = settings_.health == "ok" && !settings_.leaving_health;
    return MakeAnswer(up ? http::status::ok : http::status::service_unavailable,
                      up ? "{}" : R"({"state":"leaving"})");
  }

  Answer Load() {
    if (settings_.load == "silent") return Dropped(Delivery::kSilent);
    if (settings_.load == "error") return MakeAnswer(http::status::internal_server_error, "");
    std::size_t busy = busy_;
    if (settings_.load == "zero") {
      busy = 0;
    } else if (settings_.load_lag.count() > 0) {
      while (history_.size() > 1 && history_[1].first + settings_.load_lag <= Clock::now()) {
        history_.pop_front();
      }
      busy = history_.empty() ? 0 : history_.front().second;
    }
    return MakeAnswer(http::status::ok, Json{{"slots", settings_.slots}, {"busy", busy}}.dump());
  }

  Answer Cancel(const std::string& id) {
    const auto it = std::find_if(waiting_.begin(), waiting_.end(),
                                 [&id](const auto& waiter) { return waiter->id == id; });
    const bool found = it != waiting_.end();
    if (found) {
      (*it)->cancelled = true;
      (*it)->timer.cancel();
      waiting_.erase(it);
    }
    return MakeAnswer(http::status::ok, Json{{"cancelled", found}}.dump());
  }

  void SetBusy(std::size_t busy) {
    constexpr std::size_t kMaxHistory = 100'000;
    busy_ = busy;
    peak_busy_ = std::max(peak_busy_, busy);
    if (settings_.load_lag.count() == 0) return;
    if (history_.size() >= kMaxHistory) history_.pop_front();
    history_.emplace_back(Clock::now(), busy);
  }

  /// Waits for a slot until `deadline`.
  asio::awaitable<Admission> Enter(std::string id, Clock::time_point deadline) {
    if (busy_ < settings_.slots) {
      SetBusy(busy_ + 1);
      co_return Admission::kStarted;
    }
    if (waiting_.size() >= settings_.queue) co_return Admission::kRefused;
    auto waiter = std::make_shared<Waiter>(context(), std::move(id));
    waiting_.push_back(waiter);
    peak_queue_ = std::max(peak_queue_, waiting_.size());
    waiter->timer.expires_at(deadline);
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (waiter->granted) co_return Admission::kStarted;
    std::erase(waiting_, waiter);
    co_return waiter->cancelled ? Admission::kCancelled : Admission::kRefused;
  }

  /// Hands the slot to the next waiter or frees it.
  void Leave() {
    if (waiting_.empty()) return SetBusy(busy_ - 1);
    waiting_.front()->granted = true;
    waiting_.front()->timer.cancel();
    waiting_.pop_front();
  }

  [[nodiscard]] asio::io_context::executor_type context() const { return server_->executor(); }

  static core::Rank RankOf(const HttpRequest& request) {
    const std::string text(request["Priority"]);
    const auto at = text.find("u=");
    if (at == std::string::npos || at + 2 >= text.size()) return core::Rank::kNormal;
    return core::RankFromUrgency(text[at + 2] - '0');
  }

  [[nodiscard]] milliseconds ServiceTime(core::Rank rank, const std::string& path) const {
    const auto it = settings_.path_ms.find(path);
    double ms = it == settings_.path_ms.end()
                    ? static_cast<double>(settings_.service_time[core::Index(rank)].count())
                    : static_cast<double>(it->second);
    const auto age = std::chrono::duration_cast<milliseconds>(Clock::now() - started_);
    if (age < settings_.cold_start) {
      const double warm =
          static_cast<double>(age.count()) / static_cast<double>(settings_.cold_start.count());
      ms *= settings_.cold_factor + (1 - settings_.cold_factor) * warm;
    }
    return milliseconds(static_cast<std::int64_t>(ms));
  }

  static Answer NotRun(std::string_view why) {
    Answer answer = MakeAnswer(http::status::service_unavailable, Json{{"title", why}}.dump(),
                               "application/problem+json");
    answer.response.set("Request-Outcome", "not-run");
    return answer;
  }

  Answer Shed(std::string_view why) {
    ++shed_;
    return NotRun(why);
  }

  static Clock::time_point Deadline(const HttpRequest& request) {
    constexpr milliseconds kDefaultTimeout = std::chrono::minutes(1);
    const std::string text(request["Request-Timeout-Ms"]);
    return Clock::now() + (text.empty() ? kDefaultTimeout : milliseconds(std::stoll(text)));
  }

  asio::awaitable<Answer> Run(HttpRequest request, Target target) {
    if (Happens(settings_.shed)) co_return Shed("shed");
    const auto deadline = Deadline(request);
    const Admission admission = co_await Enter(std::string(request["Request-Id"]), deadline);
    if (admission == Admission::kCancelled) co_return NotRun("cancelled");
    if (admission == Admission::kRefused) co_return Shed("no free slot");
    const core::Rank rank = RankOf(request);
    const std::int64_t start_ms = core::RuntimeClock::WallMs();
    last_start_ms_ = start_ms;
    const auto end = Clock::now() + ServiceTime(rank, target.path);
    asio::steady_timer timer(context(), std::min(end, deadline));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    Leave();
    ++ran_;
    const bool in_time = end <= deadline;
    Log(request, rank, start_ms, in_time);
    if (!in_time) co_return MakeAnswer(http::status::gateway_timeout, "{}");
    co_return co_await Spoil(Echo(request));
  }

  void Log(const HttpRequest& request, core::Rank rank, std::int64_t start_ms, bool in_time) {
    log_ << Json{{"server", Address()},
                 {"key", std::string(request["Idempotency-Key"])},
                 {"request_id", std::string(request["Request-Id"])},
                 {"method", std::string(request.method_string())},
                 {"target", std::string(request.target())},
                 {"rank", core::Name(rank)},
                 {"start_ms", start_ms},
                 {"end_ms", core::RuntimeClock::WallMs()},
                 {"in_time", in_time}}
                .dump()
         << std::endl;
  }

  /// Repeats the request, so that the caller can tell whose answer it got and that it is whole.
  static Answer Echo(const HttpRequest& request) {
    Answer answer = MakeAnswer(
        http::status::ok,
        Json{{"target", std::string(request.target())}, {"body", request.body()}, {"end", true}}
            .dump());
    if (!request["Request-Id"].empty()) {
      answer.response.set("Request-Id", std::string(request["Request-Id"]));
    }
    return answer;
  }

  asio::awaitable<Answer> Spoil(Answer answer) {
    if (!Happens(settings_.fault_probability)) co_return answer;
    if (settings_.fault == "late") {
      co_await Sleep(settings_.late);
    } else if (settings_.fault == "reset") {
      answer.delivery = Delivery::kReset;
    } else if (settings_.fault == "truncate") {
      answer.delivery = Delivery::kTruncate;
    }
    co_return answer;
  }

  BackendSettings settings_;
  std::ostream& log_;
  std::shared_ptr<HttpServer> server_;
  Clock::time_point started_;
  std::uint64_t silent_until_ = 0;  ///< Connections up to this id are silent.
  std::deque<std::shared_ptr<Waiter>> waiting_;
  std::deque<std::pair<Clock::time_point, std::size_t>> history_;
  std::size_t busy_ = 0;
  std::size_t peak_busy_ = 0;
  std::size_t peak_queue_ = 0;
  std::uint64_t ran_ = 0;
  std::uint64_t shed_ = 0;
  std::int64_t last_start_ms_ = 0;
  std::mt19937_64 random_{1};
};

}  // namespace vanilladeck::standins
