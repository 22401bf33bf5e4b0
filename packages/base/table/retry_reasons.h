/// @file
/// The name of each retry reason.

#ifndef CAMPHORNOTCH_BASE_TABLE_RETRY_REASONS_H
#define CAMPHORNOTCH_BASE_TABLE_RETRY_REASONS_H

#include "base/retry_type.h"

#include <array>
#include <string_view>

namespace camphornotch {

/// The description of one reason.
struct RetrySpec {
  RetryReason Reason;
  /// The name in logs and metric labels.
  std::string_view Name;
};

/// One row for each reason, in the order of the enumeration.
inline constexpr std::array RetryTable{
    RetrySpec{RetryReason::RefusedNotRun, "refused_not_run"},
    RetrySpec{RetryReason::EndpointFailed, "endpoint_failed"},
    RetrySpec{RetryReason::PeerLost, "peer_lost"},
    RetrySpec{RetryReason::Preempted, "preempted"},
    RetrySpec{RetryReason::Hedge, "hedge"},
    RetrySpec{RetryReason::LabelUnknown, "label_unknown"},
    RetrySpec{RetryReason::TooOld, "too_old"},
    RetrySpec{RetryReason::ScorerFailed, "scorer_failed"},
    RetrySpec{RetryReason::AppendUnanswered, "append_unanswered"},
    RetrySpec{RetryReason::AppendRefused, "append_refused"},
    RetrySpec{RetryReason::SwapFailed, "swap_failed"},
    RetrySpec{RetryReason::SwapUnanswered, "swap_unanswered"},
    RetrySpec{RetryReason::LinkReconnect, "link_reconnect"},
    RetrySpec{RetryReason::OwnerMoved, "owner_moved"},
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_TABLE_RETRY_REASONS_H
