#pragma once

#include "io/event_log.h"
#include "io/log_writer.h"
#include "io/metrics.h"
#include "io/node_durability_gate.h"
#include "io/node_messages.h"
#include "io/peer_network.h"
#include "io/upstream_client.h"
#include "io/wall_clock.h"
#include "node.h"

#include <map>

namespace eelgrassloft::io {

using DaemonNode = Node<>;

/// Answers a query from the node's state, as JSON or, for `Ready`, as plain text. `NodeTask`
/// answers `Metrics` itself.
QueryReply answerQuery(const DaemonNode& node, const SubmitQuery& query, Time now);

/// Owns the core of a node. Takes messages from the mailbox one at a time, steps the core and passes
/// its effects to the tasks that own sockets and files.
class NodeTask {
public:
    struct Dependencies {
        NodeMailbox& mailbox;
        PeerNetwork& peers;
        UpstreamClient& upstreams;
        LogWriter<CellStateMachine, NodeLogWriteObserver>& cellWriter;
        LogWriter<DataCentreStateMachine, NodeLogWriteObserver>& dataCentreWriter;
        EventLog& log;
        Mailbox<DrainFinished>& drained;
    };

    NodeTask(DaemonNode node, WallClock clock, Dependencies dependencies);

    /// Runs until the mailbox is closed.
    awaitable<void> run();

private:
    struct PendingRequest {
        AttemptPayload payload;
        ReplyMailbox<EndedRequest> reply;
        std::chrono::steady_clock::time_point arrivedAt;
    };

    void receive(NodeMessage message);
    void handle(Event event) { step(event); }
    void handle(SubmitRequest submit);
    void handle(SubmitReport submit);
    void handle(SubmitManifest submit);
    void handle(SubmitCancel submit);
    void handle(SubmitQuery submit);
    void step(const Event& event);

    void perform(DispatchAttempt effect);
    void perform(AnswerCaller effect);
    void perform(AnswerWorker effect);
    void perform(AnswerOperator effect);
    void perform(SendPeerMessage effect);
    void perform(WriteLog<CellStateMachine> effect);
    void perform(WriteLog<DataCentreStateMachine> effect);
    void perform(LogEvent effect);
    void perform(DrainFinished effect);
    void sendReleased(const LogWritten& event);
    std::string metricsText() const;

    DaemonNode m_node;
    WallClock m_clock;
    Dependencies m_dependencies;
    uint64_t m_nextId = 1;
    std::map<RequestId, PendingRequest> m_requests;
    std::map<CallId, ReplyMailbox<WorkerReply>> m_workerCalls;
    std::map<CallId, ReplyMailbox<OperatorReply>> m_operatorCalls;
    EnumArray<TimerKind, DurationSummary> m_timers;
    NodeDurabilityGate m_gate;
};

} // namespace eelgrassloft::io
