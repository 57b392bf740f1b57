#include "io/json_limits.h"

#include <algorithm>
#include <string>

namespace eelgrassloft::io {

namespace {

/// Offset of the quotation mark that ends the string which begins before `offset`.
size_t endOfString(std::string_view text, size_t offset)
{
    while (offset < text.size() && text[offset] != '"')
        offset += text[offset] == '\\' ? 2 : 1;
    return offset;
}

/// Offset of the last character of a comment. The settings and manifests may have some; a parser that
/// takes none ends at the slash, so that it does not matter there what is skipped.
size_t endOfComment(std::string_view text, size_t offset)
{
    const std::string_view rest = text.substr(offset);
    if (rest.starts_with("//"))
        return text.find('\n', offset);
    if (rest.starts_with("/*")) {
        const size_t end = text.find("*/", offset + 2);
        return end == std::string_view::npos ? end : end + 1;
    }
    return offset;
}

} // namespace

JsonSize measureJson(std::string_view text, uint32_t depth)
{
    JsonSize size { 1, 0 };
    uint32_t present = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        switch (text[i]) {
        case '"':
            i = endOfString(text, i + 1);
            break;
        case '/':
            i = endOfComment(text, i);
            break;
        case '[':
        case '{':
            // Each value is the outermost one, the first in a container or stands behind a comma.
            size.depth = std::max(size.depth, ++present);
            size.values += present <= depth;
            break;
        case ',':
            size.values += present <= depth;
            break;
        case ']':
        case '}':
            present -= present > 0;
            break;
        default:
            break;
        }
        if (i == std::string_view::npos) // An unfinished comment; the increment would begin anew.
            break;
    }
    return size;
}

JsonSize checkJsonLimits(std::string_view text, const JsonLimits& limits)
{
    const JsonSize size = measureJson(text, limits.depth);
    if (size.values > limits.values)
        throw JsonLimitExceeded("the JSON text has more than " + std::to_string(limits.values) + " values");
    if (size.depth > limits.depth && limits.deepValues == DeepValues::Refuse)
        throw JsonLimitExceeded("the JSON text is nested more than " + std::to_string(limits.depth) + " levels deep");
    return size;
}

nlohmann::json parseWithin(std::string_view text, const JsonLimits& limits)
{
    using Json = nlohmann::json;
    const JsonSize size = checkJsonLimits(text, limits);
    if (size.depth <= limits.depth)
        return Json::parse(text);
    const auto isKept = [&](int depth, Json::parse_event_t event, Json&) {
        const bool isStart = event == Json::parse_event_t::object_start || event == Json::parse_event_t::array_start;
        return !isStart || depth < static_cast<int>(limits.depth);
    };
    return Json::parse(text, isKept);
}

} // namespace eelgrassloft::io
