#pragma once

#include "eelgrassloft/name_table.h"

#include <cstdint>
#include <string>

namespace eelgrassloft {

/// Kinds of errors in input, files and connections.
enum class ErrorKind : uint8_t {
    None,
    Syntax,
    MissingField,
    WrongType,
    OutOfRange,
    UnknownField,
    Duplicate,
    UnknownName,
    RevisionConflict,
    Unplaceable,
    FileUnreadable,
    FileCorrupt,
    FileWriteFailed,
    Unreachable,
    WrongPeer,
    NotLeader,
    Busy,
    Usage,
    Count
};

constexpr NameTable<ErrorKind> nameTable(ErrorKind)
{
    constexpr NameTable<ErrorKind> table { "none", "syntax", "missing-field", "wrong-type", "out-of-range",
        "unknown-field", "duplicate", "unknown-name", "revision-conflict", "unplaceable", "file-unreadable",
        "file-corrupt", "file-write-failed", "unreachable", "wrong-peer", "not-leader", "busy", "usage" };
    static_assert(detail::isComplete<ErrorKind>(table));
    return table;
}

/// An error with its cause and its remedy.
struct Error {
    ErrorKind kind = ErrorKind::None;
    std::string message; ///< What was wrong, and where.
    std::string remedy; ///< What the caller can do about it; may be empty.

    /// Formats the error as `kind: message; remedy`.
    std::string text() const
    {
        std::string result(name(kind));
        result += ": " + message;
        if (!remedy.empty())
            result += "; " + remedy;
        return result;
    }
};

/// Base of classes whose operations return `std::optional`: keeps the error of the last operation that failed.
class LastError {
public:
    const Error& lastError() const { return m_error; }

protected:
    /// Keeps the error and returns the empty result.
    std::nullopt_t fail(ErrorKind kind, std::string message, std::string remedy)
    {
        m_error = Error { kind, std::move(message), std::move(remedy) };
        return std::nullopt;
    }

    std::nullopt_t fail(Error error)
    {
        m_error = std::move(error);
        return std::nullopt;
    }

private:
    Error m_error;
};

} // namespace eelgrassloft
