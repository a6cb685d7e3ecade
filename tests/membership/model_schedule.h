#pragma once

#include <rapidcheck.h>

#include <array>
#include <ostream>
#include <string_view>
#include <vector>

namespace vanilladeck::testing {

enum class StepKind : std::uint8_t {
  kLeave,         ///< A server reports that it leaves, and ends `amount_ms` / 4 later.
  kCrash,         ///< A server ends without a word.
  kRestart,       ///< A server starts, with a new lifetime if it runs.
  kPolicy,        ///< The operator writes the next policy.
  kEvacuate,      ///< The operator evacuates a failure domain.
  kRestore,       ///< The operator ends that.
  kReturn,        ///< The store returns from a copy of the age `amount_ms`.
  kReturnTwice,   ///< The same, and again 1 s later from another copy of that age.
  kSilence,       ///< The store answers nobody for `amount_ms` / 2.
  kCut,           ///< An instance gets no answer of the store for `amount_ms`.
  kPause,         ///< An instance does not run for `amount_ms` / 2.
  kSlow,          ///< Answers of the store reach an instance 0.1 to 1.1 s late for `amount_ms`.
  kStartInstance  ///< An instance starts, or starts again without its memory.
};

inline constexpr std::array<std::string_view, 13> kStepKindNames{
    "leave",        "crash",   "restart", "policy", "evacuate", "restore",       "return",
    "return-twice", "silence", "cut",     "pause",  "slow",     "start-instance"};

struct Step {
  StepKind kind = StepKind::kLeave;
  std::size_t target = 0;  ///< Of the server or instance.
  int at_ms = 0;
  int amount_ms = 0;
};

struct StoreSchedule {
  std::uint64_t seed = 0;
  bool relays = false;  ///< Enough instances that most of them ask others for changes.
  std::vector<Step> steps;
};

inline constexpr int kScheduleMs = 16'000;
// With many more, no instance is in touch for long enough that its state could be judged.
inline constexpr int kMaxSteps = 16;

inline std::ostream& operator<<(std::ostream& out, const StoreSchedule& schedule) {
  out << "seed " << schedule.seed << " relays " << schedule.relays;
  for (const Step& it : schedule.steps) {
    out << "; " << kStepKindNames[static_cast<std::size_t>(it.kind)] << " target " << it.target
        << " at " << it.at_ms << " ms, " << it.amount_ms << " ms";
  }
  return out;
}

inline rc::Gen<StoreSchedule> StoreScheduleGen() {
  const auto kind = rc::gen::weightedElement<StepKind>({{3, StepKind::kLeave},
                                                        {1, StepKind::kCrash},
                                                        {2, StepKind::kRestart},
                                                        {2, StepKind::kPolicy},
                                                        {2, StepKind::kEvacuate},
                                                        {2, StepKind::kRestore},
                                                        {3, StepKind::kReturn},
                                                        {1, StepKind::kReturnTwice},
                                                        {1, StepKind::kSilence},
                                                        {1, StepKind::kCut},
                                                        {1, StepKind::kPause},
                                                        {1, StepKind::kSlow},
                                                        {1, StepKind::kStartInstance}});
  const auto step = rc::gen::build<Step>(
      rc::gen::set(&Step::kind, kind), rc::gen::set(&Step::target, rc::gen::inRange<size_t>(0, 6)),
      rc::gen::set(&Step::at_ms, rc::gen::inRange(0, kScheduleMs)),
      rc::gen::set(&Step::amount_ms, rc::gen::inRange(100, 8'000)));
  return rc::gen::build<StoreSchedule>(
      rc::gen::set(&StoreSchedule::seed, rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>())),
      rc::gen::set(&StoreSchedule::relays),
      // Smaller sizes would also make the ranges of each step smaller.
      rc::gen::set(&StoreSchedule::steps,
                   rc::gen::resize(kMaxSteps, rc::gen::container<std::vector<Step>>(
                                                  rc::gen::resize(rc::kNominalSize, step)))));
}

}  // namespace vanilladeck::testing
