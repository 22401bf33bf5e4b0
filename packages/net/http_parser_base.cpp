/// @file
/// Incremental parser of HTTP/1.1 responses, on http_parser.

#include "net/http_parser_internal.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <climits>
#include <utility>

namespace camphornotch {

namespace {

/// The largest interim status.
constexpr int LastInterim = 199;
/// The answer to an upgrade, which the client never requests.
constexpr int SwitchingProtocols = 101;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
/// Limit on the interim responses before one response; http_parser has the same
/// limit for a head, a chunk's line and the trailers.
constexpr size_t MaxInterimBytes = HTTP_MAX_HEADER_SIZE;
/// What http_parser does after the end of a head, by its callback's result.
constexpr int ReadBody = 0;
constexpr int SkipBody = 1;
constexpr int RejectMessage = -1;

/// @return whether status and headers say where the body ends.
bool isFramed(const HttpResponse &Response) {
  if (Response.Status == NoContent || Response.Status == NotModified)
    return true;
  return !findHeader(Response.Headers, "content-length").empty() ||
         !findHeader(Response.Headers, "transfer-encoding").empty();
}

/// @return whether the body has a transfer coding that the client cannot
///   decode: it offers none, and "chunked" needs no offer.
bool hasUnknownCoding(const HttpHeaders &Headers) {
  return std::ranges::any_of(Headers, [](const HttpHeader &Header) {
    return absl::EqualsIgnoreCase(Header.Name, "transfer-encoding") &&
           !absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(Header.Value),
                                   "chunked");
  });
}

} // namespace

HttpResponseReader::HttpResponseReader(bool NoBody) : NoBody(NoBody) {
  this->reset();
}

void HttpResponseReader::reset() {
  http_parser_init(&this->Parser, HTTP_RESPONSE);
  this->HeadCheck = ResponseHeadCheck{};
  this->Parser.data = this;
  this->Response = HttpResponse{};
  this->Response.ContentType.clear();
  this->InValue = false;
  this->HeadRead = false;
  this->Done = false;
  this->ContentLength = 0;
}

HttpResponseReader &HttpResponseReader::self(http_parser *Parser) {
  return *static_cast<HttpResponseReader *>(Parser->data);
}

const http_parser_settings &HttpResponseReader::callbacks() {
  static const http_parser_settings Table = [] {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_header_field = [](http_parser *Parser, const char *At,
                                  size_t Length) {
      HttpResponseReader &Self = HttpResponseReader::self(Parser);
      // The headers were already reported: ignore trailers.
      if (Self.HeadRead)
        return 0;
      if (Self.Response.Headers.empty() || Self.InValue)
        Self.Response.Headers.emplace_back();
      Self.InValue = false;
      Self.Response.Headers.back().Name.append(At, Length);
      return 0;
    };
    Settings.on_header_value = [](http_parser *Parser, const char *At,
                                  size_t Length) {
      HttpResponseReader &Self = HttpResponseReader::self(Parser);
      if (Self.HeadRead)
        return 0;
      Self.InValue = true;
      Self.Response.Headers.back().Value.append(At, Length);
      return 0;
    };
    Settings.on_headers_complete = [](http_parser *Parser) {
      HttpResponseReader &Self = HttpResponseReader::self(Parser);
      const auto Status = static_cast<int>(Parser->status_code);
      if (Status == SwitchingProtocols)
        return RejectMessage;
      Self.Response.Status = Status;
      if (Status <= LastInterim)
        return SkipBody;
      if (hasUnknownCoding(Self.Response.Headers))
        return RejectMessage;
      Self.HeadRead = true;
      Self.Response.ContentType =
          findHeader(Self.Response.Headers, "content-type");
      Self.Response.Framed = isFramed(Self.Response);
      const bool Chunked = (Parser->flags & F_CHUNKED) != 0;
      const bool HasLength = Parser->content_length != ULLONG_MAX;
      if (HasLength && !Chunked && !Self.NoBody)
        Self.ContentLength = Parser->content_length;
      return Self.NoBody ? SkipBody : ReadBody;
    };
    Settings.on_body = [](http_parser *Parser, const char *At, size_t Length) {
      HttpResponseReader::self(Parser).Response.Body.append(At, Length);
      return 0;
    };
    Settings.on_chunk_header = [](http_parser *Parser) {
      HttpResponseReader::self(Parser).AtChunkLineEnd = true;
      http_parser_pause(Parser, 1);
      return 0;
    };
    Settings.on_chunk_complete = [](http_parser *Parser) {
      // After the trailers, on_message_complete follows.
      if ((Parser->flags & F_TRAILING) != 0)
        return 0;
      HttpResponseReader::self(Parser).AtChunkLineEnd = true;
      http_parser_pause(Parser, 1);
      return 0;
    };
    Settings.on_message_complete = [](http_parser *Parser) {
      HttpResponseReader &Self = HttpResponseReader::self(Parser);
      Self.Done = true;
      Self.AtChunkLineEnd = (Parser->flags & F_TRAILING) != 0;
      // Bytes after the response belong to no request.
      http_parser_pause(Parser, 1);
      return 0;
    };
    return Settings;
  }();
  return Table;
}

size_t HttpResponseReader::parsePart(std::string_view Bytes) {
  const size_t Read =
      http_parser_execute(&this->Parser, &HttpResponseReader::callbacks(),
                          Bytes.data(), Bytes.size());
  if (Read == 0)
    return 0;
  const char Before = Read > 1 ? Bytes[Read - 2] : this->LastByte;
  this->LastByte = Bytes[Read - 1];
  if (!std::exchange(this->AtChunkLineEnd, false))
    return Read;
  // Outside its strict mode http_parser takes any two bytes for CR LF there.
  this->BadChunkLine = Before != '\r' || this->LastByte != '\n';
  if (!this->Done)
    http_parser_pause(&this->Parser, 0);
  return Read;
}

ReadState HttpResponseReader::currentState() {
  if (this->BadChunkLine)
    return ReadState::Invalid;
  if (this->Done)
    return ReadState::Complete;
  return HTTP_PARSER_ERRNO(&this->Parser) == HPE_OK ? ReadState::Incomplete
                                                    : ReadState::Invalid;
}

ReadState HttpResponseReader::parse(std::string_view Bytes) {
  for (;;) {
    if (!this->HeadCheck.add(Bytes))
      return ReadState::Invalid;
    const size_t Read = this->parsePart(Bytes);
    const ReadState State = this->currentState();
    Bytes.remove_prefix(Read);
    this->Unread = Bytes.size();
    const bool Interim = State == ReadState::Complete && !this->HeadRead;
    if (Interim) {
      this->InterimBytes += Read;
      if (this->InterimBytes > MaxInterimBytes)
        return ReadState::Invalid;
      this->reset();
    } else if (State != ReadState::Incomplete) {
      return State;
    }
    if (Bytes.empty())
      return ReadState::Incomplete;
  }
}

ReadState HttpResponseReader::parseEnd() {
  http_parser_execute(&this->Parser, &HttpResponseReader::callbacks(), nullptr,
                      0);
  const ReadState State = this->currentState();
  return State == ReadState::Incomplete ? ReadState::Invalid : State;
}

bool HttpResponseReader::keepsAlive() const {
  return http_should_keep_alive(&this->Parser) != 0;
}

} // namespace camphornotch
