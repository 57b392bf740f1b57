#pragma once

#include <stdexcept>
#include <string>

namespace eelgrassloft {

/// A promise of the core that does not hold. The shell logs it and ends the process.
class InvariantViolation : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/// Checks a promise of the core, in release builds too.
inline void requireInvariant(bool condition, const char* invariantName)
{
    if (!condition)
        throw InvariantViolation(std::string("invariant violated: ") + invariantName);
}

} // namespace eelgrassloft
