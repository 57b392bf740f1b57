#pragma once

#include "eelgrassloft/handle.h"

#include <functional>
#include <string>

namespace eelgrassloft {

/// The numbers of hosts for a log line, or "none". `hostOf` returns the host of an element.
template <typename Hosts, typename HostOf = std::identity>
std::string hostsText(const Hosts& hosts, HostOf hostOf = {})
{
    std::string text;
    for (const auto& element : hosts)
        text += (text.empty() ? "" : ",") + std::to_string(hostOf(element).value);
    return text.empty() ? "none" : text;
}

} // namespace eelgrassloft
