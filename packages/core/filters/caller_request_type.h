/// @file
/// What callers can ask for, as typed requests.

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

/// POST /v1/completions or /v1/chat/completions; the body goes to the engine
/// as it is.
struct CompletionRequest {
  /// The model.
  std::string Model;
  /// Whether the answer is wanted as Server-Sent Events.
  bool Stream = false;
  /// Whether it has messages in place of a prompt.
  bool Chat = false;
  /// The most tokens wanted; 0: not given.
  int64_t MaxTokens = 0;
  /// The start of the prompt, for prefix affinity.
  std::string PromptPrefix;
};

/// POST /v1/steps.
struct SubmitRequest {
  /// Whose step.
  TrainerId Trainer;
  /// The step's number.
  int64_t Step = 0;
  /// The model to sample from.
  std::string Model;
  /// The groups.
  std::vector<wire::GroupSpec> Groups;
};

/// GET or POST /v1/samples.
struct PullRequest {
  /// Whose samples.
  TrainerId Trainer;
  /// The cursor of the last answer.
  std::string Cursor;
  /// Whether the trainer lost its cursor.
  bool Resume = false;
  /// The version that the trainer has reached; -1: not told.
  WeightVersion Version{-1};
  /// The most samples wanted; 0: not given.
  int64_t MaxSamples = 0;
  /// How long to wait for the first one.
  Millis Wait;
};

/// POST /v1/weights.
struct WeightsRequest {
  /// The model.
  std::string Model;
  /// Its new version.
  WeightVersion Version;
  /// Where the store has it.
  std::string Location;
};

/// Any method on /services/NAME/...
struct ServiceRequest {
  /// The service's name.
  std::string Service;
  /// Path and query at the service.
  std::string Path;
};

/// GET /admin/status.
struct StatusRequest {};

/// GET /admin/explain.
struct ExplainRequest {
  /// The caller asked about; empty: none.
  std::string Caller;
  /// The trainer asked about; empty: none.
  std::string Trainer;
  /// The service asked about; empty: none.
  std::string Service;
  /// The method of a service call.
  std::string Method;
  /// The path of a service call.
  std::string Path;
  /// The model asked about; empty: none.
  std::string Model;
};

/// One caller's request.
using CallerRequest =
    std::variant<CompletionRequest, SubmitRequest, PullRequest, WeightsRequest,
                 ServiceRequest, StatusRequest, ExplainRequest>;

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_FILTERS_CALLER_REQUEST_TYPE_H
