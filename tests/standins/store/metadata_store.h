#pragma once

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "standins/common/http_server.h"
#include "standins/common/target.h"
#include "standins/store/store_data.h"

namespace vanilladeck::standins {

/// Stand-in for the platform's store: ranges, watches, writes under a condition, leases, and the
/// drill in which it is away for a moment and returns from an older copy of its data. Each instance
/// has a listener of its own, so that a part of the instances can be refused or cut off.
class MetadataStore {
 public:
  using Json = nlohmann::json;
  using Clock = StoreData::Clock;

  /// How the store treats the calls of one instance.
  enum class Access : std::uint8_t {
    kServed,
    kRefused,  ///< Each call gets 503, and open watches end with it.
    kCut,      ///< No call gets a response, also none that is under way.
    kSlow,     ///< Responses arrive late, also after a return of the store, then of the era before.
  };

  /// What the store does; all of it may change at any time.
  struct Behavior {
    bool states_era = true;     ///< Responses have the header `Store-Era`.
    bool keeps_history = true;  ///< If false, each watch gets 410, and nothing is lost.
  };
  Behavior behavior;

  /// Called after each return from a copy.
  std::function<void()> on_return;

  MetadataStore(asio::io_context& context, const std::vector<std::string>& addresses)
      : context_(context), lease_timer_(context) {
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      access_.push_back(Access::kServed);
      listeners_.push_back(HttpServer::Start(context, {asio::ip::make_address(addresses[i]), 0},
                                             [this, i](HttpRequest request, const Connection&) {
                                               return Serve(std::move(request), i);
                                             }));
    }
    asio::co_spawn(context, EndLeases(), asio::detached);
  }
  MetadataStore(const MetadataStore&) = delete;
  MetadataStore& operator=(const MetadataStore&) = delete;
  ~MetadataStore() = default;

  [[nodiscard]] const tcp::endpoint& endpoint(std::size_t i) const {
    return listeners_.at(i)->endpoint();
  }
  [[nodiscard]] bool available() const noexcept { return !away_; }
  [[nodiscard]] std::int64_t era() const noexcept { return era_; }
  [[nodiscard]] const StoreData& data() const noexcept { return data_; }

  void SetAccess(std::size_t i, Access access) {
    access_.at(i) = access;
    WakeWatches();
  }
  [[nodiscard]] Access access(std::size_t i) const { return access_.at(i); }

  /// Writes of the operator and the servers, which the store takes unless it is away. Returns false
  /// if it is, or if there is no such lease.
  [[nodiscard]] bool Put(const std::string& key, const std::string& value,
                         StoreData::LeaseId lease = 0) {
    if (away_ || (lease != 0 && !data_.HasLease(lease))) return false;
    (void)data_.Apply({{key, EncodeBase64(value), lease}}, {});
    WakeWatches();
    return true;
  }
  [[nodiscard]] bool Remove(const std::string& key) {
    if (away_) return false;
    if (data_.Find(key) != nullptr) {
      (void)data_.Apply({}, {key});
      WakeWatches();
    }
    return true;
  }
  [[nodiscard]] std::optional<StoreData::LeaseId> GrantLease(std::chrono::milliseconds ttl) {
    if (away_) return std::nullopt;
    return data_.GrantLease(ttl);
  }
  [[nodiscard]] bool RenewLease(StoreData::LeaseId lease) {
    return !away_ && data_.RenewLease(lease);
  }
  /// True if the store has `value` under `key`.
  [[nodiscard]] bool Holds(const std::string& key, const std::string& value) const {
    const auto* item = data_.Find(key);
    return item != nullptr && item->value == EncodeBase64(value);
  }

  /// Goes away for `silence`, and returns from a copy that was `age` old when it went away. During
  /// the silence no call gets a response, and leases pause.
  void LoseAndReturn(std::chrono::milliseconds silence, std::chrono::milliseconds age) {
    away_ = true;
    ++times_away_;
    const auto copy_time = Clock::now() - age;
    WakeWatches();
    auto timer = std::make_shared<asio::steady_timer>(context_, silence);
    timer->async_wait([this, timer, copy_time](boost::system::error_code ec) {
      if (ec) return;
      data_.RestoreStateAt(copy_time);
      ++era_;
      away_ = false;
      for (std::size_t i = 0; i < listeners_.size(); ++i) {
        if (access_[i] != Access::kSlow) listeners_[i]->CloseConnections();
      }
      if (on_return) on_return();
    });
  }

