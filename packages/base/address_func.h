/// @file
/// Text form of socket addresses.

#ifndef CAMPHORNOTCH_BASE_ADDRESS_FUNC_H
#define CAMPHORNOTCH_BASE_ADDRESS_FUNC_H

#include "base/address_type.h"
#include "base/error_type.h"

#include <string_view>

namespace camphornotch {

/// @param Text "IP:PORT", for example "10.1.0.4:7100".
/// @return the address, or an error if the text is not valid.
Result<Address> parseAddress(std::string_view Text);

/// @return "IP:PORT"; empty if the port is 0.
std::string formatAddress(const Address &Value);

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_ADDRESS_FUNC_H
