#pragma once

#include "eelgrassloft/name_table.h"
#include "eelgrassloft/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace eelgrassloft {

/// A request to a server, numbered by the owner of its connections.
struct RequestNumber {
    uint64_t value = 0;

    auto operator<=>(const RequestNumber&) const = default;
};

/// A connection to a server, numbered by its pool from 1; 0 is invalid.
struct ConnectionNumber {
    uint64_t value = 0;

    bool isValid() const { return value != 0; }
    auto operator<=>(const ConnectionNumber&) const = default;
};

/// What becomes of a request whose connection could not be opened while others are open.
enum class RefusalPolicy : uint8_t {
    WaitForOthers,
    FailRequest,
    Count
};

constexpr NameTable<RefusalPolicy> nameTable(RefusalPolicy)
{
    constexpr NameTable<RefusalPolicy> table { "wait-for-others", "fail-request" };
    static_assert(detail::isComplete<RefusalPolicy>(table));
    return table;
}

constexpr size_t unlimitedConnections = std::numeric_limits<size_t>::max(); ///< Each request in flight has a connection at once.

enum class RequestPriority : uint8_t {
    Normal,
    Urgent, ///< Goes before normal ones, which leave one connection to urgent ones.
    Count
};

constexpr NameTable<RequestPriority> nameTable(RequestPriority)
{
    constexpr NameTable<RequestPriority> table { "normal", "urgent" };
    static_assert(detail::isComplete<RequestPriority>(table));
    return table;
}

/// What a request asks of its connection.
struct RequestOptions {
    Duration maxIdle = Duration::max(); ///< It takes no connection that has been idle for as long or longer.
    RequestPriority priority = RequestPriority::Normal;
};

struct ConnectionLimits {
    size_t maxConnections = 1; ///< To one server, opening ones included.
    Duration refusalPause {}; ///< After the server refused a connection, none is opened for this long beside others. Doubles with each refusal in a row.
    Duration maxRefusalPause {};
    Duration idleLifetime {}; ///< Of the only connection that is open.
    Duration surplusLifetime {}; ///< Of a connection that is idle beside others. Those that are open when the host dies may stay so at the server.
    RefusalPolicy refusalPolicy = RefusalPolicy::WaitForOthers;
};

enum class PoolActionKind : uint8_t {
    Open, ///< Open the connection, then report `opened` or `openFailed`.
    Send, ///< Send the request on the connection, then report `finished` or `returned`.
    Close, ///< Close the connection, which the pool has forgotten.
    Fail, ///< End the request, which was not sent.
    Count
};

constexpr NameTable<PoolActionKind> nameTable(PoolActionKind)
{
    constexpr NameTable<PoolActionKind> table { "open", "send", "close", "fail" };
    static_assert(detail::isComplete<PoolActionKind>(table));
    return table;
}

/// What the owner of the connections has to do.
struct PoolAction {
    PoolActionKind kind = PoolActionKind::Open;
    ConnectionNumber connection; ///< Invalid for `Fail`.
    RequestNumber request; ///< For `Send` and `Fail`.
};

/// What became of a connection by a request.
enum class ConnectionFate : uint8_t {
    Reusable,
    Closed,
    Refused, ///< Closed by the server during its first request: it accepts no more connections, or has ended.
    TimedOut, ///< Closed by its owner.
    Count
};

constexpr NameTable<ConnectionFate> nameTable(ConnectionFate)
{
    constexpr NameTable<ConnectionFate> table { "reusable", "closed", "refused", "timed-out" };
    static_assert(detail::isComplete<ConnectionFate>(table));
    return table;
}

/// Decides how the requests to one server share a bounded number of connections. A server may count
/// the connections of callers that died without closing them for as long as it runs, so few are opened, and
/// requests wait for one of them. Where the server refuses further ones, those that are open are used.
class ConnectionPool {
public:
    using Actions = std::vector<PoolAction>;

    explicit ConnectionPool(ConnectionLimits limits)
        : m_limits(limits)
    {
    }

    /// Adds a request. It is sent or failed by an action of this or a later call.
    Actions add(Time now, RequestNumber request, RequestOptions options = {})
    {
        const auto isLater = [&](const WaitingRequest& waiting) { return waiting.options.priority < options.priority; };
        m_waiting.insert(std::find_if(m_waiting.begin(), m_waiting.end(), isLater), { request, options });
        return assign(now);
    }

    /// Removes a request that still waits. Returns false if it was sent or failed before.
    bool withdraw(RequestNumber request)
    {
        return std::erase_if(m_waiting, [&](const WaitingRequest& waiting) { return waiting.number == request; }) > 0;
    }

    Actions opened(Time now, ConnectionNumber connection)
    {
        m_opening.erase(connection);
        m_idle.push_back({ connection, now });
        m_latestOpened = connection;
        return assign(now);
    }

    Actions openFailed(Time now, ConnectionNumber connection)
    {
        m_opening.erase(connection);
        return refused(now);
    }

    /// The request on the connection has ended.
    Actions finished(Time now, ConnectionNumber connection, ConnectionFate fate)
    {
        m_busy.erase(connection);
        if (fate == ConnectionFate::Refused)
            noteRefusal(now);
        else if (fate == ConnectionFate::Reusable && connection == m_latestOpened)
            m_pause = {};
        Actions actions;
        if (fate == ConnectionFate::TimedOut) {
            while (!m_idle.empty()) // The network may have dropped these too.
                actions.push_back(closeOldestIdle());
        }
        if (fate == ConnectionFate::Reusable)
            m_idle.push_back({ connection, now });
        for (const PoolAction& action : assign(now))
            actions.push_back(action);
        return actions;
    }

