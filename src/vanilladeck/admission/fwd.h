#pragma once

/// Forward declarations of the admission module.

namespace vanilladeck::admission {

class ConnectionHealth;
class RetryBudget;
class Scheduler;
class ServerPool;

}  // namespace vanilladeck::admission
