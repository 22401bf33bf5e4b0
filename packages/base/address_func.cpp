/// @file
/// Text form of socket addresses.

#include "base/address_func.h"

#include "base/text_func.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>

namespace camphornotch {

namespace {

/// @return an error that shows the expected form.
Error badAddress(std::string_view Text) {
  return Error{ErrorKind::BadInput, concat("\"", Text, "\" is no address"),
               "write an IPv4 number and a port, for example 10.1.0.4:7100"};
}

} // namespace

Result<Address> parseAddress(std::string_view Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return badAddress(Text);
  Address Parsed;
  Parsed.Ip = std::string(Text.substr(0, Colon));
  in_addr Number;
  if (inet_pton(AF_INET, Parsed.Ip.c_str(), &Number) != 1)
    return badAddress(Text);
  uint32_t Port = 0;
  if (!absl::SimpleAtoi(toAbsl(Text.substr(Colon + 1)), &Port))
    return badAddress(Text);
  if (Port == 0 || Port > UINT16_MAX)
    return badAddress(Text);
  Parsed.Port = static_cast<uint16_t>(Port);
  return Parsed;
}

std::string formatAddress(const Address &Value) {
  if (Value.Port == 0)
    return {};
  return concat(Value.Ip, ":", Value.Port);
}

} // namespace camphornotch
