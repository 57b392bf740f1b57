#pragma once

#include "eelgrassloft/config.h"
#include "eelgrassloft/name_table.h"

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <optional>

// Decides which connections a process keeps and how much they may buffer. Holds no sockets and no
// clock: the listeners tell it what happens, and close what it chooses.
namespace eelgrassloft::io {

/// The addresses on which a process listens for clients that it does not control.
enum class ListenerKind : uint8_t {
    Callers,
    Readiness,
    Control,
    Metrics,
    Count
};

constexpr NameTable<ListenerKind> nameTable(ListenerKind)
{
    constexpr NameTable<ListenerKind> table { "callers", "readiness", "control", "metrics" };
    static_assert(eelgrassloft::detail::isComplete<ListenerKind>(table));
    return table;
}

/// Why a request was refused or a connection closed.
enum class ShedReason : uint8_t {
    Connections, ///< The listener's connections are used up.
    Memory, ///< The listener's bytes are used up.
    HeaderTooLarge, ///< Too many bytes or fields.
    BodyTooLarge,
    NotTaken, ///< Path, method or body is not taken; known from the header.
    SlowHeader,
    SlowBody,
    SlowReader,
    JsonLimits, ///< Too many values, or nested too deeply.
    AcceptFailed, ///< The system had no descriptor or no memory for a connection.
    HandlerFailed, ///< An exception, such as for lack of memory, ended the connection.
    Count
};

constexpr NameTable<ShedReason> nameTable(ShedReason)
{
    constexpr NameTable<ShedReason> table { "connections", "memory", "header-too-large", "body-too-large", "not-taken",
        "slow-header", "slow-body", "slow-reader", "json-limits", "accept-failed", "handler-failed" };
    static_assert(eelgrassloft::detail::isComplete<ShedReason>(table));
    return table;
}

/// What a connection waits for.
enum class ConnectionPhase : uint8_t {
    Idle, ///< The first byte of a request.
    Receiving, ///< The rest of a request.
    Answering, ///< The handler's response.
    Sending, ///< The client, which has not read the response.
    Count
};

constexpr NameTable<ConnectionPhase> nameTable(ConnectionPhase)
{
    constexpr NameTable<ConnectionPhase> table { "idle", "receiving", "answering", "sending" };
    static_assert(eelgrassloft::detail::isComplete<ConnectionPhase>(table));
    return table;
}

/// Room for all connections of a process together.
struct BudgetLimits {
    uint64_t bytes = config::defaultConnectionMemory;
    uint64_t connections = config::defaultMaxConnections;
};

/// What is known of the machine and set for the process. Nothing set means a default.
struct BudgetSettings {
    std::optional<double> memoryBudgetMiB;
    std::optional<uint32_t> maxConnections;
    std::optional<double> machineMemoryMiB;
    std::optional<double> machineDescriptors;
    std::optional<double> processDescriptors; ///< That the system lets the process open; bounds the default.

    BudgetLimits limits() const;
    /// Size of the receive buffer to set on each socket; unread bytes in it count as the process's.
    int receiveBufferBytes() const;
};

/// Budget of one process, partitioned by listener: no listener can use another one's part.
class ConnectionBudget {
public:
    class Connection;

    /// The listeners of the process share the budget by `listenerWeights`.
    ConnectionBudget(BudgetLimits limits, std::initializer_list<ListenerKind> listeners);
    ConnectionBudget(const ConnectionBudget&) = delete;
    ConnectionBudget& operator=(const ConnectionBudget&) = delete;

    /// Takes a new connection in. If the listener has none left, the one that has waited longest for
    /// its client is evicted: `close` gets it and the reason, and has to close its socket. Returns false if there is
    /// none either.
    template <typename Close>
    bool tryAdmit(Connection& connection, Close&& close);

    /// Sets the bytes that a connection buffers. A large request or response can't use the bytes that
    /// are reserved for small ones. Makes room as `tryAdmit` does; returns false, and leaves the
    /// connection's bytes as they are, if there is none.
    template <typename Close>
    bool trySetBytes(Connection& connection, uint64_t bytes, Close&& close);

    /// Whether `bytes` may be used beside all that is buffered, for a step that does not wait.
    bool hasRoomFor(uint64_t bytes) const;
    /// Whether `bytes` would fit if nothing was buffered.
    bool canEverHold(uint64_t bytes) const { return bytes <= m_bytes; }

    void count(ListenerKind listener, ShedReason reason, uint64_t amount = 1) { m_parts[listener].shed[reason] += amount; }
    uint64_t shed(ListenerKind listener, ShedReason reason) const { return m_parts[listener].shed[reason]; }

    bool has(ListenerKind listener) const { return m_parts[listener].connectionLimit > 0; }
    uint64_t bytes(ListenerKind listener) const { return m_parts[listener].bytes; }
    uint64_t connections(ListenerKind listener) const { return m_parts[listener].connections; }
    uint64_t byteLimit(ListenerKind listener) const { return m_parts[listener].byteLimit; }
    uint64_t connectionLimit(ListenerKind listener) const { return m_parts[listener].connectionLimit; }

private:
    /// Connections in one phase, in the order in which something last moved on them.
    struct Queue {
        Connection* first = nullptr;
        Connection* last = nullptr;
        uint64_t bytes = 0;
        uint64_t largeBytes = 0; ///< Of connections with a large request or response.
    };

