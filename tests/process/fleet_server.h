#pragma once

#include <nlohmann/json.hpp>
#include <random>

#include "process/fleet_records.h"
#include "standins/store/metadata_store.h"

namespace vanilladeck::process {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

/// A simulated backend server: answers requests over loopback and reports itself to the store.
class FleetServer {
 public:
  // Interval of reports in the platform's settings, `heartbeatS`, and the time after which an entry
  // without reports is removed: three intervals.
  static constexpr milliseconds kReportInterval{1500};
  static constexpr milliseconds kEntryTime = 3 * kReportInterval;

  FleetServer(asio::io_context& context, standins::MetadataStore& store, FleetRecords& records,
              std::size_t index, std::string zone, std::uint32_t seed)
      : context_(context),
        store_(store),
        records_(records),
        index_(index),
        zone_(std::move(zone)),
        random_(seed),
        listener_(standins::HttpServer::Start(
            context, {asio::ip::make_address("127.0.0.1"), 0},
            [this](standins::HttpRequest request, const standins::Connection&) {
              return Serve(std::move(request));
            })) {
    asio::co_spawn(context, ReportRegularly(), asio::detached);
  }
  FleetServer(const FleetServer&) = delete;
  FleetServer& operator=(const FleetServer&) = delete;
  ~FleetServer() = default;

  enum class State : std::uint8_t {
    kEnded,  ///< Reports nothing. Requests that still arrive are recorded.
    kReady,
    kDraining,  ///< Has reported that it leaves.
    kRemoved,   ///< Has removed its entry, and serves for a while.
  };
  [[nodiscard]] State state() const noexcept { return state_; }
  [[nodiscard]] std::string Key() const { return "servers/" + Current().id; }

  /// Starts a new life, under a new id or the one before.
  void Join(bool same_id = false) {
    auto& lifetimes = records_.servers[index_];
    const std::string id = same_id && !lifetimes.empty() ? lifetimes.back().id
                                                         : "i-" + std::to_string(index_) + "-" +
                                                               std::to_string(lifetimes.size());
    lifetimes.push_back({id, Clock::now(), std::nullopt});
    state_ = State::kReady;
    sequence_ = 0;
    lease_ = 0;
    reported_.clear();
    born_ms_ = std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    Report();
  }
  /// Reports another number of slots, which changes the entry.
  void ChangeSlots() {
    ++slots_;
    reported_.clear();
    Report();
  }
  /// Reports that the server leaves.
  void Drain() {
    state_ = State::kDraining;
    Report();
  }
  /// Removes the entry without a report that the server leaves.
  void Remove() {
    state_ = State::kRemoved;
    Report();
  }
  /// Ends. The entry is removed if the store takes that, else it ends with its lease.
  void End() {
    if (store_.Remove(Key())) Acknowledge();
    state_ = State::kEnded;
  }

 private:
  using Json = nlohmann::json;

  [[nodiscard]] ServerLifetime& Current() const { return records_.servers[index_].back(); }

  void Acknowledge() {
    if (!Current().leaving_acknowledged) Current().leaving_acknowledged = Clock::now();
  }

  /// Writes the entry unless the store has it. A report in which only `seq` differs writes nothing.
  void Report() {
    ++sequence_;
    if (state_ == State::kEnded || !store_.available()) return;
    if (state_ == State::kRemoved) {
      if (store_.Remove(Key())) Acknowledge();
      return;
    }
    const bool has_lease = lease_ != 0 && store_.RenewLease(lease_);
    if (!has_lease) lease_ = *store_.GrantLease(kEntryTime);
    if (has_lease && reported_state_ == state_ && store_.Holds(Key(), reported_)) return;
    reported_ = Entry();
    reported_state_ = state_;
    if (store_.Put(Key(), reported_, lease_) && state_ == State::kDraining) Acknowledge();
  }

  [[nodiscard]] std::string Entry() const {
    return Json{{"address", listener_->endpoint().address().to_string() + ":" +
                                std::to_string(listener_->endpoint().port())},
                {"born", born_ms_},
                {"info",
                 {{"backend", "s" + std::to_string(records_.service_of_server[index_])},
                  {"version", "v1"},
                  {"zone", zone_},
                  {"slots", slots_}}},
                {"status",
                 {{"state", state_ == State::kDraining ? "draining" : "ready"},
                  {"seq", sequence_},
                  {"coldLeftS", 0}}}}
        .dump();
  }

  asio::awaitable<void> ReportRegularly() {
    // Servers do not report at the same moment.
    milliseconds pause(std::uniform_int_distribution<int>(0, kReportInterval.count())(random_));
    for (;;) {
      co_await standins::Sleep(pause);
      pause = kReportInterval;
      if (!records_.servers[index_].empty()) Report();
    }
  }

  asio::awaitable<standins::Reply> Serve(standins::HttpRequest request) {
    const bool leaving = state_ != State::kReady;
    if (request.target() == "/healthz") {
      auto reply =
          standins::MakeReply(leaving ? http::status::service_unavailable : http::status::ok, "");
      reply.response.set("X-Instance-Id", Current().id);
      co_return reply;
    }
    const std::string expected(request["X-Expect-Instance"]);
    if (!expected.empty() && expected != Current().id) {
      auto reply = standins::MakeReply(http::status::misdirected_request, "");
      reply.response.set("X-Not-Executed", "1");
      co_return reply;
    }
    const std::string id(request["X-Attempt-Id"]);
    auto& record = records_.requests.at(std::stoull(id, nullptr, 16));
    record.runs.push_back({index_, records_.servers[index_].size() - 1, Clock::now()});
    constexpr int kShortestWorkMs = 4;
    constexpr int kLongestWorkMs = 25;
    co_await standins::Sleep(
        milliseconds(std::uniform_int_distribution<int>(kShortestWorkMs, kLongestWorkMs)(random_)));
    auto reply = standins::MakeReply(http::status::ok, id);
    reply.response.set("X-Attempt-Id", id);
    reply.response.set("X-Response-Seal", id + ".seal");
    co_return reply;
  }

  asio::io_context& context_;
  standins::MetadataStore& store_;
  FleetRecords& records_;
  std::size_t index_;
  std::string zone_;
  std::mt19937 random_;
  State state_ = State::kEnded;
  int slots_ = 9;
  std::int64_t sequence_ = 0;
  std::int64_t born_ms_ = 0;
  standins::StoreData::LeaseId lease_ = 0;
  std::string reported_;
  State reported_state_ = State::kEnded;
  std::shared_ptr<standins::HttpServer> listener_;
};

}  // namespace vanilladeck::process
