/// @file
/// Tests of decoding pages of newest records that other writers wrote to.

#include "platform/engine_func.h"
#include "platform/json_internal.h"
#include "platform/operator_func.h"
#include "platform/store_codec_internal.h"

#include <criterion/criterion.h>
#include <string>

using namespace camphornotch;
using namespace camphornotch::platform;

namespace {

/// @param Items as JSON.
Result<KeyedPage> decodePage(const std::string &Items) {
  return decodeKeyedPage(R"({"items":[)" + Items +
                         R"(],"has_more":true,"end":9})");
}

/// @param Key as the inside of a JSON string.
std::string itemText(const std::string &Key) {
  return R"({"key":")" + Key + R"(","value":"dg==","offset":1})";
}

} // namespace

// Guards against a key whose bytes no JSON string can hold, which hides its
// whole page.
Test(decodeKeyedPage, keyThatIsNoText_othersAreDecoded) {
  for (const std::string Odd :
       {"\xff", "a\x80z", "\xc3", "\xed\xa0\x80", "\xf4\x90\x80\x80",
        "\xc0\xaf", "\\ud800", "\\udc00x", "\\ud800\\u0041", "a\r\nb",
        "\\\\\xff", "\\\xff", "\\x", "\\u12"}) {
    const auto Page =
        decodePage(itemText("a") + "," + itemText(Odd) + "," + itemText("c"));
    cr_assert(Page.has_value(), "%s", Odd.c_str());
    cr_expect_eq(Page.value().Records.size(), 3U, "%s", Odd.c_str());
    cr_expect(Page.value().Cursors == (std::vector<std::string>{"a", "c"}),
              "%s", Odd.c_str());
  }
}

Test(decodeKeyedPage, keysOfAnyText_areKeptAsTheyAre) {
  const auto Page = decodePage(itemText("\\ud83d\\ude00") + "," +
                               itemText("\xf0\x9f\x98\x80 & \\\"+\\\\"));
  cr_assert(Page.has_value());
  cr_assert_eq(Page.value().Records.size(), 2U);
  cr_expect_str_eq(Page.value().Records[0].Key.c_str(), "\xf0\x9f\x98\x80");
  cr_expect_str_eq(Page.value().Records[1].Key.c_str(),
                   "\xf0\x9f\x98\x80 & \"+\\");
}

Test(decodeKeyedPage, itemsOfAnotherForm_areCounted) {
  const auto Page = decodePage(
      R"(7,{"key":5,"value":"dg==","offset":1},{"key":"k","offset":1},)"
      R"({"key":"k","value":"?","offset":1},{"key":"k","value":"dg=="},)" +
      itemText("a"));
  cr_assert(Page.has_value());
  cr_expect_eq(Page.value().Records.size(), 1U);
  cr_expect_eq(Page.value().Skipped, 5);
  cr_expect(Page.value().Cursors ==
            (std::vector<std::string>{"k", "k", "k", "a"}));
}
// Guards against use of an entry of another writer under a name of its own.
Test(decodeEndpoint, idThatNoEngineUses_namesNoEndpoint) {
  const std::string Entry =
      R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":8,)"
      R"("state":"ready"})";
  for (const std::string Id : {"i-7f3a91c2", "a.b_c~d:e/f@2"})
    cr_expect(decodeEndpoint(Id, Entry).has_value(), "%s", Id.c_str());
  for (const std::string Id : {"", " ", "a b", "a&b", "a+b", "a#b", "a%41",
                               "a\r\nb", "a\tb", "\xff", "\xc3\xa9"})
    cr_expect(decodeEndpoint(Id, Entry).has_error(), "%s", Id.c_str());
}

// Guards against a process that ends at a name of another writer.
Test(storeCalls, namesThatAreNoText_areSent) {
  LoadOrder Order;
  Order.Model = "m\xff";
  const HttpCall Call =
      orderCall({"10.0.0.9", 80}, EndpointId{"i"}, Order, {"host\xfe", 1});
  cr_expect(Json::accept(Call.Body));
  GroupMember Member;
  Member.Member = "host\xfe";
  cr_expect(Json::accept(encodeMember(Member)));
}
