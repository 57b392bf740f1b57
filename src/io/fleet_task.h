#pragma once

#include "io/boot_clock.h"
#include "io/durability_gate.h"
#include "io/event_log.h"
#include "io/fleet_metrics.h"
#include "io/fleet_peer_network.h"
#include "io/load_window.h"
#include "io/log_writer.h"

#include <deque>
#include <map>

namespace eelgrassloft::io {

/// Core of a fleet host: turns events into effects, without input or output of its own. It takes in
/// events one by one; `finish` then does what follows from all of them. It is told how long that took.
template <typename T>
concept FleetNode = requires(T node, const T constNode, Time now, const FleetEvent& event)
{
    {
        node.receive(now, event)
        } -> std::same_as<std::vector<FleetEffect>>;
    {
        node.finish(now)
        } -> std::same_as<std::vector<FleetEffect>>;
    node.didFinish(Duration {});
    {
        constNode.nextDeadline()
        } -> std::same_as<Time>;
};

/// Calls workers and the advice service, which are outside the fleet. Results return as events.
template <typename T>
concept ExternalServices = requires(T calls, const T constCalls, CallWorker worker, CallAdvice advice)
{
    calls.callWorker(std::move(worker));
    calls.callAdvice(std::move(advice));
    {
        constCalls.metricsText()
        } -> std::same_as<std::string>;
};

using FleetLogWriter = LogWriter<WorkTable, FleetLogWriteObserver>;

/// Owns the core of a fleet host. Takes messages from the mailbox one at a time, steps the core and
/// passes its effects to the tasks that own sockets and files.
template <FleetNode Node, ExternalServices Services>
class FleetTask {
    using SteadyClock = std::chrono::steady_clock;

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
        finish();
        while (!m_dependencies.mailbox.isClosed()) {
            const Time next = m_node.nextDeadline();
            const Time now = m_clock.now();
            auto deadline = SteadyClock::time_point::max();
            if (next != never) // The timer's clock stops while the machine is suspended; the core's does not.
                deadline = SteadyClock::now() + std::max(next - now, Duration::zero());
            auto delivery = co_await m_dependencies.mailbox.pop(deadline);
            size_t messageCount = 0;
            while (delivery) {
                handle(std::move(*delivery));
                delivery = ++messageCount < config::maxMessagesBeforeYield ? m_dependencies.mailbox.tryPop() : std::nullopt;
            }
            finish();
            // Yields, so that connections are read and urgent messages can overtake a long backlog.
            if (messageCount == config::maxMessagesBeforeYield) {
                const auto yieldedAt = SteadyClock::now();
                co_await asio::post(co_await asio::this_coro::executor, use_awaitable);
                measure(FleetTimer::YieldWait, SteadyClock::now() - yieldedAt);
            }
        }
    }

    const Node& node() const { return m_node; }

private:
    /// A write of the log that is not yet durable.
    struct PendingWrite {
        uint64_t sequence = 0;
        SteadyClock::time_point startedAt;
        uint64_t snapshotIndex = 0; ///< Of the snapshot in the write; 0 for none.
    };

    void handle(FleetTaskDelivery delivery)
    {
        const auto* event = std::get_if<FleetEvent>(&delivery.message);
        const FleetTimer timer = event && isUrgent(kindOf(*event)) ? FleetTimer::UrgentMailboxWait : FleetTimer::MailboxWait;
        measure(timer, SteadyClock::now() - delivery.arrivedAt);
        std::visit([&](auto& body) { handle(std::move(body)); }, delivery.message);
    }

    void handle(FleetEvent event) { receive(event); }

    void handle(SubmitControl submit)
    {
        const CallId call { m_nextCallId++ };
        m_calls[call] = std::move(submit.reply);
        receive(ControlCallReceived { call, std::move(submit.request), m_clock.now() + submit.timeout });
    }

    void handle(ReadReadiness query)
    {
        bool isReady = false;
        if constexpr (requires { m_node.isReady(m_clock.now()); })
            isReady = m_node.isReady(m_clock.now());
        query.reply->tryPush(isReady);
    }

    void handle(ReadMetrics query) { query.reply->tryPush(fleetMetricsText(m_node.counters(), m_node.gauges(), m_durations) + m_dependencies.peers.metricsText() + m_dependencies.services.metricsText()); }

