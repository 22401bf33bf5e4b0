/// @file
/// Chooses the pages of one pass over the newest records of a keyed topic.

#include "core/store/keyed_pass_base.h"

#include <algorithm>

namespace camphornotch {

namespace {

/// Failures of one page after which the page may be their cause.
constexpr int MaxFailures = 2;

} // namespace

bool KeyedPass::addKeys(const KeyedPage &Page) {
  const size_t Before = this->Keys.size();
  for (const KeyedRecord &Record : Page.Records)
    this->Keys.insert(Record.Key);
  this->Keys.insert(Page.Cursors.begin(), Page.Cursors.end());
  return this->Keys.size() > Before;
}

const std::string *KeyedPass::cursor() const {
  if (this->Distance == 0 || this->Distance > this->Cursors.size())
    return nullptr;
  return &this->Cursors[this->Cursors.size() - this->Distance];
}

void KeyedPass::stepBack() {
  this->Distance *= 2;
  this->Failures = 0;
}

PassStep KeyedPass::onPage(const KeyedPage &Page) {
  if (this->FirstEnd < 0)
    this->FirstEnd = std::max<int64_t>(Page.EndOffset, 0);
  const bool HasNewKeys = this->addKeys(Page);
  if (!Page.HasMore)
    return PassEnd{};
  if (HasNewKeys) {
    this->Cursors = Page.Cursors;
    this->Distance = 1;
    this->Failures = 0;
  } else {
    this->stepBack();
  }
  if (const std::string *Cursor = this->cursor())
    return NextPage{*Cursor, !HasNewKeys, !HasNewKeys};
  return PassEnd{true};
}

PassStep KeyedPass::onFailure() {
  const bool StepsBack = ++this->Failures >= MaxFailures;
  if (this->FirstEnd < 0) {
    if (StepsBack)
      return PassEnd{true};
    return NextPage{std::nullopt, false, true};
  }
  if (StepsBack)
    this->stepBack();
  if (const std::string *Cursor = this->cursor())
    return NextPage{*Cursor, StepsBack, true};
  return PassEnd{true};
}

} // namespace camphornotch
