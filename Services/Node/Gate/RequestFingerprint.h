// Fingerprints that identify a request when its caller retries it with another call id.
#pragma once

#include <LibWire/PeerMessages.h>

#include <cstdint>
#include <vector>

namespace Sagecrank {

// Returns a fingerprint of method, host, path, credentials and body, and a second one that includes the query
// if there is one. Both are needed: some crashing requests differ from others only in the query, while others
// change their query with each retry.
std::vector<std::uint64_t> fingerprintsOf(const CallRequest &request);

} // namespace Sagecrank
