// Computes digests of keys with libsodium.
#include <LibConfig/Account.h>

#include <sodium/crypto_hash_sha256.h>

namespace Sagecrank {

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest digest;
    static_assert(sizeof(digest.bytes) == crypto_hash_sha256_BYTES);
    crypto_hash_sha256(digest.bytes.data(), reinterpret_cast<const unsigned char *>(key.data()), key.size());
    return digest;
}

} // namespace Sagecrank