 private:
  // Of a slow path to the store; less than the time that an instance waits for a response.
  static constexpr int kLongestDelayMs = 900;
  // Largest page of a range, as the store's pages state it.
  static constexpr std::size_t kPageItems = 500;

  static std::string EncodeBase64(const std::string& text);

  asio::awaitable<Reply> Serve(HttpRequest request, std::size_t i) {
    const auto times_away = times_away_;
    const Target target = ParseTarget(request.target());
    if (away_ || access_[i] == Access::kCut) co_return NoResponse(Delivery::kSilent);
    Reply reply;
    if (access_[i] == Access::kRefused) {
      reply = MakeReply(http::status::service_unavailable, "{}");
    } else if (target.path == "/-/kv-watch") {
      reply = co_await ServeWatch(target, i);
    } else {
      reply = Execute(request, target);
    }
    if (behavior.states_era) reply.response.set("Store-Era", std::to_string(era_));
    const bool slow = access_[i] == Access::kSlow;
    if (slow) {
      co_await Sleep(std::chrono::milliseconds(
          std::uniform_int_distribution<int>(0, kLongestDelayMs)(random_)));
    }
    // A call that was under way when the store went away gets no response, unless it was on the
    // way.
    if (access_[i] == Access::kCut || (!slow && (away_ || times_away != times_away_))) {
      co_return NoResponse(Delivery::kSilent);
    }
    co_return reply;
  }

  asio::awaitable<Reply> ServeWatch(const Target& target, std::size_t i) {
    const std::string prefix = target.Value("prefix");
    const std::int64_t after = std::stoll(target.Value("after"));
    const auto deadline =
        Clock::now() + std::chrono::milliseconds(std::stoll(target.Value("waitMs")));
    if (!behavior.keeps_history || after > data_.revision()) {
      co_return MakeReply(http::status::gone, "{}");
    }
    auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
    watches_.insert(timer);
    const auto times_away = times_away_;
    const auto access = access_[i];
    while (times_away == times_away_ && access == access_[i] && Clock::now() < deadline &&
           behavior.keeps_history && !HasChange(prefix, after)) {
      timer->expires_at(deadline);
      co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    }
    watches_.erase(timer);
    if (access_[i] == Access::kRefused) {
      co_return MakeReply(http::status::service_unavailable, "{}");
    }
    if (!behavior.keeps_history || after > data_.revision()) {
      co_return MakeReply(http::status::gone, "{}");
    }
    Json events = Json::array();
    for (const auto& it : data_.changes()) {
      if (it.item.revision <= after || it.key.rfind(prefix, 0) != 0) continue;
      if (it.removed) {
        events.push_back({{"key", it.key}, {"rev", it.item.revision}, {"tombstone", true}});
      } else {
        events.push_back(Encode(it.key, it.item));
      }
    }
    co_return MakeReply(http::status::ok,
                        Json{{"events", events}, {"currentRev", data_.revision()}}.dump());
  }

  [[nodiscard]] bool HasChange(const std::string& prefix, std::int64_t after) const {
    const auto& changes = data_.changes();
    return std::any_of(changes.rbegin(), changes.rend(), [&](const auto& it) {
      return it.item.revision > after && it.key.rfind(prefix, 0) == 0;
    });
  }

  static Json Encode(const std::string& key, const StoreData::Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"rev", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }

