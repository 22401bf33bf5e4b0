/// @file
/// A follower of a keyed topic with a stand-in for the store.

#include "base/clock_func.h"
#include "gateway/keyed_follower_base.h"
#include "standins/store/store_server.h"
#include "tests/net/net_fixture.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace camphornotch;

namespace {

constexpr std::string_view Topic = "keyed.servers";

/// Names that another writer may give its entries.
const std::vector<std::string> OddKeys{
    "&b",  "+b",    "#b",   "%41",   "%b",
    "b c", "b\r\n", "b?=/", "b\x7f", std::string(255, 'b')};

/// A store with short pages, and a follower of its registry.
struct PagedFixture {
  explicit PagedFixture(const std::string &OddKey, size_t PageRecords = 2) {
    this->Server.NewestPageRecords = PageRecords;
    for (const std::string &Key : {std::string("!1"), OddKey, std::string("c1"),
                                   std::string("c2"), std::string("c3")})
      this->Server.put(std::string(Topic), Key, "v");
    // Only pages bring these records.
    this->Server.state().dropHistory(std::string(Topic), 0);
  }

  /// Makes the store refuse the page after "b1", or the first one.
  /// @param Status 0: it is not answered.
  void refusePage(bool First, int Status) {
    this->Server.RefusedCursorStatus = Status;
    this->Server.RefusesFirstPage = First;
    this->Server.RefusedCursors = {"b1"};
  }

  void healPages() {
    this->Server.RefusesFirstPage = false;
    this->Server.RefusedCursors.clear();
  }

  /// @return whether a record is read that is written now.
  bool readsNewRecord(const std::string &Key) {
    this->Server.put(std::string(Topic), Key, "v");
    return turnUntil(this->Events,
                     [this, &Key] { return this->Records.contains(Key); });
  }

  /// @return whether all sound keys were read, and the pass has ended.
  bool readsSoundKeys() {
    this->Tested.begin();
    return turnUntil(this->Events, [this] {
      return std::ranges::all_of(
          std::array{"!1", "c1", "c2", "c3"},
          [this](const char *Key) { return this->Present.contains(Key); });
    });
  }

  Loop Events;
  standin::StandinStoreServer Server{Events, 1};
  HttpClient Http{Events};
  platform::StoreClient Store{Events, Http, this->Server.target()};
  /// Keys of all records, and of the last pass.
  std::set<std::string> Records;
  std::set<std::string> Present;
  /// The last record of each key, and whether one was older than that before
  /// it.
  std::map<std::string, KeyedRecord> Newest;
  bool WentBack = false;
  std::set<std::string> ValuesOfC1;
  KeyedFollower Tested{
      Events, Store, std::string(Topic),
      KeyedFollowerCallbacks{
          [this](const KeyedRecord &Record) {
            this->Records.insert(Record.Key);
            KeyedRecord &Known = this->Newest[Record.Key];
            this->WentBack |= Record.Offset < Known.Offset;
            Known = Record;
            if (Record.Key == "c1")
              this->ValuesOfC1.insert(Record.Value);
          },
          [this](const std::set<std::string> &Keys) { this->Present = Keys; },
          [](const Error &) {}, [] {}}};
};

} // namespace

// Guards against an entry of another writer whose name, put into a query as it
// is, hides all entries after it.
Test(keyedFollower, oddKeyAtTheEndOfAPage_othersAreRead) {
  for (const std::string &OddKey : OddKeys) {
    PagedFixture Fixture(OddKey);
    cr_expect(Fixture.readsSoundKeys(), "%s", OddKey.c_str());
    constexpr int64_t MaxPages = 6;
    cr_expect_leq(Fixture.Server.NewestReads, MaxPages, "%s", OddKey.c_str());
  }
}

// Guards against an entry that the store does not find again.
Test(keyedFollower, cursorThatLeadsBackOrIsRefused_othersAreRead) {
  constexpr int LedBack = 0;
  for (const int Status : {LedBack, 400, 410, 500}) {
    PagedFixture Fixture("b1");
    Fixture.Server.RefusedCursorStatus = Status;
    (Status == LedBack ? Fixture.Server.LostCursors
                       : Fixture.Server.RefusedCursors) = {"b1"};
    cr_expect(Fixture.readsSoundKeys(), "%d", Status);
    constexpr int64_t MaxPages = 8;
    cr_expect_leq(Fixture.Server.NewestReads, MaxPages, "%d", Status);
  }
}

