/// @file
/// Serialization of the request line and headers that the client sends.

#include "net/http_head_internal.h"

#include <absl/strings/str_cat.h>
#include <string_view>

namespace camphornotch {

namespace {

/// @return whether the text would end its line of the request head.
bool containsLineEnd(std::string_view Text) {
  constexpr std::string_view LineEnds("\r\n\0", 3);
  return Text.find_first_of(LineEnds) != std::string_view::npos;
}

} // namespace

std::string requestHead(const HttpCall &Call) {
  std::string Head = absl::StrCat(Call.Method, " ", Call.Path, " HTTP/1.1\r\n");
  if (Call.Host.empty())
    absl::StrAppend(&Head, "host: ", Call.Target.Address, ":", Call.Target.Port,
                    "\r\n");
  else
    absl::StrAppend(&Head, "host: ", Call.Host, "\r\n");
  for (const HttpHeader &Header : Call.Headers)
    absl::StrAppend(&Head, Header.Name, ": ", Header.Value, "\r\n");
  const bool HasBody = !Call.body().empty() || Call.Method == "POST" ||
                       Call.Method == "PUT" || Call.Method == "PATCH";
  if (HasBody)
    absl::StrAppend(&Head, "content-length: ", Call.body().size(), "\r\n");
  absl::StrAppend(&Head, "connection: ", Call.Reuse ? "keep-alive" : "close",
                  "\r\n\r\n");
  return Head;
}

bool isSendable(const HttpCall &Call) {
  for (const HttpHeader &Header : Call.Headers)
    if (containsLineEnd(Header.Name) || containsLineEnd(Header.Value))
      return false;
  const bool HasSpace = Call.Path.find(' ') != std::string::npos;
  return !containsLineEnd(Call.Method) && !containsLineEnd(Call.Path) &&
         !containsLineEnd(Call.Host) && !HasSpace;
}

} // namespace camphornotch
