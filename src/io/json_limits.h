#pragma once

#include "eelgrassloft/config.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>
#include <string_view>

namespace eelgrassloft::io {

/// What happens to values that are nested too deeply.
enum class DeepValues : uint8_t {
    Refuse,
    Ignore, ///< They are skipped, as unknown members are, and take no memory.
    Count
};

/// Bounds of a JSON text from a client.
struct JsonLimits {
    uint64_t values = 0;
    uint32_t depth = config::maxJsonDepth;
    DeepValues deepValues = DeepValues::Refuse;
};

inline constexpr JsonLimits jobJsonLimits { config::maxJobJsonValues };
/// Workers may send members that we don't know, nested as they like.
inline constexpr JsonLimits reportJsonLimits { config::maxReportJsonValues, config::maxJsonDepth, DeepValues::Ignore };
inline constexpr JsonLimits configJsonLimits { config::maxConfigJsonValues };
inline constexpr JsonLimits answerJsonLimits { config::maxAnswerJsonValues };
/// Settings with an odd entry leave the others in force, however deeply it is nested: each level counts as a value.
inline constexpr JsonLimits documentJsonLimits { config::maxDocumentJsonValues, std::numeric_limits<uint32_t>::max() };

/// Size of a JSON text once it is parsed.
struct JsonSize {
    uint64_t values = 0; ///< At most this many, not counting those nested more deeply than asked for.
    uint32_t depth = 0;

    /// Memory that the parsed values of a text take at most.
    uint64_t parsedBytes(size_t textBytes) const { return values * config::jsonValueBytes + textBytes; }
};

/// Measures a text without parsing it and without allocating. If the text is not valid, the values of
/// the part before the error are counted at least. `depth` bounds which values are counted.
JsonSize measureJson(std::string_view text, uint32_t depth = config::maxJsonDepth);

/// A text that exceeds its limits.
class JsonLimitExceeded : public std::length_error {
public:
    using std::length_error::length_error;
};

/// Throws `JsonLimitExceeded` if the text exceeds the limits. Returns its size.
JsonSize checkJsonLimits(std::string_view text, const JsonLimits& limits);

/// Parses a text within limits, which are checked before anything is stored. Throws
/// `JsonLimitExceeded`, or what the parser throws.
nlohmann::json parseWithin(std::string_view text, const JsonLimits& limits);

} // namespace eelgrassloft::io
