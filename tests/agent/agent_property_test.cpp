/// @file
/// Properties of the agent under random failures of engine, link and process.

#include "agent_course.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphornotch;

namespace {

/// Steps of one random course.
constexpr int CourseSteps = 150;

/// @param Segments segments of a label.
/// @param Tokens tokens in all.
/// @return the version of each token.
std::vector<int64_t> expand(const std::vector<wire::LabelSegment> &Segments,
                            int64_t Tokens) {
  std::vector<int64_t> Versions;
  for (size_t Index = 0; Index < Segments.size(); ++Index) {
    const int64_t Last =
        Index + 1 < Segments.size() ? Segments[Index + 1].FirstToken : Tokens;
    while (static_cast<int64_t>(Versions.size()) < Last)
      Versions.push_back(Segments[Index].Version);
  }
  return Versions;
}

/// @param End an end.
/// @return whether it says that the work did not run.
bool saysNotRun(const WorkEnd &End) {
  const auto *Refused = std::get_if<wire::WorkRefused>(&End);
  return Refused != nullptr &&
         Refused->Refusal.RunState == static_cast<int32_t>(RunState::NotRun);
}

} // namespace

Test(agent, random_course_gives_each_work_one_true_end) {
  cr_assert(rc::check("one true end", [] {
    AgentCourse Course;
    for (int Index = 0; Index < CourseSteps; ++Index)
      Course.step();
    Course.drain();
    for (const int64_t Work : Course.Sent) {
      RC_ASSERT(Course.Ends.contains(Work));
      const std::vector<WorkEnd> &Ends = Course.Ends.at(Work);
      const bool NotRun = saysNotRun(Ends.front());
      RC_ASSERT(Course.Started[Work] == (NotRun ? 0 : 1));
      for (const WorkEnd &End : Ends) {
        RC_ASSERT(End.index() == Ends.front().index());
        RC_ASSERT(saysNotRun(End) == NotRun);
      }
    }
  }));
}

Test(agent, random_course_labels_only_what_is_true) {
  cr_assert(rc::check("true labels", [] {
    AgentCourse Course;
    for (int Index = 0; Index < CourseSteps; ++Index)
      Course.step();
    Course.drain();
    for (const auto &[Work, Ends] : Course.Ends) {
      const auto *Finished = std::get_if<wire::WorkFinished>(&Ends.front());
      if (Finished == nullptr || !Finished->LabelKnown)
        continue;
      RC_ASSERT(expand(Finished->Segments, Finished->Tokens) ==
                Course.Truth.at(Work));
    }
  }));
}
