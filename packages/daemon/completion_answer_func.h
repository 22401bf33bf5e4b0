/// @file
/// Renders an engine's output the way OpenAI's clients read it.

#ifndef CAMPHORNOTCH_DAEMON_COMPLETION_ANSWER_FUNC_H
#define CAMPHORNOTCH_DAEMON_COMPLETION_ANSWER_FUNC_H

#include "camphornotch_types.h"

#include <string>
#include <string_view>

namespace camphornotch {

/// How one completion is rendered.
struct CompletionStyle {
  /// The request's id.
  std::string Id;
  /// The model.
  std::string Model;
  /// Whether it is a chat completion.
  bool Chat = false;
};

/// @param Style how.
/// @param Finished the whole output.
/// @return the JSON body of a whole answer.
std::string renderWhole(const CompletionStyle &Style,
                        const wire::WorkFinished &Finished);

/// @param Style how.
/// @param Text a part of the output.
/// @return the event that carries it.
std::string renderPart(const CompletionStyle &Style, std::string_view Text);

/// @param Style how.
/// @param Finished the end of a streamed output.
/// @return the last events.
std::string renderEnd(const CompletionStyle &Style,
                      const wire::WorkFinished &Finished);

} // namespace camphornotch

#endif // CAMPHORNOTCH_DAEMON_COMPLETION_ANSWER_FUNC_H
