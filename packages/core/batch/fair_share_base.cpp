/// @file
/// Work that accounts have been given, to share engines among them.

#include "core/batch/fair_share_base.h"

#include <algorithm>
#include <cassert>

namespace camphornotch {

void FairShare::setWeight(const std::string &Account, double Weight) {
  assert(Weight > 0);
  this->Weights[Account] = Weight;
}

double FairShare::weightOf(const std::string &Account) const {
  const auto Found = this->Weights.find(Account);
  return Found == this->Weights.end() ? 1.0 : Found->second;
}

void FairShare::compete(const SharePool &Pool, const std::string &Account) {
  PoolState &State = this->Pools[Pool];
  SharePosition &Position = State.Accounts[Account];
  Position.Used = std::max(Position.Used, State.Now);
}

SharePosition FairShare::position(const SharePool &Pool,
                                  const std::string &Account) const {
  return this->Pools.at(Pool).Accounts.at(Account);
}

void FairShare::started(const SharePool &Pool, const std::string &Account,
                        double Work) {
  PoolState &State = this->Pools.at(Pool);
  SharePosition &Position = State.Accounts.at(Account);
  State.Now = std::max(State.Now, Position.Used);
  Position.Used += Work / this->weightOf(Account);
  Position.LastStart = ++this->Starts;
}

void FairShare::corrected(const SharePool &Pool, const std::string &Account,
                          double Difference) {
  const auto State = this->Pools.find(Pool);
  if (State == this->Pools.end())
    return;
  const auto Position = State->second.Accounts.find(Account);
  if (Position != State->second.Accounts.end())
    Position->second.Used += Difference / this->weightOf(Account);
}

void FairShare::trim(const std::set<std::string> &Present) {
  for (auto &[Pool, State] : this->Pools)
    std::erase_if(
        State.Accounts, [Now = State.Now, &Present](const auto &Each) {
          return Each.second.Used <= Now && !Present.contains(Each.first);
        });
  std::erase_if(this->Pools,
                [](const auto &Each) { return Each.second.Accounts.empty(); });
}

size_t FairShare::size() const {
  size_t Count = 0;
  for (const auto &[Pool, State] : this->Pools)
    Count += State.Accounts.size();
  return Count;
}

} // namespace camphornotch
