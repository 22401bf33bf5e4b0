/// @file
/// A socket address by IP number.

#ifndef CAMPHORNOTCH_BASE_ADDRESS_TYPE_H
#define CAMPHORNOTCH_BASE_ADDRESS_TYPE_H

#include <compare>
#include <cstdint>
#include <string>

namespace camphornotch {

/// An IP number and a port.
struct Address {
  /// The IPv4 number in dotted notation; empty: none.
  std::string Ip;
  /// The port; 0: none.
  uint16_t Port = 0;

  /// Orders by number, then by port.
  auto operator<=>(const Address &) const = default;
};

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_ADDRESS_TYPE_H