// Guards against the loss of endpoints that registered after the last pass.
Test(keyedFollower, passThatEndsIncomplete_keepsKeysOfLaterRecords) {
  PagedFixture Fixture("b1");
  cr_assert(Fixture.readsSoundKeys());
  Fixture.Server.put(std::string(Topic), "z1", "v");
  cr_assert(turnUntil(Fixture.Events,
                      [&Fixture] { return Fixture.Records.contains("z1"); }));
  Fixture.Present.clear();
  Fixture.Server.LostCursors = {"!1", "b1"};
  Fixture.Server.state().put(std::string(Topic), "z2", "v");
  Fixture.Server.state().dropHistory(std::string(Topic), 0);
  cr_assert(turnUntil(Fixture.Events,
                      [&Fixture] { return !Fixture.Present.empty(); }));
  cr_expect(Fixture.Present.contains("z1"));
  cr_expect(Fixture.Present.contains("c3"));
}

// Guards against a loop without end where no cursor leads on.
Test(keyedFollower, everyCursorLeadsBack_newRecordsAreStillRead) {
  PagedFixture Fixture("b1");
  Fixture.Server.LostCursors = {"!1", "b1"};
  Fixture.Tested.begin();
  cr_assert(turnUntil(Fixture.Events, [&Fixture] {
    return Fixture.Tested.available(steadyNow()) &&
           Fixture.Server.ReadsByTopic[std::string(Topic)] > 0;
  }));
  constexpr int64_t MaxPages = 4;
  cr_assert_leq(Fixture.Server.NewestReads, MaxPages);
  cr_assert(Fixture.Present.contains("!1"));
}

// Guards against a pass that begins again for good while nothing follows the
// records behind the page that cannot be read.
Test(keyedFollower, pageWithoutAnotherCursorIsRefused_newRecordsAreRead) {
  constexpr int NotAnswered = 0;
  for (const bool First : {false, true}) {
    for (const int Status : {NotAnswered, 400, 410, 429, 500}) {
      PagedFixture Fixture("b1", 1);
      Fixture.refusePage(First, Status);
      Fixture.Tested.begin();
      cr_expect(Fixture.readsNewRecord("c2"), "%d %d", First, Status);
      cr_expect(turnUntil(Fixture.Events, [&Fixture] {
        return Fixture.Tested.available(steadyNow()) &&
               Fixture.Present.contains("c2");
      }));
    }
  }
}

// Guards against a list that stays incomplete once its pages are readable.
Test(keyedFollower, pageIsReadableAgain_allKeysAreRead) {
  for (const bool First : {false, true}) {
    PagedFixture Fixture("b1", 1);
    Fixture.refusePage(First, 500);
    Fixture.Tested.begin();
    cr_expect(Fixture.readsNewRecord("d1"));
    Fixture.Present.clear();
    Fixture.healPages();
    cr_expect(turnUntil(Fixture.Events, [&Fixture] {
      return Fixture.Present.contains("c3") && Fixture.Present.contains("d1");
    }));
  }
}

// Guards against calls without a pause while a page cannot be read.
Test(keyedFollower, pageStaysRefused_passIsRepeatedWithGrowingPause) {
  PagedFixture Fixture("b1", 1);
  Fixture.refusePage(true, 500);
  Fixture.Tested.begin();
  constexpr int64_t ReadsOfThreePasses = 6;
  cr_assert(turnUntil(Fixture.Events, [&Fixture] {
    return Fixture.Server.NewestReads >= ReadsOfThreePasses;
  }));
  // Pauses of 2 s and 4 s, in which the records are read with a wait of 0.7 s.
  constexpr int64_t MinReadsBeside = 5;
  cr_expect_geq(Fixture.Server.ReadsByTopic[std::string(Topic)],
                MinReadsBeside);
}

