#pragma once

#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/model_instance.h"
#include "membership/model_schedule.h"
#include "membership/model_store.h"

namespace vanilladeck::testing {

/// Runs a schedule: servers and an operator that write to the store, instances that follow it, and
/// checks of what the instances know against what the store acknowledged.
class ModelFleet {
 public:
  explicit ModelFleet(StoreSchedule schedule);

  /// Returns the first violation; empty if there is none.
  [[nodiscard]] std::string Run();

 private:
  struct Server {
    std::string id;
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    bool runs = false;
    bool draining = false;
    core::TimePoint next_write;
    core::TimePoint ends;  ///< Of a draining server.
    core::TimePoint last_write;
    core::TimePoint began;
  };
  struct Runner {
    std::unique_ptr<ModelInstance> instance;
    core::TimePoint in_touch_since;
    std::set<std::string> removed;  ///< Running servers removed since the last check.
    std::int64_t policy = 0;        ///< The last one seen in force.
    std::set<std::pair<std::string, std::int64_t>> leaving;  ///< Lifetimes known to leave.
  };
  /// A report or policy that the store acknowledged and still has.
  struct Stated {
    core::TimePoint since;
    std::int64_t value = 0;
  };

  void Apply(const Step& step);
  void ApplyToStore(const Step& step);
  void ApplyToInstance(const Step& step);
  void StartInstance(std::size_t index);
  void ReturnFromCopy(core::Duration age);
  /// Takes down what the store acknowledged and has, after a write or a return.
  void NoteStated();
  void TickServers();
  void TickOperator();
  void Tick();
  void Check();
  void CheckServers(const std::string& name, Runner& runner);
  void CheckEntries(const std::string& name, const Runner& runner);
  void CheckAgreement();
  void OnServerRemoved(const std::string& name, const std::string& id);
  void Fail(std::initializer_list<std::string_view> text);
  [[nodiscard]] bool InTouchFor(const Runner& runner, core::Duration time) const;

  StoreSchedule schedule_;
  Timeline timeline_;
  ModelStore store_;
  std::vector<Server> servers_;
  std::map<std::string, Runner> runners_;
  std::vector<std::unique_ptr<ModelInstance>> stopped_;
  std::int64_t acknowledged_policy_ = 1;
  std::int64_t next_policy_ = 1;
  bool policy_due_ = true;
  std::map<std::string, bool> evacuated_;  ///< What the operator wants, by key.
  core::TimePoint operator_due_;
  core::TimePoint last_return_;
  core::TimePoint silent_until_;  ///< End of the store's silence.
  core::TimePoint slow_until_;    ///< Until then an instance gets late answers.
  std::map<std::string, core::TimePoint> absent_since_;
  /// The lifetime that the store says leaves, by server.
  std::map<std::string, Stated> stated_leaving_;
  std::optional<Stated> stated_policy_;
  std::string violation_;
};

}  // namespace vanilladeck::testing
