#pragma once

/// Forward declarations of the core module.

namespace vanilladeck::core {

class RuntimeClock;
struct InstanceId;
template <class T>
class Mailbox;

}  // namespace vanilladeck::core
