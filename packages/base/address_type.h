/// @file
/// An IPv4 socket address.

#ifndef CAMPHORNOTCH_BASE_ADDRESS_TYPE_H
#define CAMPHORNOTCH_BASE_ADDRESS_TYPE_H

#include <compare>
#include <cstdint>
#include <string>

namespace camphornotch {

/// An IPv4 address and a port.
struct Address {
  /// The IPv4 address in dotted notation; empty: none.
  std::string Ip;
  /// 0: none.
  uint16_t Port = 0;

  /// Orders by the text of Ip, then by port.
  auto operator<=>(const Address &) const = default;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_ADDRESS_TYPE_H
