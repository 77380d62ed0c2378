#include "rattanward/entry/config_snapshot.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <utility>

namespace rattanward::entry {

ConfigSnapshot::ConfigSnapshot(ConfigVersion version, Config config)
    : version_(version),
      config_(std::move(config)),
      models_(config_.models.begin(), config_.models.end()) {
  for (const ClientAccount& account : config_.accounts) {
    accounts_[account.key_sha256] = &account;
  }
}

const ClientAccount* ConfigSnapshot::FindAccountByKey(
    std::string_view key) const {
  const std::string hash = Sha256Hex(key);
  const auto it = accounts_.find(hash);
  if (it == accounts_.end() || !EqualInConstantTime(it->first, hash)) {
    return nullptr;
  }
  return it->second;
}

bool ConfigSnapshot::HasModel(const ModelName& model) const {
  return models_.count(model) != 0;
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : digest) {
    hex.push_back(kDigits[byte >> 4U]);
    hex.push_back(kDigits[byte & 0xFU]);
  }
  return hex;
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace rattanward::entry
