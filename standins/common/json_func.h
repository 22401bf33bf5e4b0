/// @file
/// Reads JSON members without exceptions: a wrong type counts as absent.

#ifndef CAMPHORNOTCH_STANDINS_COMMON_JSON_FUNC_H
#define CAMPHORNOTCH_STANDINS_COMMON_JSON_FUNC_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace camphornotch::standin {

/// @param Text JSON text.
/// @return the value; a discarded one if the text is not JSON.
nlohmann::json parseJson(std::string_view Text);

/// @param Value a JSON value.
/// @return its text; bytes that are not UTF-8 are replaced.
std::string jsonText(const nlohmann::json &Value);

/// @param Object a JSON object.
/// @param Name a member.
/// @param Default what to answer without it.
/// @return the member's text.
std::string textOf(const nlohmann::json &Object, const char *Name,
                   std::string_view Default = "");

/// @param Object a JSON object.
/// @param Name a member.
/// @param Default what to answer without it.
/// @return the member's whole number.
int64_t intOf(const nlohmann::json &Object, const char *Name,
              int64_t Default = 0);

/// @param Object a JSON object.
/// @param Name a member.
/// @param Default what to answer without it.
/// @return the member's number.
double numberOf(const nlohmann::json &Object, const char *Name,
                double Default = 0);

/// @param Object a JSON object.
/// @param Name a member.
/// @param Default what to answer without it.
/// @return the member's truth value.
bool boolOf(const nlohmann::json &Object, const char *Name,
            bool Default = false);

/// @param Object a JSON object.
/// @param Name a member.
/// @return the member; an empty array without it.
const nlohmann::json &arrayOf(const nlohmann::json &Object, const char *Name);

} // namespace camphornotch::standin

#endif // CAMPHORNOTCH_STANDINS_COMMON_JSON_FUNC_H
