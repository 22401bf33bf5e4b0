/// @file
/// Tests of look-ups in a route table.

#include "core/gateway/route_func.h"

#include <criterion/criterion.h>

using namespace camphornotch;

namespace {

Route routeOf(std::string Name, std::string Host, std::string Prefix) {
  Route Made;
  Made.Name = std::move(Name);
  Made.Host = std::move(Host);
  Made.Prefix = std::move(Prefix);
  return Made;
}

/// @return a table with nested prefixes.
RouteTable nestedTable() {
  RouteTable Table;
  Table.Routes = {routeOf("short", "h", "/a/"), routeOf("long", "h", "/a/b/"),
                  routeOf("other", "i", "/a/b/c/")};
  return Table;
}

} // namespace

Test(findRoute, severalPrefixes_theLongestOfTheHostWins) {
  const RouteTable Table = nestedTable();
  cr_assert(findRoute(Table, "h", "/a/b/c/d")->Name == "long");
  cr_assert(findRoute(Table, "h", "/a/x")->Name == "short");
  cr_assert(findRoute(Table, "i", "/a/b/c/d")->Name == "other");
}

Test(findRoute, noPrefixOrHost_findsNothing) {
  const RouteTable Table = nestedTable();
  cr_assert(findRoute(Table, "h", "/a") == nullptr);
  cr_assert(findRoute(Table, "h", "/b/") == nullptr);
  cr_assert(findRoute(Table, "j", "/a/") == nullptr);
}

Test(findRoute, hostWithPort_isTheSameHost) {
  const RouteTable Table = nestedTable();
  cr_assert(findRoute(Table, "h:8080", "/a/x")->Name == "short");
}

Test(drawService, shares_areDrawnByWeight) {
  Route Wanted;
  Wanted.Services = {{"big", 90}, {"small", 10}, {"never", 0}};
  int Small = 0;
  for (uint64_t Draw = 0; Draw < 1000; ++Draw) {
    const std::string_view Drawn = drawService(Wanted, Draw);
    cr_assert(Drawn != "never");
    Small += Drawn == "small" ? 1 : 0;
  }
  cr_assert_eq(Small, 100);
}

Test(drawService, noService_isEmpty) {
  cr_assert(drawService(Route{}, 7).empty());
}
