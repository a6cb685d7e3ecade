#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/instance_fixture.h"

namespace vanilladeck::platform::testing {

/// The platform's store as far as an instance reads it: listings and watches. Leases are refused.
/// States its era in all responses and can return from an older copy of its data.
class ScriptedStore {
 public:
  explicit ScriptedStore(boost::asio::io_context& io)
      : io_(io),
        server_(io, [this](const ScriptedServer::ConnectionPtr& connection,
                           const std::string& request) { Serve(connection, request); }) {}

  void Put(const std::string& key, const std::string& value) {
    items_[key] = {value, ++revision_};
    Notify();
  }

  /// Removes an item; open watches are told with the next `Put`.
  void Remove(const std::string& key) {
    items_.erase(key);
    removals_[key] = ++revision_;
  }

  /// What a copy of the store's data holds.
  struct Copy {
    std::map<std::string, std::pair<std::string, std::int64_t>> items;
    std::map<std::string, std::int64_t> removals;
    std::int64_t revision = 0;
  };
  [[nodiscard]] Copy TakeCopy() const {
    Copy copy{{}, removals_, revision_};
    for (const auto& [key, item] : items_) copy.items[key] = {item.value, item.revision};
    return copy;
  }
  /// The store comes back with the data of `copy`: all later writes are lost, and their revisions
  /// are given out again.
  void ReturnFrom(const Copy& copy) {
    items_.clear();
    for (const auto& [key, item] : copy.items) items_[key] = {item.first, item.second};
    removals_ = copy.removals;
    revision_ = copy.revision;
    SetEra(era_ + 1);
  }

  /// The store is down for a moment and then states another era.
  void SetEra(store::Era era) {
    era_ = era;
    const auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto& it : waiting) {
      it.timer->cancel();
      it.connection->Reset();
    }
  }

  static constexpr store::Era kFirstEra = 1;

  bool lose_history = false;  ///< All watches are answered 410.
  bool hold_checks = false;   ///< Reads that may be stale get no response.
  bool states_era = true;     ///< Responses have the field `Store-Era`.

  [[nodiscard]] tcp::endpoint endpoint() const {
    return *vanilladeck::http::ParseEndpoint(server_.Address());
  }
  /// Number of requests so far whose target contains `text`.
  [[nodiscard]] std::size_t RequestsWith(const std::string& text) const {
    return static_cast<std::size_t>(
        std::count_if(server_.requests.begin(), server_.requests.end(),
                      [&](const std::string& it) { return it.find(text) != std::string::npos; }));
  }

 private:
  void Notify() {
    const auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto& it : waiting) RespondToWatch(it);
  }

  struct StoredItem {
    std::string value;
    std::int64_t revision = 0;
  };
  struct Watch {
    ScriptedServer::ConnectionPtr connection;
    std::int64_t after = 0;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  static std::string Parameter(const std::string& request, const std::string& name) {
    const auto at = request.find(name + "=");
    if (at == std::string::npos) return {};
    const auto begin = at + name.size() + 1;
    return request.substr(begin, request.find_first_of("& ", begin) - begin);
  }

  void Respond(const ScriptedServer::ConnectionPtr& connection, const std::string& status,
               const std::string& body) const {
    const std::string era = states_era ? "Store-Era: " + std::to_string(era_) + "\r\n" : "";
    connection->Write("HTTP/1.1 " + status + "\r\n" + era +
                      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  [[nodiscard]] nlohmann::json ItemsAfter(const std::string& prefix, std::int64_t after) const {
    auto list = nlohmann::json::array();
    for (const auto& [key, item] : items_) {
      if (key.rfind(prefix, 0) != 0 || item.revision <= after) continue;
      const auto put =
          nlohmann::json::parse(Codec({}).Encode(store::PutItem{key, item.value, 0}).body);
      list.push_back({{"key", key}, {"value", put["setKeys"][0]["value"]}, {"rev", item.revision}});
    }
    return list;
  }

  void Serve(const ScriptedServer::ConnectionPtr& connection, const std::string& request) {
    if (request.find("/-/kv-range") != std::string::npos) {
      if (hold_checks && request.find("serializable=1") != std::string::npos) return;
      Respond(connection, "200 OK",
              nlohmann::json{{"items", ItemsAfter(Parameter(request, "prefix"), 0)},
                             {"hasMore", false},
                             {"currentRev", revision_}}
                  .dump());
    } else if (request.find("/-/kv-watch") != std::string::npos) {
      Watch watch{connection, std::stoll(Parameter(request, "after")),
                  std::make_shared<boost::asio::steady_timer>(io_)};
      if (lose_history || watch.after > revision_) {
        Respond(connection, "410 Gone", "");
        return;
      }
      if (watch.after < revision_) {
        RespondToWatch(watch);
        return;
      }
      watch.timer->expires_after(
          std::chrono::milliseconds(std::stoll(Parameter(request, "waitMs"))));
      watch.timer->async_wait([this, watch](boost::system::error_code ec) {
        if (ec) return;
        std::erase_if(waiting_, [&](const Watch& it) { return it.timer == watch.timer; });
        RespondToWatch(watch);
      });
      waiting_.push_back(watch);
    } else {
      Respond(connection, "503 Service Unavailable", "");
    }
  }

  void RespondToWatch(const Watch& watch) {
    watch.timer->cancel();
    auto events = ItemsAfter("", watch.after);
    for (const auto& [key, revision] : removals_) {
      if (revision > watch.after) {
        events.push_back({{"key", key}, {"rev", revision}, {"tombstone", true}});
      }
    }
    Respond(watch.connection, "200 OK",
            nlohmann::json{{"events", events}, {"currentRev", revision_}}.dump());
  }

  boost::asio::io_context& io_;
  std::map<std::string, StoredItem> items_;
  std::map<std::string, std::int64_t> removals_;
  std::int64_t revision_ = 10;
  store::Era era_ = kFirstEra;
  std::vector<Watch> waiting_;
  ScriptedServer server_;
};

}  // namespace vanilladeck::platform::testing
