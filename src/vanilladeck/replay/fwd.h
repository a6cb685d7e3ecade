#pragma once

/// Forward declarations of the replay module.

namespace vanilladeck::replay {

struct Report;
struct Trace;
class Simulation;

}  // namespace vanilladeck::replay
