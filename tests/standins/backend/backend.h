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

/// Settings of a simulated backend server; Apply() keeps those that the JSON object omits.
struct BackendSettings {
  std::size_t slots = 10;
  std::size_t queue_limit = 4;  ///< Waiting requests beyond which new ones are shed.
  std::size_t connection_limit = 330;
  core::PerRank<milliseconds> service_time{milliseconds(5), milliseconds(5), milliseconds(5)};
  std::map<std::string, std::int64_t> path_ms;  ///< Service time by path; overrides that by rank.
  milliseconds cold_start{0};                   ///< Warm-up time until full speed.
  double cold_factor = 4;  ///< Service time at start as a multiple of the warm one.
  bool leaving_list = false;
  bool leaving_health = false;
  bool leaving_header = false;
  std::string health = "ok";  ///< ok | silent | error
  std::string load = "ok";    ///< ok | silent | error | zero
  milliseconds load_report_lag{0};
  double shed_probability = 0;  ///< Probability that a request is refused without running.
  std::string fault = "ok";     ///< ok | silent_open | reset | truncate | late | close
  double fault_probability = 1;
  milliseconds response_delay{0};

  void Apply(const Json& body) {
    const auto set = [&body](const char* name, auto& member) {
      if (body.contains(name)) member = body[name].get<std::decay_t<decltype(member)>>();
    };
    const auto set_ms = [&body](const char* name, milliseconds& member) {
      if (body.contains(name)) member = milliseconds(body[name].get<std::int64_t>());
    };
    set("slots", slots);
    set("queue", queue_limit);
    set("connections", connection_limit);
    set("path_ms", path_ms);
    set("cold_factor", cold_factor);
    set("leaving_list", leaving_list);
    set("leaving_health", leaving_health);
    set("leaving_header", leaving_header);
    set("health", health);
    set("load", load);
    set("shed", shed_probability);
    set("fault", fault);
    set("fault_probability", fault_probability);
    set_ms("cold_start_ms", cold_start);
    set_ms("load_lag_ms", load_report_lag);
    set_ms("late_ms", response_delay);
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
    server_->set_connection_limit(settings_.connection_limit);
  }

  [[nodiscard]] const tcp::endpoint& endpoint() const { return server_->endpoint(); }
  [[nodiscard]] const BackendSettings& settings() const { return settings_; }

  void Apply(const Json& body) {
    settings_.Apply(body);
    server_->set_connection_limit(settings_.connection_limit);
    if (body.contains("fault")) {
      last_silent_connection_id_ =
          settings_.fault == "silent_open" ? server_->last_connection_id() : 0;
      if (settings_.fault == "close") server_->CloseConnections();
    }
    if (body.value("restart", false)) started_ = Clock::now();
  }

