/// @file
/// Maps the API keys of a configuration to client accounts.

#include "core/accounts/account_table_base.h"

#include <openssl/sha.h>

namespace camphornotch {

KeyDigest digestOfKey(std::string_view Key) {
  KeyDigest Digest = {};
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.data());
  return Digest;
}

AccountTable::AccountTable(std::span<const AccountEntry> Entries) {
  this->Accounts.reserve(Entries.size());
  for (const AccountEntry &Entry : Entries) {
    const auto [Named, IsNew] = this->ByName.try_emplace(
        Entry.Info.Name, static_cast<uint32_t>(this->Accounts.size()));
    if (IsNew)
      this->Accounts.push_back(Entry.Info);
    const uint32_t Index = Named->second;
    for (const std::string &Key : Entry.Keys) {
      const auto Held = this->ByKey.try_emplace(digestOfKey(Key), Index).first;
      if (Held->second != Index)
        this->Conflicts.push_back(
            KeyConflict{this->Accounts[Held->second].Name, Entry.Info.Name});
    }
  }
}

const Account *AccountTable::findByKey(std::string_view Key) const {
  const auto Found = this->ByKey.find(digestOfKey(Key));
  return Found == this->ByKey.end() ? nullptr : &this->Accounts[Found->second];
}

const Account *AccountTable::findByName(std::string_view Name) const {
  const auto Found = this->ByName.find(std::string(Name));
  return Found == this->ByName.end() ? nullptr : &this->Accounts[Found->second];
}

} // namespace camphornotch
