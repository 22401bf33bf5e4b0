/// @file
/// The HTTP status codes that the code sends or compares with.

#ifndef CAMPHORNOTCH_BASE_HTTP_STATUS_TYPE_H
#define CAMPHORNOTCH_BASE_HTTP_STATUS_TYPE_H

namespace camphornotch {

inline constexpr int StatusOk = 200;
inline constexpr int StatusAccepted = 202;
/// The lowest status that is not a success.
inline constexpr int StatusFirstFailure = 300;
inline constexpr int StatusBadRequest = 400;
inline constexpr int StatusUnauthorized = 401;
inline constexpr int StatusNotFound = 404;
inline constexpr int StatusConflict = 409;
inline constexpr int StatusGone = 410;
inline constexpr int StatusTooLarge = 413;
inline constexpr int StatusMisdirected = 421;
inline constexpr int StatusUnprocessable = 422;
inline constexpr int StatusTooManyRequests = 429;
inline constexpr int StatusHeaderTooLarge = 431;
/// Also the lowest status of the class of server errors.
inline constexpr int StatusServerError = 500;
inline constexpr int StatusBadGateway = 502;
inline constexpr int StatusUnavailable = 503;
inline constexpr int StatusGatewayTimeout = 504;

} // namespace camphornotch

#endif // CAMPHORNOTCH_BASE_HTTP_STATUS_TYPE_H
