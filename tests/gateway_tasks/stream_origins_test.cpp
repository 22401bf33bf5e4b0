/// @file
/// Tests of what began the streams of callers.

#include "gateway/stream_origins_base.h"

#include "gateway_fixture.h"

#include <criterion/criterion.h>
#include <optional>
#include <string>

using namespace camphornotch;

namespace {

/// Gateways' tables in front of one store.
struct OriginNet {
  Loop Events;
  standin::StandinStoreServer Store{this->Events, 2};
  HttpClient Http{this->Events};
  platform::StoreClient Client{this->Events, this->Http, this->Store.target()};

  /// @return the table of a gateway that has just started.
  std::unique_ptr<StreamOrigins> table(const std::string &Host) {
    return std::make_unique<StreamOrigins>(this->Events, this->Client, Host, 2);
  }

  /// @return the software that began a stream; "?": not known.
  std::string find(StreamOrigins &Table, const std::string &RequestId) {
    std::optional<std::string> Software;
    Table.find(RequestId, [&Software](const StreamOrigin *Origin) {
      Software = Origin == nullptr ? "?" : Origin->Software;
    });
    cr_assert(turnUntil(this->Events, [&] { return Software.has_value(); }));
    return *Software;
  }
};

} // namespace

TestSuite(streamOrigins, .timeout = 30);

Test(streamOrigins, streamOfAnotherGateway_isFoundInTheStore) {
  OriginNet Net;
  const auto One = Net.table("one");
  const auto Other = Net.table("other");
  One->add("r1", StreamOrigin{"s", "v1"});
  One->add("r1", StreamOrigin{"s", "v2"});
  Other->add("r2", StreamOrigin{"s", "v2"});
  cr_expect(Net.find(*One, "r1") == "v1");
  cr_expect(Net.find(*Other, "r1") == "v1");
  cr_expect(Net.find(*One, "r2") == "v2");
  cr_expect(Net.find(*Net.table("new"), "r2") == "v2");
}

// Guards against streams that go on by a guess.
Test(streamOrigins, streamThatNobodyRecorded_isNotKnown) {
  OriginNet Net;
  const auto Table = Net.table("one");
  cr_expect(Net.find(*Table, "never") == "?");
}
