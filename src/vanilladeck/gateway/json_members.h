#pragma once

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace vanilladeck::gateway {

/// Reads members of an object and remembers whether all had the expected type.
class JsonMembers {
 public:
  explicit JsonMembers(const nlohmann::json& object)
      : object_(object), valid_(object.is_object()) {}

  template <class Value>
  Value Whole(const char* name) {
    const nlohmann::json* member = Find(name);
    const bool matches = member != nullptr && member->is_number_integer() &&
                         (member->is_number_unsigned() || member->get<std::int64_t>() >= 0);
    return Take<Value>(member, matches);
  }
  double Number(const char* name) {
    const nlohmann::json* member = Find(name);
    return Take<double>(member, member != nullptr && IsAmount(*member));
  }
  bool Flag(const char* name) {
    const nlohmann::json* member = Find(name);
    return Take<bool>(member, member != nullptr && member->is_boolean());
  }
  std::string Text(const char* name) {
    const nlohmann::json* member = Find(name);
    return Take<std::string>(member, member != nullptr && member->is_string());
  }
  const nlohmann::json& Array(const char* name) {
    static const nlohmann::json empty = nlohmann::json::array();
    const nlohmann::json* member = Find(name);
    const bool matches = member != nullptr && member->is_array();
    valid_ = valid_ && matches;
    return matches ? *member : empty;
  }
  [[nodiscard]] bool valid() const noexcept { return valid_; }

  /// True for a finite number of at least 0.
  static bool IsAmount(const nlohmann::json& value) {
    return value.is_number() && std::isfinite(value.get<double>()) && value.get<double>() >= 0;
  }

 private:
  [[nodiscard]] const nlohmann::json* Find(const char* name) const {
    if (!object_.is_object()) return nullptr;
    const auto it = object_.find(name);
    return it == object_.end() ? nullptr : &*it;
  }
  template <class Value>
  Value Take(const nlohmann::json* member, bool matches) {
    valid_ = valid_ && matches;
    return matches ? member->get<Value>() : Value{};
  }

  const nlohmann::json& object_;
  bool valid_;
};

}  // namespace vanilladeck::gateway
