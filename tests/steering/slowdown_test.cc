#include "vanilladeck/steering/slowdown.h"

#include <catch2/catch.hpp>
#include <deque>
#include <list>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "steering/picker_fixture.h"

namespace vanilladeck::steering {
namespace {

using namespace std::chrono_literals;
using testing::PickerFixture;
using Sample = SlowdownStatistics::Sample;

/// Machine whose work takes 2.5 times as long for a part of the time.
class Machine {
 public:
  Machine(std::uint64_t seed, core::Duration mean_change, core::TimePoint start)
      : random_(seed), change_every_s_(std::chrono::duration<double>(mean_change).count()) {
    next_ = start;
  }
  double At(core::TimePoint now) {
    while (next_ <= now) {
      value_ = std::bernoulli_distribution(0.2)(random_) ? 2.5 : 1;
      const double s = std::exponential_distribution<double>(1 / change_every_s_)(random_);
      next_ += std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(s));
    }
    return value_;
  }

 private:
  std::mt19937_64 random_;
  double change_every_s_;
  double value_ = 1;
  core::TimePoint next_;
};

/// Statistics of 20 machines that report ten times a second for 20 s.
SlowdownStatistics Learn(core::Duration mean_change) {
  SlowdownStatistics statistics;
  const core::TimePoint start(1000s);
  std::vector<std::pair<Machine, std::optional<Sample>>> machines;
  for (std::uint64_t i = 0; i < 20; ++i) {
    machines.emplace_back(Machine(i + 1, mean_change, start), std::nullopt);
  }
  for (core::TimePoint now = start; now < start + 20s; now += 100ms) {
    for (auto& [machine, previous] : machines) {
      const Sample sample{machine.At(now), now};
      statistics.Add(sample, previous);
      previous = sample;
    }
  }
  return statistics;
}

TEST_CASE("the correlation time follows how fast the reports change") {
  const auto learned = Learn(600ms).correlation_time();
  CHECK(learned > 300ms);
  CHECK(learned < 1200ms);
  CHECK(Learn(5s).correlation_time() > 2s);
}

// Guards against choosing servers by noise.
TEST_CASE("a report that is noise has no effect") {
  const SlowdownStatistics statistics = Learn(1ms);
  const core::TimePoint now(2000s);
  CHECK(statistics.Predict({2.5, now - 200ms}, 300ms, now) == Approx(1).margin(0.05));
}

TEST_CASE("a report says less the older it is and the longer the request takes") {
  const SlowdownStatistics statistics = Learn(600ms);
  const core::TimePoint now(2000s);
  const double fresh = statistics.Predict({2.5, now}, 10ms, now);
  CHECK(fresh > 1.6);
  CHECK(statistics.Predict({2.5, now - 400ms}, 10ms, now) < fresh);
  CHECK(statistics.Predict({2.5, now}, 2s, now) < fresh);
  CHECK(statistics.Predict({2.5, now - 60s}, 10ms, now) == Approx(1).margin(0.01));
  // A report from before a step of the clock or in the future counts as fresh.
  CHECK(statistics.Predict({2.5, now + 1h}, 10ms, now) == Approx(fresh));
}

TEST_CASE("absurd and contradicting reports stay within bounds") {
  SlowdownStatistics statistics;
  const core::TimePoint now(2000s);
  CHECK(statistics.Predict({20, now}, 100ms, now) == 1);
  std::optional<Sample> previous;
  for (const double value : {1e300, 1e-300, 0.0, -5.0, 1.0, 1e300}) {
    const Sample sample{SlowdownStatistics::Bounded(value), now};
    statistics.Add(sample, previous);
    previous = sample;
  }
  for (const double value : {0.1, 1.0, 20.0}) {
    const double predicted = statistics.Predict({value, now}, 0ms, now);
    CHECK(predicted >= 0.25);
    CHECK(predicted <= 8);
  }
}

TEST_CASE("all servers being slow favours none") {
  SlowdownStatistics statistics;
  const core::TimePoint now(2000s);
  for (int i = 0; i < 100; ++i) statistics.Add({2.5, now}, std::nullopt);
  CHECK(statistics.Predict({2.5, now}, 100ms, now) == Approx(1));
}

/// Fleet of instances whose servers are slow by turns.
struct Fleet {
  static constexpr int kInstances = 70;
  static constexpr int kServers = 30;
  static constexpr int kObjects = 60;

