/// @file
/// Builds the call that runs an item at an engine.

#ifndef CAMPHORNOTCH_GATEWAY_ITEM_REQUEST_FUNC_H
#define CAMPHORNOTCH_GATEWAY_ITEM_REQUEST_FUNC_H

#include "core/batch/batch_type.h"
#include "core/gateway/endpoint_pool_type.h"
#include "net/http_type.h"

namespace camphornotch {

/// @param EventsHad number of events of the text that exist already; the engine
///   continues after them.
HttpCall itemRequest(const SubmissionState &State,
                     const wire::BatchItemField &Item,
                     const EndpointRecord &Engine, size_t EventsHad);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_ITEM_REQUEST_FUNC_H
