/// @file
/// Looks up routes and services in a route table.

#include "core/gateway/route_func.h"

#include <algorithm>

namespace camphornotch {

const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Path) {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const Route *Best = nullptr;
  for (const Route &Each : Table.Routes) {
    if (Each.Host != Name || !Path.starts_with(Each.Prefix))
      continue;
    if (Best == nullptr || Each.Prefix.size() > Best->Prefix.size())
      Best = &Each;
  }
  return Best;
}

const ServiceInfo *findService(const RouteTable &Table, std::string_view Name) {
  const auto Found =
      std::ranges::find(Table.Services, Name, &ServiceInfo::Name);
  return Found == Table.Services.end() ? nullptr : &*Found;
}

std::string_view drawService(const Route &Wanted, uint64_t Draw) {
  int64_t Sum = 0;
  for (const ServiceShare &Share : Wanted.Services)
    Sum += std::max<int64_t>(Share.Weight, 0);
  if (Sum <= 0)
    return Wanted.Services.empty() ? std::string_view()
                                   : Wanted.Services.front().Service;
  auto Left = static_cast<int64_t>(Draw % static_cast<uint64_t>(Sum));
  for (const ServiceShare &Share : Wanted.Services) {
    Left -= std::max<int64_t>(Share.Weight, 0);
    if (Left < 0)
      return Share.Service;
  }
  return Wanted.Services.back().Service;
}

bool mayRepeat(const Route &Wanted) {
  return Wanted.Kind == RouteKind::Idempotent ||
         (Wanted.Kind == RouteKind::Stream && Wanted.Resumable);
}

bool hasService(const Route &Wanted, std::string_view Service) {
  return std::ranges::find(Wanted.Services, Service, &ServiceShare::Service) !=
         Wanted.Services.end();
}

} // namespace camphornotch