  struct Running {
    core::TimePoint ends;
    int instance;
    int server;
    core::TimePoint sent;
  };
  struct Result {
    double mean_ms = 0;
    std::uint32_t most_running = 0;
  };

  /// Runs at half of the servers' capacity.
  static Result Run(bool reports_slowdown) {
    std::deque<PickerFixture> fleet(kInstances);
    std::vector<Machine> machines;
    machines.reserve(kServers);
    const core::TimePoint start = fleet.front().now;
    for (int i = 0; i < kServers; ++i) machines.emplace_back(i + 1, 600ms, start);
    for (PickerFixture& it : fleet) it.Add("east-a", kServers);
    std::mt19937_64 random(11);  // NOLINT(cert-msc32-c,cert-msc51-cpp): reproducible.
    std::vector<std::uint32_t> running(kServers);
    std::list<Running> requests;
    Result result;
    double total_ms = 0;
    int ended = 0;
    for (core::TimePoint now = start; now < start + 30s; now += 5ms) {
      for (auto it = requests.begin(); it != requests.end();) {
        if (it->ends > now) {
          ++it;
          continue;
        }
        --running[it->server];
        PickerFixture& f = fleet[it->instance];
        const auto server = f.servers.Find("east-a" + std::to_string(it->server));
        ServerLoad load{running[it->server], 0, 9, std::nullopt};
        if (reports_slowdown) load.slowdown = machines[it->server].At(now);
        const auto latency = now - it->sent;
        f.servers.OnEnd(*server, AttemptEnd::kAnswered, load, latency,
                        f.picker.Expected(f.route, f.service.name), now);
        f.picker.OnLatency(f.route, f.service.name, latency, true, f.now);
        if (now > start + 10s) {
          total_ms += std::chrono::duration<double, std::milli>(latency).count();
          ++ended;
        }
        it = requests.erase(it);
      }
      // Half of 30 x 9 slots, 240 ms each.
      const int arrivals = std::poisson_distribution<int>(2.8)(random);
      for (int i = 0; i < arrivals; ++i) {
        const int instance = std::uniform_int_distribution<int>(0, kInstances - 1)(random);
        PickerFixture& f = fleet[instance];
        f.now = now;
        const std::string id =
            f.ChosenId(std::to_string(std::uniform_int_distribution<int>(0, kObjects - 1)(random)));
        if (id.empty()) continue;
        const int server = std::stoi(id.substr(6));
        f.servers.OnSent(*f.servers.Find(id), now);
        ++running[server];
        if (now > start + 10s) result.most_running = std::max(result.most_running, running[server]);
        const double factor = machines[server].At(now);
        const auto work = std::chrono::duration_cast<core::Duration>(200ms * factor);
        requests.push_back({now + work, instance, server, now});
      }
    }
    result.mean_ms = total_ms / ended;
    return result;
  }
};

// Guards against all instances choosing the one server that was fast last, and against a figure
// that is read and not used.
TEST_CASE("instances with old reports avoid slow servers without herding to fast ones") {
  const Fleet::Result without = Fleet::Run(false);
  const Fleet::Result with = Fleet::Run(true);
  INFO("mean " << without.mean_ms << " to " << with.mean_ms << " ms, most running "
               << without.most_running << " to " << with.most_running);
  CHECK(with.mean_ms < without.mean_ms);
  // 4.5 run on a server on average.
  CHECK(with.most_running <= std::max(without.most_running + 4, 18U));
}

}  // namespace
}  // namespace vanilladeck::steering
