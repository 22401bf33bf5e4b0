/// @file
/// Chooses the pages of one pass over the newest records of a keyed topic.

#include "core/store/keyed_pass_base.h"

namespace camphornotch {

namespace {

/// Failures at one cursor after which the cursor may be their cause.
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
    return NextPage{*Cursor, !HasNewKeys};
  return PassEnd{true};
}

const std::string *KeyedPass::onFailure() {
  if (++this->Failures >= MaxFailures)
    this->stepBack();
  return this->cursor();
}

} // namespace camphornotch
