/// @file
/// Reads JSON members without throwing.

#include "standins/common/json_func.h"

namespace camphornotch::standin {

namespace {

/// @return the member; null if it is absent or Object is not an object.
const nlohmann::json *findMember(const nlohmann::json &Object,
                                 const char *Name) {
  if (!Object.is_object()) {
    return nullptr;
  }
  const auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

} // namespace

nlohmann::json parseJson(std::string_view Text) {
  return nlohmann::json::parse(Text, nullptr, false);
}

std::string jsonText(const nlohmann::json &Value) {
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string textOf(const nlohmann::json &Object, const char *Name,
                   std::string_view Default) {
  const nlohmann::json *Member = findMember(Object, Name);
  if (Member == nullptr || !Member->is_string()) {
    return std::string(Default);
  }
  return Member->get<std::string>();
}

int64_t intOf(const nlohmann::json &Object, const char *Name, int64_t Default) {
  const nlohmann::json *Member = findMember(Object, Name);
  if (Member == nullptr || !Member->is_number()) {
    return Default;
  }
  return Member->get<int64_t>();
}

double numberOf(const nlohmann::json &Object, const char *Name,
                double Default) {
  const nlohmann::json *Member = findMember(Object, Name);
  if (Member == nullptr || !Member->is_number()) {
    return Default;
  }
  return Member->get<double>();
}

bool boolOf(const nlohmann::json &Object, const char *Name, bool Default) {
  const nlohmann::json *Member = findMember(Object, Name);
  if (Member == nullptr || !Member->is_boolean()) {
    return Default;
  }
  return Member->get<bool>();
}

const nlohmann::json &arrayOf(const nlohmann::json &Object, const char *Name) {
  static const nlohmann::json Empty = nlohmann::json::array();
  const nlohmann::json *Member = findMember(Object, Name);
  return Member == nullptr || !Member->is_array() ? Empty : *Member;
}

} // namespace camphornotch::standin
