/// @file
/// Reads JSON members without throwing: a member of the wrong type counts as
/// absent, as does any member of a value that is not an object.

#ifndef CAMPHORNOTCH_STANDINS_COMMON_JSON_FUNC_H
#define CAMPHORNOTCH_STANDINS_COMMON_JSON_FUNC_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace camphornotch::standin {

/// @return the parsed value; a discarded one if the text is not JSON.
nlohmann::json parseJson(std::string_view Text);

/// @return the value as JSON text; bytes that are not UTF-8 are replaced.
std::string jsonText(const nlohmann::json &Value);

/// @return the string member, or Default if it is absent.
std::string textOf(const nlohmann::json &Object, const char *Name,
                   std::string_view Default = "");

/// @return the number member as an integer, or Default if it is absent.
int64_t intOf(const nlohmann::json &Object, const char *Name,
              int64_t Default = 0);

/// @return the number member, or Default if it is absent.
double numberOf(const nlohmann::json &Object, const char *Name,
                double Default = 0);

/// @return the boolean member, or Default if it is absent.
bool boolOf(const nlohmann::json &Object, const char *Name,
            bool Default = false);

/// @return the array member, or an empty array if it is absent.
const nlohmann::json &arrayOf(const nlohmann::json &Object, const char *Name);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_COMMON_JSON_FUNC_H
