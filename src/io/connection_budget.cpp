#include "io/connection_budget.h"

namespace eelgrassloft::io {

namespace {

constexpr uint64_t mebibyte = 1024 * 1024;

/// Shares of the listeners in the budget; those that a process doesn't have get nothing.
constexpr EnumArray<ListenerKind, uint64_t> listenerWeights { { 12, 2, 12, 2 } };

/// Least bytes of a listener, whatever the settings say: room for one request of the largest legal
/// size, half as much again while its buffer grows, beside the reserved part of small requests.
constexpr EnumArray<ListenerKind, uint64_t> minListenerBytes { { mebibyte, mebibyte / 8, 10 * mebibyte, mebibyte / 2 } };
constexpr uint64_t minListenerConnections = 4;

/// Half of the descriptors, as calls to other hosts need some too.
uint64_t connectionsOf(double descriptors)
{
    const double usable = descriptors > 2 * config::reservedDescriptors ? descriptors - config::reservedDescriptors : descriptors / 2;
    return std::max<uint64_t>(static_cast<uint64_t>(usable) / 2, 1);
}

} // namespace

BudgetLimits BudgetSettings::limits() const
{
    BudgetLimits limits;
    if (machineMemoryMiB && *machineMemoryMiB > 0)
        limits.bytes = static_cast<uint64_t>(*machineMemoryMiB * static_cast<double>(mebibyte)) / config::connectionMemoryDivisor;
    if (memoryBudgetMiB && *memoryBudgetMiB > 0)
        limits.bytes = static_cast<uint64_t>(*memoryBudgetMiB * static_cast<double>(mebibyte));
    if (machineDescriptors && *machineDescriptors > 0)
        limits.connections = connectionsOf(*machineDescriptors);
    if (processDescriptors && *processDescriptors > 0)
        limits.connections = std::min(limits.connections, connectionsOf(*processDescriptors));
    if (maxConnections && *maxConnections)
        limits.connections = *maxConnections;
    return limits;
}

int BudgetSettings::receiveBufferBytes() const
{
    // The system doubles the size that is set; all buffers together take as much as the budget at most.
    const BudgetLimits room = limits();
    const uint64_t each = room.bytes / (2 * std::max<uint64_t>(room.connections, 1));
    return std::clamp(static_cast<int>(std::min<uint64_t>(each, config::maxReceiveBufferBytes)), config::minReceiveBufferBytes, config::maxReceiveBufferBytes);
}

ConnectionBudget::ConnectionBudget(BudgetLimits limits, std::initializer_list<ListenerKind> listeners)
{
    uint64_t weights = 0;
    for (const ListenerKind listener : listeners)
        weights += listenerWeights[listener];
    for (const ListenerKind listener : listeners) {
        Part& part = m_parts[listener];
        part.byteLimit = std::max(limits.bytes / weights * listenerWeights[listener], minListenerBytes[listener]);
        part.largeByteLimit = part.byteLimit - part.byteLimit / config::smallRequestDivisor;
        part.connectionLimit = std::max(limits.connections * listenerWeights[listener] / weights, minListenerConnections);
        m_bytes += part.byteLimit;
    }
}

bool ConnectionBudget::hasRoomFor(uint64_t bytes) const
{
    uint64_t used = 0;
    for (const Part& part : m_parts.values)
        used += part.bytes;
    return used + bytes <= m_bytes;
}

/// The connection that has waited longest among those whose eviction frees bytes.
ConnectionBudget::Connection* ConnectionBudget::firstWithBytes(Queue& queue, const Connection& except, bool hasToBeLarge)
{
    Connection* connection = queue.first;
    while (connection && (connection == &except || !connection->m_bytes || (hasToBeLarge && !connection->m_isLarge)))
        connection = connection->m_next;
    return connection;
}

ConnectionBudget::Connection* ConnectionBudget::older(Connection* a, Connection* b)
{
    if (!a || !b)
        return a ? a : b;
    return a->m_movedAt < b->m_movedAt ? a : b;
}

bool ConnectionBudget::isEvictionEnough(const Part& part, const Connection& connection, uint64_t growth, bool isLarge) const
{
    uint64_t evictable = 0;
    uint64_t evictableLarge = 0;
    for (const ConnectionPhase phase : { ConnectionPhase::Receiving, ConnectionPhase::Sending }) {
        const Queue& queue = part.queues[phase];
        const bool isOwn = connection.m_phase == phase;
        evictable += queue.bytes - (isOwn ? connection.m_bytes : 0);
        evictableLarge += queue.largeBytes - (isOwn && isLarge ? connection.m_bytes : 0);
    }
    return part.bytes - evictable + growth <= part.byteLimit && (!isLarge || part.largeBytes - evictableLarge + growth <= part.largeByteLimit);
}

void ConnectionBudget::enqueue(Connection& connection)
{
    Queue& queue = m_parts[connection.m_listener].queues[connection.m_phase];
    connection.m_movedAt = ++m_sequence;
    connection.m_previous = queue.last;
    connection.m_next = nullptr;
    (queue.last ? queue.last->m_next : queue.first) = &connection;
    queue.last = &connection;
    queue.bytes += connection.m_bytes;
    queue.largeBytes += connection.m_isLarge ? connection.m_bytes : 0;
}

void ConnectionBudget::dequeue(Connection& connection)
{
    Queue& queue = m_parts[connection.m_listener].queues[connection.m_phase];
    (connection.m_previous ? connection.m_previous->m_next : queue.first) = connection.m_next;
    (connection.m_next ? connection.m_next->m_previous : queue.last) = connection.m_previous;
    queue.bytes -= connection.m_bytes;
    queue.largeBytes -= connection.m_isLarge ? connection.m_bytes : 0;
}

void ConnectionBudget::addBytes(Connection& connection, uint64_t added, uint64_t removed)
{
    Part& part = m_parts[connection.m_listener];
    Queue& queue = part.queues[connection.m_phase];
    part.bytes += added - removed; // Unsigned: a difference below 0 wraps back in the sum.
    queue.bytes += added - removed;
    if (connection.m_isLarge) {
        part.largeBytes += added - removed;
        queue.largeBytes += added - removed;
    }
    connection.m_bytes += added - removed;
}

void ConnectionBudget::remove(Connection& connection)
{
    if (!connection.m_isAdmitted)
        return;
    addBytes(connection, 0, connection.m_bytes);
    dequeue(connection);
    --m_parts[connection.m_listener].connections;
    connection.m_isAdmitted = false;
}

void ConnectionBudget::Connection::setPhase(ConnectionPhase phase)
{
    if (!m_isAdmitted)
        return;
    m_budget.dequeue(*this);
    m_phase = phase;
    m_budget.enqueue(*this);
}

void ConnectionBudget::Connection::setLarge(bool isLarge)
{
    if (isLarge == m_isLarge)
        return;
    if (!m_isAdmitted) {
        m_isLarge = isLarge;
        return;
    }
    const uint64_t bytes = m_bytes;
    m_budget.addBytes(*this, 0, bytes);
    m_isLarge = isLarge;
    m_budget.addBytes(*this, bytes, 0);
}

} // namespace eelgrassloft::io
