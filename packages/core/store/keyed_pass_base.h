/// @file
/// Chooses the pages of one pass over the newest records of a keyed topic.

#ifndef CAMPHORNOTCH_CORE_STORE_KEYED_PASS_BASE_H
#define CAMPHORNOTCH_CORE_STORE_KEYED_PASS_BASE_H

#include "core/store/store_type.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace camphornotch {

/// A page is read next.
struct NextPage {
  /// The key after which it begins; absent: the first page.
  std::optional<std::string> AfterKey;
  /// Whether the cursor before it led no further.
  bool SteppedBack = false;
  /// Whether it waits, since the page before it brought nothing new.
  bool Later = false;
};

/// The pass has ended.
struct PassEnd {
  /// Whether records may be missing, since no key led to the rest of them.
  bool Incomplete = false;
};

using PassStep = std::variant<NextPage, PassEnd>;

/// Reads pages until the last one. Keys of other writers may be ones that the
/// store does not find again; the next page then begins after an earlier key of
/// the last page that had new ones.
class KeyedPass {
public:
  /// @return what follows the page.
  PassStep onPage(const KeyedPage &Page);

  /// A page was not answered, or the store refused the call.
  /// @return what follows it.
  PassStep onFailure();

  /// @return the keys on the pages so far.
  const std::set<std::string> &keys() const { return this->Keys; }

  /// @return the end offset on the first page, after which records may be
  ///   missing on the pages; -1: no page was read.
  int64_t firstEnd() const { return this->FirstEnd; }

private:
  /// @return whether the page has a key that no page before it had.
  bool addKeys(const KeyedPage &Page);
  /// @return the current cursor; null if there is none.
  const std::string *cursor() const;
  /// Chooses an earlier cursor.
  void stepBack();

  std::set<std::string> Keys;
  int64_t FirstEnd = -1;
  /// Cursors of the last page that had new keys.
  std::vector<std::string> Cursors;
  /// Distance of the current cursor from the end of Cursors.
  size_t Distance = 0;
  /// Consecutive failures at the current cursor, or of the first page.
  int Failures = 0;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_CORE_STORE_KEYED_PASS_BASE_H
