/// @file
/// JSON of the trainers' answers and of the work sent for them.

#ifndef CAMPHORNOTCH_DAEMON_SAMPLE_ANSWER_FUNC_H
#define CAMPHORNOTCH_DAEMON_SAMPLE_ANSWER_FUNC_H

#include "core/samples/sample_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace camphornotch {

/// @param Answer a durable submission.
/// @return the body of the answer.
std::string renderSubmit(const AnswerSubmit &Answer);

/// @param Answer one batch.
/// @return the body of the answer.
std::string renderPull(const AnswerPull &Answer);

/// @param Need a slot's needs.
/// @return the body of the completion for the engine.
std::string completionBodyOf(const NeedAttempt &Need);

/// @param Need a sample to be scored.
/// @return the body for the scorer.
std::string scoreBodyOf(const NeedScore &Need);

/// @param Body a scorer's answer.
/// @return the score, if there is one.
std::optional<double> parseScore(std::string_view Body);

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_SAMPLE_ANSWER_FUNC_H
