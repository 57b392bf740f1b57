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

/// The text with null in place of each value that is nested more deeply than `depth`. The parser itself
/// would keep 8 bytes for each level, of which there may be millions.
std::string withoutDeepValues(std::string_view text, uint32_t depth)
{
    std::string result;
    size_t keptFrom = 0; // Behind what has been skipped last.
    size_t present = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            i = endOfString(text, i + 1);
        } else if (c == '[' || c == '{') {
            if (present++ == depth) {
                result += text.substr(keptFrom, i - keptFrom);
                result += "null";
                keptFrom = text.size();
            }
        } else if ((c == ']' || c == '}') && present > 0 && --present == depth) {
            keptFrom = i + 1;
        }
    }
    result += text.substr(std::min(keptFrom, text.size()));
    return result;
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
    const JsonSize size = checkJsonLimits(text, limits);
    return size.depth <= limits.depth ? nlohmann::json::parse(text) : nlohmann::json::parse(withoutDeepValues(text, limits.depth));
}

} // namespace eelgrassloft::io
