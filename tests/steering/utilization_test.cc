#include "vanilladeck/steering/utilization.h"

#include <catch2/catch.hpp>

namespace vanilladeck::steering {
namespace {

using namespace std::chrono_literals;

TEST_CASE("the mean follows a change within two seconds and needs more than one sample") {
  Utilization utilization;
  core::TimePoint now(100s);
  utilization.Add(0.2, now);
  CHECK_FALSE(utilization.Mean(now).has_value());
  for (int i = 0; i < 50; ++i) utilization.Add(0.2, now += 50ms);
  REQUIRE(utilization.Mean(now).has_value());
  CHECK(*utilization.Mean(now) == Approx(0.2));
  for (int i = 0; i < 40; ++i) utilization.Add(1.0, now += 50ms);
  CHECK(*utilization.Mean(now) > 0.85);
}

// Guards against decisions on outdated samples of a region that gets no more requests.
TEST_CASE("without recent samples the mean is unknown") {
  Utilization utilization;
  core::TimePoint now(100s);
  for (int i = 0; i < 50; ++i) utilization.Add(1.0, now += 50ms);
  CHECK_FALSE(utilization.Mean(now + 10s).has_value());
}

}  // namespace
}  // namespace vanilladeck::steering