    /// The server had closed the connection before the request was sent. `fate` is `Refused` if it did so to a
    /// connection that had just been opened.
    Actions returned(Time now, ConnectionNumber connection, RequestNumber request, ConnectionFate fate = ConnectionFate::Closed)
    {
        const RequestOptions options = m_busy.extract(connection).mapped().options;
        const auto isNoEarlier = [&](const WaitingRequest& waiting) { return waiting.options.priority <= options.priority; };
        m_waiting.insert(std::find_if(m_waiting.begin(), m_waiting.end(), isNoEarlier), { request, options });
        return fate == ConnectionFate::Refused ? refused(now) : assign(now);
    }

    /// Forgets a connection that has been idle for its lifetime. Returns false if it is in use.
    bool retire(ConnectionNumber connection)
    {
        return std::erase_if(m_idle, [&](const IdleConnection& idle) { return idle.number == connection; }) > 0;
    }

    /// How long a connection that becomes idle now may stay open without a request.
    Duration lifetime() const { return size() > 1 ? m_limits.surplusLifetime : m_limits.idleLifetime; }

    size_t size() const { return m_opening.size() + m_busy.size() + m_idle.size(); }
    bool isUnused() const { return !size() && m_waiting.empty(); }

private:
    struct WaitingRequest {
        RequestNumber number;
        RequestOptions options;
    };

    struct IdleConnection {
        ConnectionNumber number;
        Time since {};
    };

    /// Gives waiting requests to idle connections, the latest used first so that the others expire, and opens
    /// further ones for the rest, in place of those that have been idle for too long.
    Actions assign(Time now)
    {
        Actions actions;
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end() && !m_idle.empty();) {
            const IdleConnection latest = m_idle.back();
            const bool isHeldBack = waiting->options.priority == RequestPriority::Normal && !normalAllowance();
            if (isHeldBack || now - latest.since >= waiting->options.maxIdle) {
                ++waiting;
                continue;
            }
            m_idle.pop_back();
            m_busy.emplace(latest.number, *waiting);
            actions.push_back({ PoolActionKind::Send, latest.number, waiting->number });
            waiting = m_waiting.erase(waiting);
        }
        while (m_opening.size() < assignableCount() && mayOpen(now)) {
            if (!m_idle.empty())
                actions.push_back(closeOldestIdle());
            const ConnectionNumber connection { m_nextConnection++ };
            m_opening.insert(connection);
            actions.push_back({ PoolActionKind::Open, connection, {} });
        }
        return actions;
    }

    static bool isNormal(const WaitingRequest& request) { return request.options.priority == RequestPriority::Normal; }

    /// How many more normal requests may be sent now.
    size_t normalAllowance() const
    {
        const size_t limit = std::max<size_t>(m_limits.maxConnections - 1, 1);
        const auto inUse = static_cast<size_t>(std::count_if(m_busy.begin(), m_busy.end(), [](const auto& entry) { return isNormal(entry.second); }));
        return limit - std::min(limit, inUse);
    }

    /// Number of waiting requests that could be sent if there were connections.
    size_t assignableCount() const
    {
        const auto normal = static_cast<size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), isNormal));
        return m_waiting.size() - normal + std::min(normal, normalAllowance());
    }

    PoolAction closeOldestIdle()
    {
        const ConnectionNumber oldest = m_idle.front().number;
        m_idle.pop_front();
        return { PoolActionKind::Close, oldest, {} };
    }

    Actions refused(Time now)
    {
        noteRefusal(now);
        if (size() && m_limits.refusalPolicy == RefusalPolicy::WaitForOthers)
            return assign(now);
        return failExcessRequests();
    }

    /// Ends the requests for which no connection is being opened, the first ones first.
    Actions failExcessRequests()
    {
        Actions actions;
        while (m_waiting.size() > m_opening.size()) {
            actions.push_back({ PoolActionKind::Fail, {}, m_waiting.front().number });
            m_waiting.pop_front();
        }
        return actions;
    }

    void noteRefusal(Time now)
    {
        if (now < m_pausedUntil)
            return; // Of connections that were opened together.
        m_pause = std::clamp(m_pause * 2, m_limits.refusalPause, m_limits.maxRefusalPause);
        m_pausedUntil = now + m_pause;
    }

    /// Whether a connection may be opened in place of the one that has been idle longest, if there is one.
    bool mayOpen(Time now) const
    {
        const size_t others = size() - (m_idle.empty() ? 0 : 1);
        return others < m_limits.maxConnections && (now >= m_pausedUntil || !others);
    }

    ConnectionLimits m_limits;
    uint64_t m_nextConnection = 1;
    Duration m_pause {}; ///< After the latest refusal; zero once a later connection has answered.
    Time m_pausedUntil {};
    ConnectionNumber m_latestOpened;
    std::deque<WaitingRequest> m_waiting;
    std::set<ConnectionNumber> m_opening;
    std::map<ConnectionNumber, WaitingRequest> m_busy; ///< With the request that each has.
    std::deque<IdleConnection> m_idle; ///< The last one was used latest.
};

} // namespace eelgrassloft
