#include "rattanward/adapter/handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace rattanward::adapter::detail {
namespace {

constexpr std::size_t kNonceBytes = 32;

/// Appends the part with its length, so that parts can't run into each other.
void AppendPart(const std::string& part, std::string& text) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

}  // namespace

std::string MakeNonce() {
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1) {
    std::abort();  // without randomness no handshake is safe
  }
  return nonce;
}

std::string MakeProof(const std::string& secret, HandshakeRole role,
                      const protocol::Hello& hello,
                      const protocol::Challenge& challenge) {
  std::string text =
      role == HandshakeRole::kListener ? "listener" : "connector";
  AppendPart(std::to_string(hello.version), text);
  AppendPart(hello.process.str(), text);
  AppendPart(hello.nonce, text);
  AppendPart(std::to_string(challenge.version), text);
  AppendPart(challenge.process.str(), text);
  AppendPart(challenge.nonce, text);
  std::string proof(EVP_MAX_MD_SIZE, '\0');
  unsigned int length = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       reinterpret_cast<unsigned char*>(proof.data()), &length);
  proof.resize(length);
  return proof;
}

bool SameProof(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace rattanward::adapter::detail
