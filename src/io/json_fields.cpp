#include "io/json_fields.h"

#include "io/json_limits.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace eelgrassloft::io {

namespace {

constexpr size_t maxQuotedBytes = 300; ///< Enough for a position, a path and the reason.

/// Scans a JSON text that is known to be valid, without building values.
class JsonScanner {
public:
    explicit JsonScanner(std::string_view text)
        : m_text(text)
    {
    }

    size_t offset()
    {
        skipWhitespaceAndComments();
        return m_offset;
    }

    /// Moves to the member or element named by `component`. Returns false if there is none.
    bool enter(std::string_view component)
    {
        skipWhitespaceAndComments();
        if (m_offset == m_text.size() || (m_text[m_offset] != '[' && m_text[m_offset] != '{'))
            return false;
        const bool isIndex = m_text[m_offset++] == '[';
        size_t remaining = 0;
        if (isIndex && !parseIndex(component, remaining))
            return false;
        while (offset() < m_text.size()) {
            if (m_text[m_offset] == ']' || m_text[m_offset] == '}')
                return false;
            if (m_text[m_offset] == ',') {
                ++m_offset;
                continue;
            }
            if (isIndex) {
                if (!remaining--)
                    return true;
            } else {
                const std::string_view key = readString();
                skipWhitespaceAndComments();
                ++m_offset; // The colon.
                if (key == component)
                    return true;
            }
            skipValue();
        }
        return false;
    }

private:
    /// Reads the number of a component like `[3`. Names come from the text and may look like anything.
    static bool parseIndex(std::string_view component, size_t& index)
    {
        const auto [end, error] = std::from_chars(component.data() + 1, component.data() + component.size(), index);
        return component.front() == '[' && error == std::errc() && end == component.data() + component.size();
    }

    void skipWhitespaceAndComments()
    {
        while (m_offset < m_text.size()) {
            const std::string_view rest = m_text.substr(m_offset);
            if (rest.starts_with("//"))
                m_offset = std::min(m_text.size(), m_text.find('\n', m_offset));
            else if (rest.starts_with("/*"))
                m_offset = std::min(m_text.size(), m_text.find("*/", m_offset + 2) + 2);
            else if (std::string_view(" \t\r\n").find(rest.front()) != std::string_view::npos)
                ++m_offset;
            else
                return;
        }
    }

    std::string_view readString()
    {
        const size_t start = ++m_offset;
        while (m_offset < m_text.size() && m_text[m_offset] != '"')
            m_offset += m_text[m_offset] == '\\' ? 2 : 1;
        return m_text.substr(start, m_offset++ - start);
    }

    void skipValue()
    {
        int depth = 0;
        do {
            skipWhitespaceAndComments();
            const char c = m_offset < m_text.size() ? m_text[m_offset] : '}';
            if (c == '"') {
                readString();
            } else {
                depth += (c == '{' || c == '[') - (c == '}' || c == ']');
                ++m_offset;
            }
            if (!depth && c != '"' && c != '}' && c != ']')
                skipScalar();
        } while (depth > 0);
    }

    void skipScalar()
    {
        while (m_offset < m_text.size() && std::string_view(",]} \t\r\n/").find(m_text[m_offset]) == std::string_view::npos)
            ++m_offset;
    }

    std::string_view m_text;
    size_t m_offset = 0;
};

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> components;
    for (const char c : path) {
        if (c == '.' || c == '[')
            components.emplace_back();
        if (components.empty())
            components.emplace_back();
        if (c != '.' && c != ']')
            components.back() += c;
    }
    std::erase(components, std::string {});
    return components;
}

} // namespace

std::string jsonText(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

std::string boundedText(std::string_view text)
{
    if (text.size() <= maxQuotedBytes)
        return std::string(text);
    return std::string(text.substr(0, maxQuotedBytes)) + "... (" + std::to_string(text.size()) + " bytes)";
}

std::string linePosition(std::string_view text, size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const size_t lineStart = before.rfind('\n');
    const size_t column = lineStart == std::string_view::npos ? before.size() + 1 : before.size() - lineStart;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

size_t locateValue(std::string_view text, std::string_view path)
{
    JsonScanner scanner(text);
    size_t offset = scanner.offset();
    for (const std::string& component : splitPath(path)) {
        if (!scanner.enter(component))
            break;
        offset = scanner.offset();
    }
    return offset;
}

Json parseJson(std::string_view text)
{
    std::vector<std::set<std::string>> keys;
    std::string duplicateKey;
    const auto checkKey = [&](int, Json::parse_event_t event, Json& value) {
        if (event == Json::parse_event_t::object_start)
            keys.emplace_back();
        else if (event == Json::parse_event_t::object_end)
            keys.pop_back();
        else if (event == Json::parse_event_t::key && !keys.back().insert(value.get<std::string>()).second)
            duplicateKey = value.get<std::string>();
        return true;
    };
    try {
        checkJsonLimits(text, documentJsonLimits);
        Json json = Json::parse(text, checkKey, true, true);
        if (!duplicateKey.empty())
            throw JsonError { ErrorKind::Duplicate, {}, "the key \"" + duplicateKey + "\" stands twice in one object", "keep one of them" };
        return json;
    } catch (const JsonLimitExceeded& error) {
        throw JsonError { ErrorKind::OutOfRange, {}, error.what(), "send fewer values, or nest them less" };
    } catch (const Json::parse_error& error) {
        const std::string what = error.what();
        const size_t colon = what.rfind(": ");
        throw JsonError { ErrorKind::Syntax, {}, linePosition(text, error.byte ? error.byte - 1 : 0) + ": " + (colon == std::string::npos ? what : what.substr(colon + 2)), "correct the JSON there" };
    } catch (const Json::out_of_range& error) {
        throw JsonError { ErrorKind::OutOfRange, {}, error.what(), "use numbers that fit into 64 bits" };
    }
}

Error toError(std::string_view text, const JsonError& jsonError)
{
    if (jsonError.path.empty())
        return { jsonError.kind, jsonError.message, jsonError.remedy };
    const std::string position = linePosition(text, locateValue(text, jsonError.path));
    return { jsonError.kind, position + " (" + jsonError.path + "): " + jsonError.message, jsonError.remedy };
}

JsonFields::JsonFields(const Json& object, std::string path)
    : m_object(object)
    , m_path(std::move(path))
{
    if (!object.is_object())
        throw wrongType(m_path, "an object");
}

const Json* JsonFields::find(const std::string& name)
{
    m_readNames.insert(name);
    const auto found = m_object.find(name);
    return found == m_object.end() ? nullptr : &*found;
}

void JsonFields::rejectUnknownFields() const
{
    for (const auto& [key, value] : m_object.items()) {
        if (!m_readNames.contains(key))
            throw JsonError { ErrorKind::UnknownField, pathOf(key), "\"" + key + "\" is not a known field", "remove it or correct its name" };
    }
}

JsonError JsonFields::wrongType(const std::string& path, const std::string& wanted)
{
    return { ErrorKind::WrongType, path, "the value is not " + wanted, "write " + wanted };
}

} // namespace eelgrassloft::io
