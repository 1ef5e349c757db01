// Reasons why a call did not run or its outcome is unknown, in addition to those of LibDecide and LibSource.
// They are sent to other nodes and to callers, and the load balancer distinguishes some of them, so each
// string is defined once.
#pragma once

#include <string_view>

namespace Sagecrank {

// From the node that the caller is connected to.
inline constexpr std::string_view reasonNoUpstream = "no_upstream_present";
inline constexpr std::string_view reasonCallerDeadline = "deadline_passed";
inline constexpr std::string_view reasonLeaving = "node_leaving";

// From either node.
inline constexpr std::string_view reasonQuarantined = "crashes_upstreams";

// From the connection to another node.
inline constexpr std::string_view reasonPeerUnreachable = "peer_unreachable";
inline constexpr std::string_view reasonPeerLost = "peer_connection_lost";
inline constexpr std::string_view reasonPeerCongested = "peer_congested";
inline constexpr std::string_view reasonPeerLeaving = "peer_leaving";

// From the node that the upstream is beside.
inline constexpr std::string_view reasonNoMemory = "no_memory_for_body";

// From the gate.
inline constexpr std::string_view reasonKeyInProgress = "key_in_progress";
inline constexpr std::string_view reasonKeyUnknown = "key_outcome_unknown";
inline constexpr std::string_view reasonShed = "upstream_shed";
inline constexpr std::string_view reasonMisdirected = "another_upstream_at_the_address";
inline constexpr std::string_view reasonNoProof = "upstream_refused_without_proof";
inline constexpr std::string_view reasonSpoilt = "upstream_answer_spoilt";
inline constexpr std::string_view reasonTooLarge = "upstream_response_too_large";
inline constexpr std::string_view reasonUnreachable = "upstream_unreachable";
inline constexpr std::string_view reasonBroken = "upstream_broke_off";
inline constexpr std::string_view reasonDeadline = "deadline_passed_while_running";
inline constexpr std::string_view reasonCancelled = "cancelled";

} // namespace Sagecrank
