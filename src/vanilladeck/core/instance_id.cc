#include "vanilladeck/core/instance_id.h"

#include <random>

namespace vanilladeck::core {

std::uint64_t NewIncarnation() {
  std::random_device device;
  std::uint64_t value = 0;
  while (value == 0) value = (static_cast<std::uint64_t>(device()) << 32U) | device();
  return value;
}

}  // namespace vanilladeck::core
