// Hashes the identifying parts of a request.
#include "RequestFingerprint.h"

#include <LibNet/HttpMessages.h>

#include <xxhash.h>

#include <string_view>

namespace Sagecrank {

namespace {

// Each field is hashed with the previous hash as its seed, so that moving bytes between adjacent fields
// changes the result.
std::uint64_t fingerprintOf(const CallRequest &request, std::string_view target)
{
    std::uint64_t hash = 0;
    for (const std::string_view field :
         {std::string_view(request.method), findHeader(request.headers, "Host"), target,
          findHeader(request.headers, "Authorization"), std::string_view(request.body)})
        hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
    return hash;
}

} // namespace

std::vector<std::uint64_t> fingerprintsOf(const CallRequest &request)
{
    const std::string_view target(request.target);
    const std::string_view path = target.substr(0, target.find('?'));
    std::vector<std::uint64_t> fingerprints{fingerprintOf(request, path)};
    if (path.size() != target.size())
        fingerprints.push_back(fingerprintOf(request, target));
    return fingerprints;
}

} // namespace Sagecrank
