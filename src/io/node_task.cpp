#include "io/node_task.h"

namespace eelgrassloft::io {

NodeTask::NodeTask(DaemonNode node, WallClock clock, Dependencies dependencies)
    : m_node(std::move(node))
    , m_clock(clock)
    , m_dependencies(dependencies)
{
}

awaitable<void> NodeTask::run()
{
    for (size_t messageCount = 1; !m_dependencies.mailbox.isClosed(); ++messageCount) {
        // Yields, so that connections are read and urgent messages can overtake a long backlog.
        if (messageCount % config::maxMessagesBeforeYield == 0)
            co_await asio::post(co_await asio::this_coro::executor, use_awaitable);
        auto message = co_await m_dependencies.mailbox.pop(m_clock.steadyTime(m_node.nextDeadline()));
        if (message)
            receive(std::move(*message));
        else
            step(Tick {});
    }
}

void NodeTask::receive(NodeMessage message)
{
    std::visit([&](auto& body) { handle(std::move(body)); }, message);
}

void NodeTask::step(const Event& event)
{
    if (const auto* written = std::get_if<LogWritten>(&event))
        sendReleased(*written);
    const auto start = std::chrono::steady_clock::now();
    Effects effects = m_node.step(m_clock.now(), event);
    m_timers[TimerKind::Step].add(std::chrono::steady_clock::now() - start);
    for (Effect& effect : effects)
        std::visit([&](auto& body) { perform(std::move(body)); }, effect);
}

void NodeTask::handle(SubmitRequest submit)
{
    submit.request.id = RequestId { m_nextId++ };
    // The server gives the time that remains; the core takes an absolute deadline.
    submit.request.deadline = m_clock.now() + submit.request.deadline.time_since_epoch();
    m_requests[submit.request.id] = { { submit.body, submit.contentType, submit.request.key }, submit.reply, std::chrono::steady_clock::now() };
    step(RequestArrived { std::move(submit.request) });
}

void NodeTask::handle(SubmitReport submit)
{
    const CallId call { m_nextId++ };
    m_workerCalls[call] = submit.reply;
    step(WorkerReported { call, std::move(submit.report) });
}

void NodeTask::handle(SubmitManifest submit)
{
    submit.change.call = CallId { m_nextId++ };
    m_operatorCalls[submit.change.call] = submit.reply;
    step(std::move(submit.change));
}

void NodeTask::handle(SubmitCancel submit)
{
    submit.cancel.call = CallId { m_nextId++ };
    m_operatorCalls[submit.cancel.call] = submit.reply;
    step(std::move(submit.cancel));
}

void NodeTask::handle(SubmitQuery submit)
{
    if (submit.kind == QueryKind::Metrics)
        submit.reply->tryPush({ true, metricsText() });
    else
        submit.reply->tryPush(answerQuery(m_node, submit, m_clock.now()));
}

std::string NodeTask::metricsText() const
{
    std::string text = counterText(m_node.counters());
    forEachValue<TimerKind>([&](TimerKind kind) { text += m_timers[kind].text(name(kind)); });
    text += gaugeText("revision", static_cast<double>(m_node.cell().stateMachine().revision));
    text += gaugeText("pending_requests", static_cast<double>(m_node.router().pendingCount()));
    text += gaugeText("attempts_in_flight", static_cast<double>(m_node.router().attemptCount()));
    text += gaugeText("key_records", static_cast<double>(m_node.dataCentre().stateMachine().idempotencyRecords.size()));
    text += gaugeText("peers_connected", static_cast<double>(m_node.peers().connected().size()));
    text += gaugeText("peers_rejected", static_cast<double>(m_dependencies.peers.rejectedPeers()));
    text += gaugeText("peer_messages_dropped", static_cast<double>(m_dependencies.peers.droppedMessages()));
    text += gaugeText("peer_queued_bytes", static_cast<double>(m_dependencies.peers.queuedBytes()));
    text += m_dependencies.upstreams.metricsText();
    return text;
}

void NodeTask::perform(DispatchAttempt effect)
{
    const auto found = m_requests.find(effect.request);
    if (found != m_requests.end())
        m_dependencies.upstreams.start(effect, found->second.payload, effect.deadline - m_clock.now());
}

void NodeTask::perform(AnswerCaller effect)
{
    const auto found = m_requests.find(effect.ended.request);
    if (found == m_requests.end())
        return;
    m_timers[TimerKind::Request].add(std::chrono::steady_clock::now() - found->second.arrivedAt);
    found->second.reply->tryPush(std::move(effect.ended));
    m_requests.erase(found);
}

void NodeTask::perform(AnswerWorker effect)
{
    const auto found = m_workerCalls.find(effect.call);
    if (found == m_workerCalls.end())
        return;
    found->second->tryPush(std::move(effect.reply));
    m_workerCalls.erase(found);
}

void NodeTask::perform(AnswerOperator effect)
{
    const auto found = m_operatorCalls.find(effect.call);
    if (found == m_operatorCalls.end())
        return;
    found->second->tryPush(std::move(effect.reply));
    m_operatorCalls.erase(found);
}

void NodeTask::perform(SendPeerMessage effect)
{
    if (const auto message = m_gate.admit(std::move(effect)))
        m_dependencies.peers.send(message->to, message->message);
}

void NodeTask::perform(WriteLog<CellStateMachine> effect) { m_dependencies.cellWriter.write(effect.incarnation, std::move(effect.write)); }

void NodeTask::perform(WriteLog<DataCentreStateMachine> effect)
{
    m_dependencies.dataCentreWriter.write(effect.incarnation, std::move(effect.write));
}

void NodeTask::perform(LogEvent effect) { m_dependencies.log.write(effect); }

void NodeTask::perform(DrainFinished effect) { m_dependencies.drained.tryPush(effect); }

void NodeTask::sendReleased(const LogWritten& event)
{
    for (const SendPeerMessage& message : m_gate.release(event))
        m_dependencies.peers.send(message.to, message.message);
}

} // namespace eelgrassloft::io
