#pragma once

#include "io/boot_clock.h"
#include "io/durability_gate.h"
#include "io/event_log.h"
#include "io/fleet_metrics.h"
#include "io/fleet_peer_network.h"
#include "io/log_writer.h"

#include <map>

namespace eelgrassloft::io {

/// Core of a fleet host: turns events into effects, without input or output of its own.
template <typename T>
concept FleetNode = requires(T node, const T constNode, Time now, const FleetEvent& event)
{
    {
        node.step(now, event)
        } -> std::same_as<std::vector<FleetEffect>>;
    {
        constNode.nextDeadline()
        } -> std::same_as<Time>;
};

/// Calls workers and the advice service, which are outside the fleet. Results return as events.
template <typename T>
concept ExternalServices = requires(T calls, CallWorker worker, CallAdvice advice)
{
    calls.callWorker(std::move(worker));
    calls.callAdvice(std::move(advice));
};

using FleetLogWriter = LogWriter<WorkTable, FleetLogWriteObserver>;

/// Owns the core of a fleet host. Takes messages from the mailbox one at a time, steps the core and
/// passes its effects to the tasks that own sockets and files.
template <FleetNode Node, ExternalServices Services>
class FleetTask {
public:
    struct Dependencies {
        FleetMailbox& mailbox;
        FleetPeerNetwork& peers;
        Services& services;
        FleetLogWriter* logWriter; ///< Null on hosts without a log.
        EventLog& log;
    };

    FleetTask(Node node, FleetClock clock, Dependencies dependencies)
        : m_node(std::move(node))
        , m_clock(clock)
        , m_dependencies(dependencies)
    {
    }

    /// Runs until the mailbox is closed.
    awaitable<void> run()
    {
        step(FleetTick {});
        for (size_t messageCount = 1; !m_dependencies.mailbox.isClosed(); ++messageCount) {
            // Yields, so that connections are read and urgent messages can overtake a long backlog.
            if (messageCount % config::maxMessagesBeforeYield == 0)
                co_await asio::post(co_await asio::this_coro::executor, use_awaitable);
            const Time next = m_node.nextDeadline();
            const Time now = m_clock.now();
            auto deadline = std::chrono::steady_clock::time_point::max();
            if (next != never) // The timer's clock stops while the machine is suspended; the core's does not.
                deadline = std::chrono::steady_clock::now() + std::max(next - now, Duration::zero());
            auto message = co_await m_dependencies.mailbox.pop(deadline);
            if (message)
                std::visit([&](auto& body) { handle(std::move(body)); }, *message);
            else
                step(FleetTick {});
        }
    }

    const Node& node() const { return m_node; }

private:
    void handle(FleetEvent event) { step(event); }

    void handle(SubmitControl submit)
    {
        const CallId call { m_nextCallId++ };
        m_calls[call] = std::move(submit.reply);
        step(ControlCallReceived { call, std::move(submit.request), m_clock.now() + submit.timeout });
    }

    void handle(FindQueue query)
    {
        QueueLookup lookup;
        if constexpr (requires { m_node.config(); }) {
            lookup.isReady = m_node.isReady(m_clock.now());
            lookup.isConfigCurrent = m_node.isConfigCurrent(m_clock.now());
            lookup.isStale = m_node.isStale();
            if (const QueueSpec* queue = m_node.config().queueAt(query.host, query.path))
                lookup.queue = *queue;
        }
        query.reply->tryPush(std::move(lookup));
    }

    void handle(ReadMetrics query) { query.reply->tryPush(fleetMetricsText(m_node.counters(), m_node.gauges(), m_durations)); }

    void step(const FleetEvent& event)
    {
        if (const auto* written = std::get_if<WorkLogWritten>(&event)) {
            const std::vector<SendFleetMessage> released = m_gate.release(written->sequence);
            for (size_t i = 0; i < released.size(); ++i) {
                if (i + 1 == released.size() || !isSuperseded(released[i], released[i + 1]))
                    m_dependencies.peers.send(released[i].to, released[i].message);
            }
        }
        for (FleetEffect& effect : m_node.step(m_clock.now(), event))
            std::visit([&](auto& body) { perform(std::move(body)); }, effect);
    }

    /// One sync often releases several replies to the same leader, of which the last covers the others.
    static bool isSuperseded(const SendFleetMessage& earlier, const SendFleetMessage& later)
    {
        const auto* first = std::get_if<ReplicaMessage<WorkTable>>(&earlier.message);
        const auto* second = std::get_if<ReplicaMessage<WorkTable>>(&later.message);
        return first && second && earlier.to == later.to && eelgrassloft::isSuperseded(*first, *second);
    }

    void perform(SendFleetMessage effect)
    {
        if (const auto message = m_gate.admit(std::move(effect)))
            m_dependencies.peers.send(message->to, message->message);
    }

    void perform(WriteWorkLog effect)
    {
        if (m_dependencies.logWriter)
            m_dependencies.logWriter->write(effect.incarnation, std::move(effect.write));
    }

    void perform(SendControlReply effect)
    {
        const auto found = m_calls.find(effect.call);
        if (found == m_calls.end())
            return;
        found->second->tryPush(std::move(effect.reply));
        m_calls.erase(found);
    }

    void perform(CallWorker effect) { m_dependencies.services.callWorker(std::move(effect)); }
    void perform(CallAdvice effect) { m_dependencies.services.callAdvice(std::move(effect)); }
    void perform(ConnectHosts effect) { m_dependencies.peers.setTargets(effect.hosts); }
    void perform(RecordDuration effect) { m_durations[effect.timer].add(effect.value); }
    void perform(LogEvent effect) { m_dependencies.log.write(effect); }

    Node m_node;
    FleetClock m_clock;
    Dependencies m_dependencies;
    uint64_t m_nextCallId = 1;
    std::map<CallId, FleetReplyMailbox<ControlReply>> m_calls;
    DurabilityGate<SendFleetMessage> m_gate;
    FleetDurationSummaries m_durations;
};

/// Submits a call to the core and waits for its reply: `NotAccepted` if the mailbox is full or
/// closed, `Unavailable` if the call ends without a reply.
inline awaitable<ControlReply> callCore(FleetMailbox& mailbox, ControlRequest request, Duration timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto reply = std::make_shared<Mailbox<ControlReply>>(executor, 1);
    if (!mailbox.tryPush(SubmitControl { std::move(request), timeout, reply }))
        co_return ControlReply { ControlStatus::NotAccepted, {}, 0, {} };
    auto result = co_await reply->pop();
    if (!result)
        co_return ControlReply { ControlStatus::Unavailable, {}, 0, {} };
    co_return std::move(*result);
}

} // namespace eelgrassloft::io
