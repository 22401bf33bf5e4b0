/// @file
/// Notes endpoints that say in an answer that they leave.

#ifndef CAMPHORNOTCH_GATEWAY_LEAVING_FUNC_H
#define CAMPHORNOTCH_GATEWAY_LEAVING_FUNC_H

#include "core/gateway/endpoint_pool_base.h"
#include "net/metrics_base.h"
#include "platform/engine_func.h"

#include <string_view>

namespace camphornotch {

/// Takes an endpoint out of the choice for the rest of its lifetime if its
/// answer says that it leaves. Called with the head of each answer, whatever
/// its status: a stream may go on for long.
/// @param Sender the endpoint that the request was sent to.
/// @param RequestId the id of the request; an answer to another one says
///   nothing about this endpoint.
void noteLeaving(const platform::EngineAnswer &Answer,
                 const EndpointLifetime &Sender, std::string_view RequestId,
                 EndpointPool &Pool, Metrics &Counts);

} // namespace camphornotch

#endif // CAMPHORNOTCH_GATEWAY_LEAVING_FUNC_H
