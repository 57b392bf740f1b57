#pragma once

#include <stdexcept>
#include <string>

namespace eelgrassloft {

/// Thrown where an invariant of the core does not hold. The daemon logs it and ends the process.
class InvariantViolation : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/// Checks an invariant of the core, in release builds too.
inline void requireInvariant(bool condition, const char* invariantName)
{
    if (!condition)
        throw InvariantViolation(std::string("invariant violated: ") + invariantName);
}

} // namespace eelgrassloft
