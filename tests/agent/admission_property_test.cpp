/// @file
/// Properties of admission under random work and random ends.

#include "admission_fixture.h"

#include <array>
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace camphornotch;

namespace {

/// Steps of one random course.
constexpr int CourseSteps = 120;

/// @return a random policy.
AdmissionPolicy anyPolicy() {
  if (*rc::gen::weightedElement<bool>({{1, true}, {4, false}}))
    return FirstComeFirstServed{};
  ClassedAdmission Classes;
  Classes.ShortReserve = *rc::gen::inRange(0, 4);
  // Whether places are kept at all is tested by name; here they always are.
  Classes.ReserveMemory = Never;
  Classes.LongFloor = *rc::gen::inRange(0, 3);
  Classes.Preempt = *rc::gen::arbitrary<bool>();
  return Classes;
}

/// @return random work.
wire::StartWork anyWork() {
  constexpr std::array Classes{wire::WorkClass::Short, wire::WorkClass::Rollout,
                               wire::WorkClass::Urgent};
  const auto Class = Classes.at(*rc::gen::inRange<size_t>(0, Classes.size()));
  const std::string Caller = *rc::gen::element<std::string>("a", "b", "c");
  wire::StartWork Work = makeWork(Class, *rc::gen::inRange(1, 200), Caller);
  Work.DeadlineMs = *rc::gen::weightedElement<int64_t>({{4, 0}, {1, 1500}});
  return Work;
}

/// Lets one thing happen.
void step(AdmissionFixture &Fix) {
  const int What = *rc::gen::inRange(0, 10);
  Fix.Now += Millis{*rc::gen::inRange(0, 200)};
  if (What < 5 || Fix.Running.empty()) {
    Fix.submit(anyWork(), *rc::gen::inRange(0, 12) == 0);
    return;
  }
  auto Chosen = Fix.Running.begin();
  std::advance(Chosen, *rc::gen::inRange<size_t>(0, Fix.Running.size()));
  const RunId Run = Chosen->first;
  if (What == 5)
    Fix.handle(RunProgressed{Run, *rc::gen::inRange(1, 50)});
  else if (What == 6)
    Fix.handle(DropWork{Chosen->second.Key});
  else if (What == 7)
    Fix.handle(AdmissionTick{});
  else
    Fix.end(Run, What == 8 ? RunOutcome::Failed : RunOutcome::Finished);
}

/// @return long runs at the endpoint.
int longRuns(const AdmissionFixture &Fix) {
  int Count = 0;
  for (const auto &[Run, Start] : Fix.Running)
    Count += isLong(Start.Work) ? 1 : 0;
  return Count;
}

} // namespace

Test(admission, random_course_keeps_places_and_reserve) {
  cr_assert(rc::check("places and reserve", [] {
    AdmissionSettings Settings;
    Settings.Slots = *rc::gen::inRange(1, 9);
    Settings.Policy = anyPolicy();
    AdmissionFixture Fix{Settings};
    const auto *Classes = std::get_if<ClassedAdmission>(&Settings.Policy);
    const int Reserve = Classes == nullptr ? 0
                                           : std::min(Classes->ShortReserve,
                                                      Settings.Slots - 1);
    for (int Index = 0; Index < CourseSteps; ++Index) {
      step(Fix);
      RC_ASSERT(static_cast<int>(Fix.Running.size()) <= Settings.Slots);
      RC_ASSERT(longRuns(Fix) <= Settings.Slots - Reserve);
    }
  }));
}

Test(admission, random_course_refuses_as_not_run_only_what_never_started) {
  cr_assert(rc::check("not run is true", [] {
    AdmissionSettings Settings;
    Settings.Slots = *rc::gen::inRange(1, 6);
    Settings.Policy = anyPolicy();
    AdmissionFixture Fix{Settings};
    for (int Index = 0; Index < CourseSteps; ++Index)
      step(Fix);
    Fix.handle(CloseAdmission{});
    std::set<WorkKey> Started;
    for (const StartRun &Each : Fix.Started)
      RC_ASSERT(Started.insert(Each.Key).second);
    for (const RefuseWork &Each : Fix.Refused) {
      const bool NotRun = Each.Why.State == RunState::NotRun;
      RC_ASSERT(NotRun != Started.contains(Each.Key));
    }
  }));
}

Test(admission, random_course_ends_all_work_once) {
  cr_assert(rc::check("every work gets one end", [] {
    AdmissionSettings Settings;
    Settings.Slots = *rc::gen::inRange(1, 6);
    Settings.Policy = anyPolicy();
    AdmissionFixture Fix{Settings};
    for (int Index = 0; Index < CourseSteps; ++Index)
      step(Fix);
    // Everything that waits starts in the end: no caller is starved.
    while (!Fix.Running.empty()) {
      Fix.Now += Millis{100};
      Fix.end(Fix.Running.begin()->first, RunOutcome::Finished);
    }
    RC_ASSERT(Fix.Admission.queued() == 0U);
    RC_ASSERT(Fix.Admission.running() == 0U);
    RC_ASSERT(Fix.Admission.load(Fix.Now).QueuedTokens == 0);
  }));
}

Test(admission, greedy_caller_gets_no_more_than_its_share) {
  cr_assert(rc::check("fair among callers", [] {
    AdmissionSettings Settings;
    Settings.Slots = 1;
    Settings.MaxLongWait = seconds(100'000);
    AdmissionFixture Fix{Settings};
    const int64_t Tokens = *rc::gen::inRange(1, 300);
    for (int Index = 0; Index < 200; ++Index)
      Fix.submit(makeWork(wire::WorkClass::Rollout, Tokens, "greedy"));
    for (int Index = 0; Index < 10; ++Index)
      Fix.submit(makeWork(wire::WorkClass::Rollout, Tokens, "modest"));
    for (int Index = 0; Index < 21; ++Index)
      Fix.end(Fix.Running.begin()->first, RunOutcome::Finished);
    int Modest = 0;
    for (const StartRun &Each : Fix.Started)
      Modest += Each.Work.Caller == "modest" ? 1 : 0;
    RC_ASSERT(Modest == 10);
  }));
}
