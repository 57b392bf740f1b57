#pragma once

#include "eelgrassloft/error.h"
#include "eelgrassloft/name_table.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>

namespace eelgrassloft::io {

using Json = nlohmann::json;

/// Prints a JSON value as one line. Bytes that are no valid UTF-8, as an error message may quote them
/// from a request, become replacement characters.
std::string jsonText(const Json& json);

/// Shortens what an error message or a log line quotes from a request, which may be megabytes long.
std::string boundedText(std::string_view text);

/// Error in a JSON text, with the path of the value. The readers throw it and catch it themselves:
/// their callers see an `Error`.
struct JsonError {
    ErrorKind kind = ErrorKind::Syntax;
    std::string path; ///< For example `jobs[3].size`.
    std::string message;
    std::string remedy;
};

/// Position of a byte as text: line and column, both counted from 1.
std::string linePosition(std::string_view text, size_t offset);

/// Offset of the value at `path` in a JSON text with comments. If there is none, offset of the
/// innermost value around it.
size_t locateValue(std::string_view text, std::string_view path);

/// Parses a JSON text with comments. Duplicate keys in an object are an error.
Json parseJson(std::string_view text);

/// Converts a JSON error to an `Error` whose message names line and column.
Error toError(std::string_view text, const JsonError& jsonError);

/// Typed access to the members of one JSON object. Remembers which members were read, so that
/// `rejectUnknownFields` can refuse unknown ones.
class JsonFields {
public:
    JsonFields(const Json& object, std::string path);

    template <typename T>
    T required(const std::string& name)
    {
        const Json* value = find(name);
        if (!value)
            throw JsonError { ErrorKind::MissingField, m_path, "\"" + name + "\" is missing", "add it" };
        return convert<T>(*value, pathOf(name));
    }

    template <typename T>
    T optional(const std::string& name, T fallback)
    {
        const Json* value = find(name);
        return value ? convert<T>(*value, pathOf(name)) : fallback;
    }

    /// Returns a member, or null if it is missing. The member counts as read.
    const Json* find(const std::string& name);
    std::string pathOf(const std::string& name) const { return m_path.empty() ? name : m_path + "." + name; }

    /// Calls `visit` with the `JsonFields` of each element of an array of objects, if it is present.
    template <typename Visitor>
    void forEach(const std::string& name, Visitor&& visit)
    {
        const Json* list = find(name);
        if (!list)
            return;
        if (!list->is_array())
            throw JsonError { ErrorKind::WrongType, pathOf(name), "\"" + name + "\" is not a list", "write a list of objects" };
        for (size_t i = 0; i < list->size(); ++i) {
            JsonFields element((*list)[i], pathOf(name) + "[" + std::to_string(i) + "]");
            visit(element);
            element.rejectUnknownFields();
        }
    }

    /// Throws if the object has a member that was not read.
    void rejectUnknownFields() const;

    const std::string& path() const { return m_path; }

private:
    template <typename T>
    static T convert(const Json& value, const std::string& path)
    {
        if constexpr (std::is_enum_v<T>) {
            const auto text = convert<std::string>(value, path);
            const std::optional<T> result = parseName<T>(text);
            if (!result)
                throw JsonError { ErrorKind::UnknownName, path, "\"" + text + "\" is not a known name", "use one of: " + joinNames<T>() };
            return *result;
        } else if constexpr (std::is_same_v<T, bool>) {
            if (!value.is_boolean())
                throw wrongType(path, "true or false");
            return value.get<bool>();
        } else if constexpr (std::is_integral_v<T>) {
            if (!value.is_number_integer())
                throw wrongType(path, "a whole number");
            const bool isInRange = value.is_number_unsigned() ? value.get<uint64_t>() <= static_cast<uint64_t>(std::numeric_limits<T>::max())
                                                              : std::is_signed_v<T> && value.get<int64_t>() >= static_cast<int64_t>(std::numeric_limits<T>::min());
            if (!isInRange)
                throw JsonError { ErrorKind::OutOfRange, path, value.dump() + " is out of range", "use a number up to " + std::to_string(std::numeric_limits<T>::max()) };
            return value.get<T>();
        } else if constexpr (std::is_floating_point_v<T>) {
            if (!value.is_number())
                throw wrongType(path, "a number");
            return value.get<T>();
        } else {
            if (!value.is_string())
                throw wrongType(path, "a string");
            return value.get<std::string>();
        }
    }

    template <typename T>
    static std::string joinNames()
    {
        std::string result;
        forEachValue<T>([&](T value) { result += (result.empty() ? "" : ", ") + std::string(name(value)); });
        return result;
    }

    static JsonError wrongType(const std::string& path, const std::string& wanted);

    const Json& m_object;
    std::string m_path;
    std::set<std::string> m_readNames;
};

/// Parses a JSON text with comments and converts it with `read`, which takes the `JsonFields` of the
/// outermost object. On failure, returns nothing and sets `error`.
template <typename Value, typename Read>
std::optional<Value> readJson(std::string_view text, Error& error, Read&& read)
{
    try {
        const Json json = parseJson(text);
        JsonFields fields(json, {});
        std::optional<Value> value(read(fields));
        fields.rejectUnknownFields();
        return value;
    } catch (const JsonError& jsonError) {
        error = toError(text, jsonError);
        return std::nullopt;
    }
}

} // namespace eelgrassloft::io