  [[nodiscard]] Json Stats() const {
    return {{"address", AddressText()},
            {"ran", requests_run_},
            {"shed", requests_shed_},
            {"busy", busy_slots_},
            {"peak_busy", peak_busy_slots_},
            {"peak_queue", peak_queue_length_},
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

  [[nodiscard]] std::string AddressText() const {
    return endpoint().address().to_string() + ":" + std::to_string(endpoint().port());
  }

  bool RandomBool(double probability) { return std::bernoulli_distribution(probability)(random_); }

  asio::awaitable<Reply> Serve(HttpRequest request, Connection connection) {
    if (connection.id <= last_silent_connection_id_) co_return NoResponse(Delivery::kSilent);
    const Target target = ParseTarget(request.target());
    Reply reply;
    if (target.path == "/health") {
      reply = ServeHealth();
    } else if (target.path == "/load") {
      reply = ServeLoad();
    } else if (target.path == "/cancel") {
      reply = CancelWaiting(std::string(request["Request-Id"]));
    } else {
      reply = co_await RunRequest(std::move(request), target);
    }
    if (connection.id <= last_silent_connection_id_) co_return NoResponse(Delivery::kSilent);
    if (settings_.leaving_header) reply.response.set("Server-State", "leaving");
    co_return reply;
  }

  Reply ServeHealth() {
    if (settings_.health == "silent") return NoResponse(Delivery::kSilent);
    const bool healthy = settings_.health == "ok" && !settings_.leaving_health;
    return MakeReply(healthy ? http::status::ok : http::status::service_unavailable,
                     healthy ? "{}" : R"({"state":"leaving"})");
  }

  Reply ServeLoad() {
    if (settings_.load == "silent") return NoResponse(Delivery::kSilent);
    if (settings_.load == "error") return MakeReply(http::status::internal_server_error, "");
    std::size_t busy = busy_slots_;
    if (settings_.load == "zero") {
      busy = 0;
    } else if (settings_.load_report_lag.count() > 0) {
      while (busy_history_.size() > 1 &&
             busy_history_[1].first + settings_.load_report_lag <= Clock::now()) {
        busy_history_.pop_front();
      }
      busy = busy_history_.empty() ? 0 : busy_history_.front().second;
    }
    return MakeReply(http::status::ok, Json{{"slots", settings_.slots}, {"busy", busy}}.dump());
  }

  Reply CancelWaiting(const std::string& id) {
    const auto it = std::find_if(queue_.begin(), queue_.end(),
                                 [&id](const auto& waiter) { return waiter->id == id; });
    const bool found = it != queue_.end();
    if (found) {
      (*it)->cancelled = true;
      (*it)->timer.cancel();
      queue_.erase(it);
    }
    return MakeReply(http::status::ok, Json{{"cancelled", found}}.dump());
  }

  void SetBusy(std::size_t busy) {
    constexpr std::size_t kMaxHistory = 100'000;
    busy_slots_ = busy;
    peak_busy_slots_ = std::max(peak_busy_slots_, busy);
    if (settings_.load_report_lag.count() == 0) return;
    if (busy_history_.size() >= kMaxHistory) busy_history_.pop_front();
    busy_history_.emplace_back(Clock::now(), busy);
  }

  /// Takes a slot; if none is free, queues until `deadline`.
  asio::awaitable<Admission> AcquireSlot(std::string id, Clock::time_point deadline) {
    if (busy_slots_ < settings_.slots) {
      SetBusy(busy_slots_ + 1);
      co_return Admission::kStarted;
    }
    if (queue_.size() >= settings_.queue_limit) co_return Admission::kRefused;
    auto waiter = std::make_shared<Waiter>(executor(), std::move(id));
    queue_.push_back(waiter);
    peak_queue_length_ = std::max(peak_queue_length_, queue_.size());
    waiter->timer.expires_at(deadline);
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (waiter->granted) co_return Admission::kStarted;
    std::erase(queue_, waiter);
    co_return waiter->cancelled ? Admission::kCancelled : Admission::kRefused;
  }

  /// Hands the slot to the first queued request, or frees it.
  void ReleaseSlot() {
    if (queue_.empty()) return SetBusy(busy_slots_ - 1);
    queue_.front()->granted = true;
    queue_.front()->timer.cancel();
    queue_.pop_front();
  }

  [[nodiscard]] asio::io_context::executor_type executor() const { return server_->executor(); }

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
    const auto uptime = std::chrono::duration_cast<milliseconds>(Clock::now() - started_);
    if (uptime < settings_.cold_start) {
      const double warm_fraction =
          static_cast<double>(uptime.count()) / static_cast<double>(settings_.cold_start.count());
      ms *= settings_.cold_factor + (1 - settings_.cold_factor) * warm_fraction;
    }
    return milliseconds(static_cast<std::int64_t>(ms));
  }

  static Reply NotRunReply(std::string_view reason) {
    Reply reply = MakeReply(http::status::service_unavailable, Json{{"title", reason}}.dump(),
                            "application/problem+json");
    reply.response.set("Request-Outcome", "not-run");
    return reply;
  }

  Reply ShedReply(std::string_view reason) {
    ++requests_shed_;
    return NotRunReply(reason);
  }

  static Clock::time_point Deadline(const HttpRequest& request) {
    constexpr milliseconds kDefaultTimeout = std::chrono::minutes(1);
    const std::string text(request["Request-Timeout-Ms"]);
    return Clock::now() + (text.empty() ? kDefaultTimeout : milliseconds(std::stoll(text)));
  }

  asio::awaitable<Reply> RunRequest(HttpRequest request, Target target) {
    if (RandomBool(settings_.shed_probability)) co_return ShedReply("shed");
    const auto deadline = Deadline(request);
    const Admission admission = co_await AcquireSlot(std::string(request["Request-Id"]), deadline);
    if (admission == Admission::kCancelled) co_return NotRunReply("cancelled");
    if (admission == Admission::kRefused) co_return ShedReply("no free slot");
    const core::Rank rank = RankOf(request);
    const std::int64_t start_ms = core::RuntimeClock::WallMs();
    last_start_ms_ = start_ms;
    const auto end = Clock::now() + ServiceTime(rank, target.path);
    asio::steady_timer timer(executor(), std::min(end, deadline));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    ReleaseSlot();
    ++requests_run_;
    const bool in_time = end <= deadline;
    LogRequest(request, rank, start_ms, in_time);
    if (!in_time) co_return MakeReply(http::status::gateway_timeout, "{}");
    co_return co_await InjectFault(Echo(request));
  }

  void LogRequest(const HttpRequest& request, core::Rank rank, std::int64_t start_ms,
                  bool in_time) {
    log_ << Json{{"server", AddressText()},
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

  /// Echoes the request, so that the client detects truncated and misdirected responses.
  static Reply Echo(const HttpRequest& request) {
    Reply reply = MakeReply(
        http::status::ok,
        Json{{"target", std::string(request.target())}, {"body", request.body()}, {"end", true}}
            .dump());
    if (!request["Request-Id"].empty()) {
      reply.response.set("Request-Id", std::string(request["Request-Id"]));
    }
    return reply;
  }

  asio::awaitable<Reply> InjectFault(Reply reply) {
    if (!RandomBool(settings_.fault_probability)) co_return reply;
    if (settings_.fault == "late") {
      co_await Sleep(settings_.response_delay);
    } else if (settings_.fault == "reset") {
      reply.delivery = Delivery::kReset;
    } else if (settings_.fault == "truncate") {
      reply.delivery = Delivery::kTruncate;
    }
    co_return reply;
  }

  BackendSettings settings_;
  std::ostream& log_;
  std::shared_ptr<HttpServer> server_;
  Clock::time_point started_;
  std::uint64_t last_silent_connection_id_ = 0;  ///< Connections up to this id get no response.
  std::deque<std::shared_ptr<Waiter>> queue_;
  std::deque<std::pair<Clock::time_point, std::size_t>> busy_history_;
  std::size_t busy_slots_ = 0;
  std::size_t peak_busy_slots_ = 0;
  std::size_t peak_queue_length_ = 0;
  std::uint64_t requests_run_ = 0;
  std::uint64_t requests_shed_ = 0;
  std::int64_t last_start_ms_ = 0;
  std::mt19937_64 random_{1};
};

}  // namespace vanilladeck::standins
