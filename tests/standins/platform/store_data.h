#pragma once

#include <openssl/evp.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace vanilladeck::standins {

[[nodiscard]] inline std::string Base64(const std::string& text) {
  std::string out(4 * ((text.size() + 2) / 3) + 1, '\0');
  const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                reinterpret_cast<const unsigned char*>(text.data()),
                                static_cast<int>(text.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}

/// Key-value data with Consul's indexes; copyable, so that a copy is a backup.
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

  /// Index of a blocking read of `key`: its own, or the store's when the key is missing.
  [[nodiscard]] std::uint64_t IndexOf(const std::string& key, bool recurse) const {
    const Row* row = recurse ? nullptr : Find(key);
    return row == nullptr ? index_ : row->modify_index;
  }

  [[nodiscard]] nlohmann::json Rows(const std::string& key, bool recurse) const {
    auto rows = nlohmann::json::array();
    for (auto it = rows_.lower_bound(key); it != rows_.end(); ++it) {
      if (recurse ? !it->first.starts_with(key) : it->first != key) break;
      rows.push_back({{"Key", it->first},
                      {"Value", Base64(it->second.value)},
                      {"CreateIndex", it->second.create_index},
                      {"ModifyIndex", it->second.modify_index},
                      {"LockIndex", 0},
                      {"Flags", 0}});
    }
    return rows;
  }

  /// Writes unless `cas` is set and differs from the key's index (0: the key must not exist).
  bool Put(const std::string& key, const std::string& value, std::optional<std::uint64_t> cas) {
    const Row* old = Find(key);
    if (cas && *cas != (old == nullptr ? 0 : old->modify_index)) return false;
    ++index_;
    rows_[key] = {value, old == nullptr ? index_ : old->create_index, index_};
    return true;
  }

  bool Delete(const std::string& key, bool recurse, std::optional<std::uint64_t> cas) {
    const Row* old = Find(key);
    if (cas && *cas != (old == nullptr ? 0 : old->modify_index)) return false;
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
