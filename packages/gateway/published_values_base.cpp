/// @file
/// The newest value that operators and trainers published under each key.

#include "gateway/published_values_base.h"

#include <algorithm>

namespace camphornotch {

bool PublishedValues::isNewer(const KeyedRecord &Record) const {
  const auto Known = this->Values.find(Record.Key);
  return Known == this->Values.end() || Known->second.Offset < Record.Offset;
}

bool PublishedValues::update(const KeyedRecord &Record) {
  if (!this->isNewer(Record))
    return false;
  this->HighestOffset = std::max(this->HighestOffset, Record.Offset);
  this->Values.insert_or_assign(Record.Key, Record);
  return true;
}

wire::PublishedPush PublishedValues::newerThan(int64_t Offset) const {
  wire::PublishedPush Push;
  for (const auto &[Key, Record] : this->Values) {
    if (Record.Offset <= Offset)
      continue;
    wire::PublishedValue Value;
    Value.Key = Key;
    Value.Offset = Record.Offset;
    Value.Value = Record.Value;
    Push.Values.push_back(std::move(Value));
  }
  return Push;
}

} // namespace camphornotch