    void receive(const FleetEvent& event)
    {
        const auto startedAt = SteadyClock::now();
        if (const auto* written = std::get_if<WorkLogWritten>(&event)) {
            measureWrites(written->sequence, startedAt);
            m_isLogRefused = false;
            const std::vector<SendFleetMessage> released = m_gate.release(written->sequence);
            for (size_t i = 0; i < released.size(); ++i) {
                if (i + 1 == released.size() || !isSuperseded(released[i], released[i + 1]))
                    m_dependencies.peers.send(released[i].to, released[i].message);
            }
        }
        m_isLogRefused = m_isLogRefused || std::holds_alternative<WorkLogRefused>(event);
        perform(kindOf(event), startedAt, m_node.receive(m_clock.now(), event));
    }

    void finish()
    {
        const auto startedAt = SteadyClock::now();
        perform(FleetEventKind::Tick, startedAt, m_node.finish(m_clock.now()));
        m_node.didFinish(std::chrono::duration_cast<Duration>(SteadyClock::now() - startedAt));
    }

    /// Carries out the effects of a step that began at `startedAt`.
    void perform(FleetEventKind kind, SteadyClock::time_point startedAt, std::vector<FleetEffect> effects)
    {
        const auto decidedAt = SteadyClock::now();
        for (FleetEffect& effect : effects)
            std::visit([&](auto& body) { perform(std::move(body)); }, effect);
        const auto endedAt = SteadyClock::now();
        measureStep(kind, endedAt, endedAt - startedAt, endedAt - decidedAt);
    }

    void measure(FleetTimer timer, SteadyClock::duration value)
    {
        m_durations.timers[timer].add(value);
        m_load.addDuration(timer, value);
    }

    void measureStep(FleetEventKind kind, SteadyClock::time_point now, SteadyClock::duration total, SteadyClock::duration effects)
    {
        m_durations.steps[kind].add(total);
        m_load.addStep(kind, total);
        if (total >= config::slowStepThreshold)
            m_dependencies.log.write("slow-step", { { "kind", std::string(name(kind)) }, { "tookMs", millisText(total) }, { "effectsMs", millisText(effects) }, { "queued", std::to_string(m_dependencies.mailbox.size()) } });
        if (const std::vector<LogField> load = m_load.finish(now, m_dependencies.mailbox.size()); !load.empty())
            m_dependencies.log.write("core-delayed", load);
    }

    /// Measures the writes up to `sequence`, which are durable.
    void measureWrites(uint64_t sequence, SteadyClock::time_point now)
    {
        while (!m_pendingWrites.empty() && m_pendingWrites.front().sequence <= sequence) {
            const PendingWrite& write = m_pendingWrites.front();
            measure(FleetTimer::LogSync, now - write.startedAt);
            if (write.snapshotIndex)
                m_dependencies.log.write("snapshot-written", { { "index", std::to_string(write.snapshotIndex) }, { "tookMs", millisText(now - write.startedAt) } });
            m_pendingWrites.pop_front();
        }
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
        const auto isReplaced = [&](const SendFleetMessage& earlier, const SendFleetMessage& later) { return m_isLogRefused && isSuperseded(earlier, later); };
        if (const auto message = m_gate.admit(std::move(effect), isReplaced))
            m_dependencies.peers.send(message->to, message->message);
    }

    void perform(WriteWorkLog effect)
    {
        if (!m_dependencies.logWriter)
            return;
        if (!m_isLogRefused)
            m_pendingWrites.push_back({ effect.write.sequence, SteadyClock::now(), effect.write.snapshot ? effect.write.snapshot->index : 0 });
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
    void perform(RecordDuration effect) { measure(effect.timer, effect.value); }
    void perform(LogEvent effect) { m_dependencies.log.write(effect); }

    Node m_node;
    FleetClock m_clock;
    Dependencies m_dependencies;
    uint64_t m_nextCallId = 1;
    std::map<CallId, FleetReplyMailbox<ControlReply>> m_calls;
    DurabilityGate<SendFleetMessage> m_gate;
    std::deque<PendingWrite> m_pendingWrites;
    bool m_isLogRefused = false;
    FleetDurations m_durations;
    LoadWindow m_load;
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
