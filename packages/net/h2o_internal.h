/// @file
/// h2o's headers, and conversions from and to its string type.

#ifndef CAMPHORNOTCH_NET_H2O_INTERNAL_H
#define CAMPHORNOTCH_NET_H2O_INTERNAL_H

#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/http2.h>
#include <string_view>

namespace camphornotch {

inline std::string_view toView(const h2o_iovec_t &Vector) {
  return std::string_view(Vector.base, Vector.len);
}

/// @return h2o's type for the same bytes, which h2o does not modify.
inline h2o_iovec_t toVector(std::string_view View) {
  return h2o_iovec_t{const_cast<char *>(View.data()), View.size()};
}

} // namespace camphornotch

#endif // CAMPHORNOTCH_NET_H2O_INTERNAL_H
