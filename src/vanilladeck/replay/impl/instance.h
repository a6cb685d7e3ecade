#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "vanilladeck/admission/scheduler.h"
#include "vanilladeck/admission/server_pool.h"
#include "vanilladeck/core/instance_id.h"
#include "vanilladeck/replay/impl/fcfs_baseline.h"
#include "vanilladeck/steering/credit_ledger.h"
#include "vanilladeck/steering/sender_credits.h"

namespace vanilladeck::replay::impl {

/// The decision modules of one entry instance.
struct Instance {
  core::InstanceId id;
  std::string failure_domain;
  std::string region;
  admission::Scheduler scheduler;
  admission::ServerPool pool;
  steering::CreditLedger ledger;
  steering::SenderCredits wallet;
  std::optional<FcfsBaseline> fcfs;
  std::uint32_t forward_demand = 0;  ///< Requests not served here since the last credit request.
  bool lost = false;
};

}  // namespace vanilladeck::replay::impl