// Guards against an endpoint that returns to an older state, or that is back
// after its removal, while retained records are read beside the pages.
Test(keyedFollower, retainedRecordsAreReadBesidePages_noKeyGoesBack) {
  PagedFixture Fixture("b1", 1);
  for (const char *Value : {"v1", "v2", "v3"})
    for (const char *Key : {"!1", "c1"})
      Fixture.Server.put(std::string(Topic), Key, Value);
  Fixture.Server.put(std::string(Topic), "c2", "");
  Fixture.refusePage(false, 500);
  Fixture.Tested.begin();
  cr_assert(turnUntil(Fixture.Events,
                      [&Fixture] { return Fixture.Present.contains("c1"); }));
  cr_expect_not(Fixture.WentBack);
  cr_expect_eq(Fixture.Newest["c1"].Value, "v3");
  // Replaced values of before, of which a configuration may be one, are none.
  cr_expect_eq(Fixture.ValuesOfC1, std::set<std::string>{"v3"});
  Fixture.healPages();
  cr_assert(turnUntil(Fixture.Events,
                      [&Fixture] { return Fixture.Present.contains("c3"); }));
  cr_expect_not(Fixture.WentBack);
  cr_expect_not(Fixture.Present.contains("c2"));
}

// Guards against a configuration that is given up although its record is
// retained, behind many entries of another writer.
Test(keyedFollower, retainedRecordBehindThousandsOfOthers_isReadBesidePages) {
  PagedFixture Fixture("b1", 1);
  Fixture.Server.put(std::string(Topic), "c9", "v");
  constexpr int Others = 9'000;
  for (int Number = 0; Number < Others; ++Number)
    Fixture.Server.put(std::string(Topic), "b" + std::to_string(Number), "{}");
  Fixture.refusePage(true, 500);
  Fixture.Tested.begin();
  cr_assert(turnUntil(Fixture.Events,
                      [&Fixture] { return Fixture.Records.contains("c9"); }));
}

// Guards against calls without a pause to a store that has records and sends
// none.
Test(keyedFollower, readWithoutARecordBeforeTheEnd_isRepeatedAfterAPause) {
  HttpFixture Net;
  int Reads = 0;
  Net.Handler = [&](const std::shared_ptr<HttpExchange> &Exchange) {
    HttpResponse Response;
    Response.Body = R"({"items":[],"end":5})";
    if (Exchange->request().Path == "/-/log-read") {
      ++Reads;
      Response.Body =
          standin::standinNumber(9, 8) + standin::standinNumber(0, 8);
    }
    Exchange->answer(Response);
  };
  platform::StoreClient Store(Net.Events, Net.Client, Net.target());
  KeyedFollower Tested(Net.Events, Store, std::string(Topic),
                       loggingCallbacks("topic", [](const KeyedRecord &) {}));
  Tested.begin();
  const Millis Until = steadyNow() + seconds(1);
  turnUntil(Net.Events, [&] { return steadyNow() >= Until; });
  constexpr int MaxReads = 8;
  cr_expect_geq(Reads, 2);
  cr_expect_leq(Reads, MaxReads);
}

// Guards against a key that makes its whole page unreadable.
Test(keyedFollower, keyThatIsNoText_othersAreRead) {
  for (const bool SendsRawKeys : {false, true}) {
    PagedFixture Fixture("b\xff");
    Fixture.Server.SendsRawKeys = SendsRawKeys;
    cr_expect(Fixture.readsSoundKeys());
    constexpr int64_t MaxPages = 6;
    cr_expect_leq(Fixture.Server.NewestReads, MaxPages);
  }
}

// Guards against a key that counts as none.
Test(keyedFollower, emptyKeyAtTheEndOfAPage_othersAreRead) {
  PagedFixture Fixture("", 1);
  cr_expect(Fixture.readsSoundKeys());
  constexpr int64_t MaxPages = 5;
  cr_expect_leq(Fixture.Server.NewestReads, MaxPages);
}

// Guards against a process that was suspended and takes its configuration for
// the newest one until its next read fails.
Test(keyedFollower, answerFromBeforeASuspension_isNoneThatCounts) {
  Loop Events;
  standin::StandinStoreServer Server(Events, 1);
  HttpClient Http(Events);
  platform::StoreClient Store(Events, Http, Server.target());
  KeyedFollower Tested(Events, Store, "keyed.op",
                       loggingCallbacks("topic", [](const KeyedRecord &) {}));
  cr_assert_not(Tested.available(steadyNow()));
  Tested.begin();
  cr_assert(turnUntil(Events, [&] { return Tested.available(steadyNow()); }));
  cr_assert_not(Tested.available(steadyNow() + seconds(5)));
}
