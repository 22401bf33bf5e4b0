/// @file
/// Whether an owner would know by now that a submission has ended.

#include "core/batch/end_knowledge_base.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

/// A process that runs and whose joins are answered until a time.
struct EndKnowledgeFixture {
  EndKnowledge Knowledge;

  void runUntil(int64_t From, int64_t Until, bool StoreAnswers) {
    for (int64_t Now = From; Now < Until; Now += 100) {
      this->Knowledge.tick(Millis{Now});
      if (StoreAnswers && Now % 500 == 0)
        this->Knowledge.joined(Millis{Now});
    }
  }
};

} // namespace

Test(endKnowledge, partitionReadLately_permits) {
  EndKnowledgeFixture Net;
  Net.runUntil(1'000, 5'000, true);
  cr_assert(Net.Knowledge.permitsStart(Millis{4'200}, Millis{5'000}));
}

Test(endKnowledge, partitionUnreadWhileTheStoreAnswers_forbids) {
  EndKnowledgeFixture Net;
  Net.runUntil(1'000, 5'000, true);
  cr_assert_not(Net.Knowledge.permitsStart(Millis{2'900}, Millis{5'000}));
}

Test(endKnowledge, storeThatAnswersNobody_permits) {
  EndKnowledgeFixture Net;
  Net.runUntil(1'000, 2'000, true);
  Net.runUntil(2'000, 9'000, false);
  cr_assert(Net.Knowledge.permitsStart(Millis{1'900}, Millis{9'000}));
}

Test(endKnowledge, processThatStoodStill_forbidsUntilItHasRead) {
  EndKnowledgeFixture Net;
  Net.runUntil(1'000, 2'000, true);
  // Suspended from 2 s to 7 s.
  cr_assert_not(Net.Knowledge.permitsStart(Millis{1'900}, Millis{7'000}));
  cr_assert_not(Net.Knowledge.permitsStart(Millis{1'900}, Millis{7'050}));
  cr_assert(Net.Knowledge.permitsStart(Millis{7'010}, Millis{7'100}));
}

Test(endKnowledge, shortStandstill_forbidsUntilItHasRead) {
  EndKnowledgeFixture Net;
  Net.runUntil(1'000, 2'000, true);
  cr_assert_not(Net.Knowledge.permitsStart(Millis{1'900}, Millis{3'400}));
}

Test(endKnowledge,
     storeSilentBeforeAndAfterTheStandstill_forbidsUntilItHasRead) {
  EndKnowledgeFixture Net;
  Net.runUntil(1'000, 2'000, true);
  Net.runUntil(2'000, 5'000, false);
  Net.runUntil(9'000, 15'000, false);
  cr_assert_not(Net.Knowledge.permitsStart(Millis{1'900}, Millis{15'000}));
  cr_assert(Net.Knowledge.permitsStart(Millis{14'950}, Millis{15'000}));
}