    struct Part {
        uint64_t byteLimit = 0;
        uint64_t largeByteLimit = 0;
        uint64_t connectionLimit = 0;
        uint64_t bytes = 0;
        uint64_t largeBytes = 0;
        uint64_t connections = 0;
        EnumArray<ConnectionPhase, Queue> queues;
        EnumArray<ShedReason, uint64_t> shed;
    };

    static Connection* firstWithBytes(Queue& queue, const Connection& except, bool hasToBeLarge);
    static Connection* older(Connection* a, Connection* b);
    void enqueue(Connection& connection);
    void dequeue(Connection& connection);
    void addBytes(Connection& connection, uint64_t added, uint64_t removed);
    void remove(Connection& connection);
    bool isEvictionEnough(const Part& part, const Connection& connection, uint64_t growth, bool isLarge) const;

    template <typename Close>
    void evict(Connection& victim, ShedReason reason, Close& close);

    EnumArray<ListenerKind, Part> m_parts;
    uint64_t m_bytes = 0;
    uint64_t m_sequence = 0;
};

/// Charge of one connection, from its construction to its destruction. Listeners derive from it to
/// find the socket of a connection that is evicted.
class ConnectionBudget::Connection {
public:
    Connection(ConnectionBudget& budget, ListenerKind listener)
        : m_budget(budget)
        , m_listener(listener)
    {
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection() { m_budget.remove(*this); }

    /// Says that the connection is in `phase` and that something moves on it.
    void setPhase(ConnectionPhase phase);
    /// Whether its request or response is large. Holds for bytes that are set from now on.
    void setLarge(bool isLarge);

    ListenerKind listener() const { return m_listener; }
    ConnectionPhase phase() const { return m_phase; }
    uint64_t bytes() const { return m_bytes; }
    bool isLarge() const { return m_isLarge; }
    bool isAdmitted() const { return m_isAdmitted; }
    bool isEvicted() const { return m_isEvicted; }

private:
    friend class ConnectionBudget;

    ConnectionBudget& m_budget;
    ListenerKind m_listener;
    ConnectionPhase m_phase = ConnectionPhase::Idle;
    bool m_isLarge = false;
    bool m_isAdmitted = false;
    bool m_isEvicted = false;
    uint64_t m_bytes = 0;
    uint64_t m_movedAt = 0; ///< Number of the last step in which something moved on it.
    Connection* m_previous = nullptr;
    Connection* m_next = nullptr;
};

template <typename Close>
void ConnectionBudget::evict(Connection& victim, ShedReason reason, Close& close)
{
    count(victim.listener(), reason);
    remove(victim);
    victim.m_isEvicted = true;
    close(victim, reason);
}

template <typename Close>
bool ConnectionBudget::tryAdmit(Connection& connection, Close&& close)
{
    Part& part = m_parts[connection.listener()];
    if (part.connections >= part.connectionLimit) {
        Connection* victim = older(part.queues[ConnectionPhase::Idle].first, part.queues[ConnectionPhase::Receiving].first);
        if (!victim)
            victim = part.queues[ConnectionPhase::Sending].first;
        if (!victim) {
            count(connection.listener(), ShedReason::Connections);
            return false;
        }
        evict(*victim, ShedReason::Connections, close);
    }
    ++part.connections;
    connection.m_isAdmitted = true;
    enqueue(connection);
    return true;
}

template <typename Close>
bool ConnectionBudget::trySetBytes(Connection& connection, uint64_t bytes, Close&& close)
{
    if (!connection.m_isAdmitted)
        return false;
    const uint64_t present = connection.m_bytes;
    if (bytes <= present) {
        addBytes(connection, 0, present - bytes);
        return true;
    }
    Part& part = m_parts[connection.listener()];
    const uint64_t growth = bytes - present;
    const auto exceeds = [&] { return part.bytes + growth > part.byteLimit; };
    const auto exceedsLarge = [&] { return connection.m_isLarge && part.largeBytes + growth > part.largeByteLimit; };
    if ((exceeds() || exceedsLarge()) && !isEvictionEnough(part, connection, growth, connection.m_isLarge)) {
        count(connection.listener(), ShedReason::Memory);
        return false;
    }
    while (exceeds() || exceedsLarge()) {
        const bool hasToBeLarge = !exceeds();
        Connection* victim = older(firstWithBytes(part.queues[ConnectionPhase::Receiving], connection, hasToBeLarge),
            firstWithBytes(part.queues[ConnectionPhase::Sending], connection, hasToBeLarge));
        if (!victim) {
            count(connection.listener(), ShedReason::Memory);
            return false;
        }
        evict(*victim, ShedReason::Memory, close);
    }
    addBytes(connection, growth, 0);
    return true;
}

} // namespace eelgrassloft::io
