/// @file
/// Header lookup, query decoding and address parsing.

#include "net/http_client_base.h"
#include "net/http_type.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <charconv>
#include <strings.h>

namespace camphornotch {

namespace {

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

/// @return the value of a hexadecimal digit; -1 if it is none.
int hexValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return -1;
}

/// Decodes percent escapes and plus signs; invalid escapes are left as they
/// are.
std::string percentDecode(std::string_view Text) {
  std::string Plain;
  for (size_t Index = 0; Index < Text.size(); ++Index) {
    const bool Escape = Text[Index] == '%' && Index + 2 < Text.size() &&
                        hexValue(Text[Index + 1]) >= 0 &&
                        hexValue(Text[Index + 2]) >= 0;
    if (Escape) {
      Plain.push_back(static_cast<char>(hexValue(Text[Index + 1]) * 16 +
                                        hexValue(Text[Index + 2])));
      Index += 2;
      continue;
    }
    Plain.push_back(Text[Index] == '+' ? ' ' : Text[Index]);
  }
  return Plain;
}

/// @return whether the whole text is a decimal port number.
bool parsePort(std::string_view Text, uint16_t &Port) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Port);
  return !Text.empty() && Parsed.ec == std::errc() && Parsed.ptr == End;
}

} // namespace

std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (equalIgnoringCase(Header.Name, Name))
      return Header.Value;
  return {};
}

std::string queryParameter(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    const size_t End = Query.find('&');
    const std::string_view Pair = Query.substr(0, End);
    const size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return percentDecode(Pair.substr(Equals + 1));
    if (End == std::string_view::npos)
      break;
    Query.remove_prefix(End + 1);
  }
  return {};
}

std::string percentEncode(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  constexpr std::string_view UnreservedMarks = "-._~";
  std::string Encoded;
  for (const char Each : Bytes) {
    const auto Byte = static_cast<unsigned char>(Each);
    if (absl::ascii_isalnum(Byte) ||
        UnreservedMarks.find(Each) != std::string_view::npos) {
      Encoded.push_back(Each);
      continue;
    }
    Encoded.push_back('%');
    Encoded.push_back(Digits[Byte >> 4]);
    Encoded.push_back(Digits[Byte & 0xf]);
  }
  return Encoded;
}

Result<HttpTarget> parseTarget(std::string_view Text) {
  const size_t Colon = Text.rfind(':');
  HttpTarget Target;
  uint16_t Port = 0;
  in_addr Number = {};
  if (Colon != std::string_view::npos)
    Target.Address = std::string(Text.substr(0, Colon));
  const bool Valid = Colon != std::string_view::npos &&
                     parsePort(Text.substr(Colon + 1), Port) &&

                     inet_pton(AF_INET, Target.Address.c_str(), &Number) == 1;
  if (!Valid)
    return Error{
        ErrorKind::BadInput,
        absl::StrCat("\"", std::string(Text), "\" is not a valid address"),
        "write <IPv4 address>:<port>, for example 127.0.0.1:7101"};
  Target.Port = Port;
  return Target;
}

} // namespace camphornotch
