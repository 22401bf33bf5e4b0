/// @file
/// Typed requests of callers.

#ifndef CAMPHORNOTCH_CORE_FILTERS_CALLER_REQUEST_TYPE_H
#define CAMPHORNOTCH_CORE_FILTERS_CALLER_REQUEST_TYPE_H

#include "base/id_type.h"
#include "base/millis_type.h"
#include "camphornotch_types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// POST /v1/completions or /v1/chat/completions; the engine gets the body
/// unchanged.
struct CompletionRequest {
  std::string Model;
  /// Whether to answer with Server-Sent Events.
  bool Stream = false;
  /// Whether the body has messages instead of a prompt.
  bool Chat = false;
  /// 0: not given.
  int64_t MaxTokens = 0;
  /// The start of the prompt, for prefix affinity.
  std::string PromptPrefix;
};

/// POST /v1/steps.
struct SubmitRequest {
  TrainerId Trainer;
  int64_t Step = 0;
  std::string Model;
  std::vector<wire::GroupSpec> Groups;
};

/// GET or POST /v1/samples.
struct PullRequest {
  TrainerId Trainer;
  /// The cursor from the previous answer.
  std::string Cursor;
  /// Whether the trainer lost its cursor.
  bool Resume = false;
  /// The trainer's current version; -1: not given.
  WeightVersion Version{-1};
  /// 0: not given.
  int64_t MaxSamples = 0;
  /// How long to wait for the first sample.
  Millis Wait;
};

/// POST /v1/weights.
struct WeightsRequest {
  std::string Model;
  WeightVersion Version;
  /// Location of the weights in the store.
  std::string Location;
};

/// Any method on /services/NAME/...
struct ServiceRequest {
  std::string Service;
  /// Path and query to send to the service.
  std::string Path;
};

/// GET /admin/status.
struct StatusRequest {};

/// GET /admin/explain; fields that are not given are empty.
struct ExplainRequest {
  std::string Caller;
  std::string Trainer;
  std::string Service;
  /// The method of a service call.
  std::string Method;
  /// The path of a service call.
  std::string Path;
  std::string Model;
};

using CallerRequest =
    std::variant<CompletionRequest, SubmitRequest, PullRequest, WeightsRequest,
                 ServiceRequest, StatusRequest, ExplainRequest>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FILTERS_CALLER_REQUEST_TYPE_H
