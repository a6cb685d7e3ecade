#pragma once

#include <openssl/evp.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace vanilladeck::standins {

[[nodiscard]] inline std::string Base64Encode(const std::string& text) {
  std::string encoded(4 * ((text.size() + 2) / 3) + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
  encoded.resize(static_cast<std::size_t>(length));
  return encoded;
}

/// In-memory key-value data with Consul's modification indexes; a copy serves as a snapshot.
class StoreData {
 public:
  struct Row {
    std::string value;
    std::uint64_t create_index = 0;
    std::uint64_t modify_index = 0;
  };

  [[nodiscard]] std::uint64_t index() const { return index_; }

  [[nodiscard]] const Row* Find(const std::string& key) const {
    const auto it = rows_.find(key);
    return it == rows_.end() ? nullptr : &it->second;
  }

  /// X-Consul-Index of a read: the key's own, or the store's if the key is missing or `recurse`.
  [[nodiscard]] std::uint64_t IndexOf(const std::string& key, bool recurse) const {
    const Row* row = recurse ? nullptr : Find(key);
    return row == nullptr ? index_ : row->modify_index;
  }

  [[nodiscard]] nlohmann::json Rows(const std::string& key, bool recurse) const {
    auto rows = nlohmann::json::array();
    for (auto it = rows_.lower_bound(key); it != rows_.end(); ++it) {
      if (recurse ? !it->first.starts_with(key) : it->first != key) break;
      rows.push_back({{"Key", it->first},
                      {"Value", Base64Encode(it->second.value)},
                      {"CreateIndex", it->second.create_index},
                      {"ModifyIndex", it->second.modify_index},
                      {"LockIndex", 0},
                      {"Flags", 0}});
    }
    return rows;
  }

  /// Writes unless `cas` is set and differs from the key's modify index (0: key must not exist).
  bool Put(const std::string& key, const std::string& value, std::optional<std::uint64_t> cas) {
    const Row* existing = Find(key);
    if (cas && *cas != (existing == nullptr ? 0 : existing->modify_index)) return false;
    ++index_;
    rows_[key] = {value, existing == nullptr ? index_ : existing->create_index, index_};
    return true;
  }

  bool Delete(const std::string& key, bool recurse, std::optional<std::uint64_t> cas) {
    const Row* existing = Find(key);
    if (cas && *cas != (existing == nullptr ? 0 : existing->modify_index)) return false;
    ++index_;
    std::erase_if(rows_, [&](const auto& row) {
      return recurse ? row.first.starts_with(key) : row.first == key;
    });
    return true;
  }

 private:
  std::map<std::string, Row> rows_;
  std::uint64_t index_ = 1;
};

}  // namespace vanilladeck::standins
