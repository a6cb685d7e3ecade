#include "vanilladeck/config/impl/table_reader.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <tuple>

namespace vanilladeck::config::impl {
namespace {

std::string FormatNumber(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

bool IsNameChar(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

}  // namespace

std::vector<ConfigError> ErrorSink::Take() {
  std::stable_sort(errors_.begin(), errors_.end(), [](const auto& a, const auto& b) {
    return std::tie(a.at.line, a.at.column) < std::tie(b.at.line, b.at.column);
  });
  return std::move(errors_);
}

SourcePosition PositionOf(const toml::source_region& region) noexcept {
  return {std::max<std::uint32_t>(region.begin.line, 1),
          std::max<std::uint32_t>(region.begin.column, 1)};
}

TableReader::TableReader(const toml::table& table, std::string path, ErrorSink& sink)
    : table_(table), path_(std::move(path)), sink_(sink), at_(PositionOf(table.source())) {}

std::string TableReader::QualifiedKey(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + '.' + std::string(key);
}

const toml::node* TableReader::Find(std::string_view key, Presence presence) {
  known_keys_.emplace(key);
  const toml::node* node = table_.get(key);
  if (node == nullptr && presence == Presence::kRequired) {
    sink_.Add(ConfigErrorCode::kMissingKey, at_, "key \"" + QualifiedKey(key) + "\" is required");
  }
  return node;
}

void TableReader::ReportWrongType(std::string_view key, const toml::node& node,
                                  std::string_view expected) {
  std::ostringstream type;
  type << node.type();
  sink_.Add(
      ConfigErrorCode::kWrongType, PositionOf(node.source()),
      "key \"" + QualifiedKey(key) + "\" must be " + std::string(expected) + ", not " + type.str());
}

bool TableReader::CheckBounds(std::string_view key, const toml::node& node, double value,
                              Bounds bounds) {
  const auto at = PositionOf(node.source());
  const std::string subject = "key \"" + QualifiedKey(key) + "\" is " + FormatNumber(value);
  if (bounds.exclusive_zero && value <= 0) {
    sink_.Add(ConfigErrorCode::kNotPositive, at, subject + ", must be above 0");
    return false;
  }
  if (!std::isfinite(value) || value < bounds.low || value > bounds.high) {
    sink_.Add(ConfigErrorCode::kOutOfRange, at,
              subject + ", must be from " + FormatNumber(bounds.low) + " to " +
                  (std::isfinite(bounds.high) ? FormatNumber(bounds.high) : "any finite number"));
    return false;
  }
  return true;
}

Located<std::string> TableReader::String(std::string_view key, Presence presence) {
  const auto* node = Find(key, presence);
  if (node == nullptr) return {{}, at_, false};
  const auto* text = node->as_string();
  if (text == nullptr) {
    ReportWrongType(key, *node, "a string");
    return {{}, PositionOf(node->source()), false};
  }
  return {text->get(), PositionOf(node->source()), true};
}

Located<std::string> TableReader::NameString(std::string_view key) {
  auto name = String(key, Presence::kRequired);
  constexpr std::size_t kMaxNameBytes = 128;
  if (name.present && (name.value.empty() || name.value.size() > kMaxNameBytes ||
                       !std::all_of(name.value.begin(), name.value.end(), IsNameChar))) {
    sink_.Add(ConfigErrorCode::kInvalidName, name.at,
              "key \"" + QualifiedKey(key) + "\" is \"" + name.value +
                  "\", must be 1 to 128 letters, digits, '-', '_' or '.'");
    name.present = false;
  }
  return name;
}

Located<std::int64_t> TableReader::Integer(std::string_view key, Presence presence, Bounds bounds) {
  const auto* node = Find(key, presence);
  if (node == nullptr) return {0, at_, false};
  const auto at = PositionOf(node->source());
  const auto* integer = node->as_integer();
  if (integer == nullptr) {
    ReportWrongType(key, *node, "an integer");
    return {0, at, false};
  }
  return {integer->get(), at, CheckBounds(key, *node, static_cast<double>(integer->get()), bounds)};
}

Located<bool> TableReader::Boolean(std::string_view key, Presence presence) {
  const auto* node = Find(key, presence);
  if (node == nullptr) return {false, at_, false};
  const auto at = PositionOf(node->source());
  const auto* value = node->as_boolean();
  if (value == nullptr) {
    ReportWrongType(key, *node, "a boolean");
    return {false, at, false};
  }
  return {value->get(), at, true};
}

Located<double> TableReader::Number(std::string_view key, Presence presence, Bounds bounds) {
  const auto* node = Find(key, presence);
  if (node == nullptr) return {0, at_, false};
  const auto at = PositionOf(node->source());
  if (!node->is_number()) {
    ReportWrongType(key, *node, "a number");
    return {0, at, false};
  }
  const double value = node->value<double>().value_or(0);
  return {value, at, CheckBounds(key, *node, value, bounds)};
}

std::vector<Located<std::string>> TableReader::Strings(std::string_view key, Presence presence) {
  std::vector<Located<std::string>> values;
  const auto* node = Find(key, presence);
  if (node == nullptr) return values;
  const auto* array = node->as_array();
  if (array == nullptr) {
    ReportWrongType(key, *node, "an array of strings");
    return values;
  }
  values.reserve(array->size());
  for (const auto& item : *array) {
    if (const auto* text = item.as_string()) {
      values.push_back({text->get(), PositionOf(item.source()), true});
    } else {
      ReportWrongType(key, item, "an array of strings");
    }
  }
  return values;
}

const toml::table* TableReader::Table(std::string_view key, Presence presence) {
  const auto* node = Find(key, presence);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) ReportWrongType(key, *node, "a table");
  return node->as_table();
}

std::vector<const toml::table*> TableReader::Tables(std::string_view key, Presence presence) {
  std::vector<const toml::table*> tables;
  const auto* node = Find(key, presence);
  if (node == nullptr) return tables;
  const auto* array = node->as_array();
  if (array == nullptr) {
    ReportWrongType(key, *node, "an array of tables");
    return tables;
  }
  for (const auto& item : *array) {
    if (item.is_table()) {
      tables.push_back(item.as_table());
    } else {
      ReportWrongType(key, item, "an array of tables");
    }
  }
  return tables;
}

void TableReader::RejectUnknownKeys() {
  for (const auto& [key, node] : table_) {
    if (known_keys_.contains(key.str())) continue;
    sink_.Add(ConfigErrorCode::kUnknownKey, PositionOf(key.source()),
              "key \"" + QualifiedKey(key.str()) + "\" is not known");
  }
}

}  // namespace vanilladeck::config::impl
