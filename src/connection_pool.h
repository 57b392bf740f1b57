#pragma once

#include "eelgrassloft/name_table.h"
#include "eelgrassloft/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
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

struct ConnectionLimits {
    size_t maxConnections = 1; ///< To one server, opening ones included.
    Duration refusalPause {}; ///< After the server refused a connection, none is opened for this long beside others. Doubles with each refusal in a row.
    Duration maxRefusalPause {};
    Duration idleLifetime {}; ///< Of the only connection that is open.
    Duration surplusLifetime {}; ///< Of a connection that is idle beside others. Those that are open when the host dies may stay so at the server.
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
    Actions add(Time now, RequestNumber request)
    {
        m_waiting.push_back(request);
        return assign(now);
    }

    /// Removes a request that still waits. Returns false if it was sent or failed before.
    bool withdraw(RequestNumber request) { return std::erase(m_waiting, request) > 0; }

    Actions opened(Time now, ConnectionNumber connection)
    {
        m_opening.erase(connection);
        m_idle.push_back(connection);
        m_latestOpened = connection;
        return assign(now);
    }

    Actions openFailed(Time now, ConnectionNumber connection)
    {
        m_opening.erase(connection);
        noteRefusal(now);
        if (size())
            return assign(now);
        Actions actions;
        for (const RequestNumber request : std::exchange(m_waiting, {}))
            actions.push_back({ PoolActionKind::Fail, {}, request });
        return actions;
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
            for (const ConnectionNumber idle : std::exchange(m_idle, {})) // The network may have dropped these too.
                actions.push_back({ PoolActionKind::Close, idle, {} });
        }
        if (fate == ConnectionFate::Reusable)
            m_idle.push_back(connection);
        for (const PoolAction& action : assign(now))
            actions.push_back(action);
        return actions;
    }

    /// The server had closed the connection before the request was sent.
    Actions returned(Time now, ConnectionNumber connection, RequestNumber request)
    {
        m_busy.erase(connection);
        m_waiting.push_front(request);
        return assign(now);
    }

    /// Forgets a connection that has been idle for its lifetime. Returns false if it is in use.
    bool retire(ConnectionNumber connection) { return std::erase(m_idle, connection) > 0; }

    /// How long a connection that becomes idle now may stay open without a request.
    Duration lifetime() const { return size() > 1 ? m_limits.surplusLifetime : m_limits.idleLifetime; }

    size_t size() const { return m_opening.size() + m_busy.size() + m_idle.size(); }
    bool isUnused() const { return !size() && m_waiting.empty(); }

private:
    /// Gives waiting requests to idle connections, the latest used first so that the others expire, and opens
    /// further ones for the rest.
    Actions assign(Time now)
    {
        Actions actions;
        while (!m_waiting.empty() && !m_idle.empty()) {
            const ConnectionNumber connection = m_idle.back();
            m_idle.pop_back();
            m_busy.insert(connection);
            actions.push_back({ PoolActionKind::Send, connection, m_waiting.front() });
            m_waiting.pop_front();
        }
        while (m_opening.size() < m_waiting.size() && mayOpen(now)) {
            const ConnectionNumber connection { m_nextConnection++ };
            m_opening.insert(connection);
            actions.push_back({ PoolActionKind::Open, connection, {} });
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

    bool mayOpen(Time now) const { return size() < m_limits.maxConnections && (now >= m_pausedUntil || !size()); }

    ConnectionLimits m_limits;
    uint64_t m_nextConnection = 1;
    Duration m_pause {}; ///< After the latest refusal; zero once a later connection has answered.
    Time m_pausedUntil {};
    ConnectionNumber m_latestOpened;
    std::deque<RequestNumber> m_waiting;
    std::set<ConnectionNumber> m_opening;
    std::set<ConnectionNumber> m_busy;
    std::vector<ConnectionNumber> m_idle; ///< The last one was used latest.
};

} // namespace eelgrassloft
