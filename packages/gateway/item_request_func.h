/// @file
/// The call that runs an item at an engine.

#ifndef CAMPHORNOTCH_GATEWAY_ITEM_REQUEST_FUNC_H
#define CAMPHORNOTCH_GATEWAY_ITEM_REQUEST_FUNC_H

#include "core/batch/batch_type.h"
#include "core/gateway/endpoint_pool_type.h"
#include "net/http_type.h"

namespace camphornotch {

/// @param State a submission.
/// @param Item one of its items.
/// @param At the engine.
/// @param EventsHad events of its text that there are already.
/// @return the call.
HttpCall itemRequest(const SubmissionState &State,
                     const wire::BatchItemField &Item, const EndpointRecord &At,
                     size_t EventsHad);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_ITEM_REQUEST_FUNC_H