  Reply Execute(const HttpRequest& request, const Target& target) try {
    constexpr std::string_view kKeep = "/-/kv-keep/";
    constexpr std::string_view kEnd = "/-/kv-lease-end/";
    if (target.path == "/-/kv-range") return ServeRange(target);
    if (target.path == "/-/kv-key") return ServeKey(target);
    if (target.path == "/-/kv-txn") return ServeTransaction(Json::parse(request.body()));
    if (target.path == "/-/kv-lease") {
      constexpr double kMsPerSecond = 1000;
      const double ttl_s = Json::parse(request.body()).at("ttlS_time");
      const auto ttl = std::chrono::milliseconds(static_cast<std::int64_t>(ttl_s * kMsPerSecond));
      return MakeReply(http::status::ok,
                       Json{{"lease", data_.GrantLease(ttl)}, {"ttlS_time", ttl_s}}.dump());
    }
    bool found = false;
    if (target.path.rfind(kKeep, 0) == 0) {
      found = data_.RenewLease(std::stoll(target.path.substr(kKeep.size())));
    } else if (target.path.rfind(kEnd, 0) == 0) {
      found = data_.EndLease(std::stoll(target.path.substr(kEnd.size())));
      WakeWatches();
    }
    return MakeReply(found ? http::status::ok : http::status::not_found, "{}");
  } catch (const std::exception& error) {
    return MakeReply(http::status::bad_request, error.what(), "text/plain");
  }

  [[nodiscard]] Reply ServeKey(const Target& target) const {
    const auto* item = data_.Find(target.Value("key"));
    if (item == nullptr) return MakeReply(http::status::not_found, "{}");
    Json body = Encode(target.Value("key"), *item);
    body["currentRev"] = data_.revision();
    return MakeReply(http::status::ok, body.dump());
  }

  [[nodiscard]] Reply ServeRange(const Target& target) const {
    const std::string prefix = target.Value("prefix");
    const std::string after = target.Value("after");
    Json items = Json::array();
    bool more = false;
    for (const auto& [key, item] : data_.items()) {
      if (key.rfind(prefix, 0) != 0 || key <= after) continue;
      more = items.size() == kPageItems;
      if (more) break;
      items.push_back(Encode(key, item));
    }
    return MakeReply(
        http::status::ok,
        Json{{"items", items}, {"hasMore", more}, {"currentRev", data_.revision()}}.dump());
  }

  Reply ServeTransaction(const Json& body) {
    const auto is_reserved = [](const std::string& key) {
      return key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0;
    };
    Json unmet = Json::array();
    for (const Json& it : body.at("expect")) {
      const std::string key = it.at("key");
      const auto* item = data_.Find(key);
      if ((item == nullptr ? 0 : item->revision) == it.at("rev").get<std::int64_t>()) continue;
      unmet.push_back(item == nullptr ? Json{{"key", key}, {"rev", 0}} : Encode(key, *item));
    }
    if (!unmet.empty()) {
      return MakeReply(http::status::precondition_failed, Json{{"items", unmet}}.dump());
    }
    std::vector<StoreData::Write> writes;
    for (const Json& it : body.at("setKeys")) {
      writes.push_back({it.at("key"), it.at("value"), it.value("lease", StoreData::LeaseId{0})});
      const auto lease = writes.back().lease;
      if (is_reserved(writes.back().key)) return MakeReply(http::status::forbidden, "{}");
      if (lease != 0 && !data_.HasLease(lease)) return MakeReply(http::status::not_found, "{}");
    }
    const auto removals = body.at("deleteKeys").get<std::vector<std::string>>();
    if (std::any_of(removals.begin(), removals.end(), is_reserved)) {
      return MakeReply(http::status::forbidden, "{}");
    }
    const auto revision = data_.Apply(writes, removals);
    WakeWatches();
    return MakeReply(http::status::ok, Json{{"rev", revision}}.dump());
  }

  asio::awaitable<void> EndLeases() {
    constexpr std::chrono::milliseconds kInterval{50};
    for (;;) {
      lease_timer_.expires_after(kInterval);
      auto [ec] = co_await lease_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
      if (ec) co_return;
      if (!away_ && data_.EndExpiredLeases()) WakeWatches();
    }
  }

  void WakeWatches() {
    for (const auto& it : watches_) it->cancel();
  }

  asio::io_context& context_;
  StoreData data_;
  std::vector<Access> access_;
  std::mt19937 random_;  // Delays of the same sequence in each run.
  std::vector<std::shared_ptr<HttpServer>> listeners_;
  std::set<std::shared_ptr<asio::steady_timer>> watches_;
  asio::steady_timer lease_timer_;
  bool away_ = false;
  std::uint64_t times_away_ = 0;
  std::int64_t era_ = 1;
};

inline std::string MetadataStore::EncodeBase64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string encoded(base64::encoded_size(text.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
  return encoded;
}

}  // namespace vanilladeck::standins
