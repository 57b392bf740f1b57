#pragma once

#include "fleet_counters.h"
#include "worker_orders.h"

#include "eelgrassloft/config.h"

#include <set>
#include <utility>

namespace eelgrassloft {

// Events that enter the core of a control host or an entry host.

struct FleetTick {
};

struct FleetPeerUp {
    HostId host;
};

struct FleetPeerDown {
    HostId host;
};

struct FleetMessageReceived {
    HostId host;
    FleetMessage message;
};

/// The log's writes up to this one are durable.
struct WorkLogWritten {
    uint64_t sequence = 0;
};

/// A call of a caller, a worker or an operator.
struct ControlCallReceived {
    CallId call;
    ControlRequest request;
    Time deadline {};
};

struct OrderResponseReceived {
    CallId call;
    OrderResponse answer;
};

struct AdviceReplyReceived {
    CallId call;
    AdviceReply reply;
};

/// The process was asked to stop.
struct FleetStopRequested {
};

/// Hosts that the settings name as a way into the fleet.
struct SeedsChanged {
    std::vector<HostId> seeds;
};

using FleetEvent = std::variant<FleetTick, FleetPeerUp, FleetPeerDown, FleetMessageReceived, WorkLogWritten, ControlCallReceived,
    OrderResponseReceived, AdviceReplyReceived, FleetStopRequested, SeedsChanged>;

// Effects for the shell.

struct SendFleetMessage {
    HostId to;
    FleetMessage message;
    uint64_t afterWrite = 0; ///< The message may leave once this write is durable.
};

struct WriteWorkLog {
    uint64_t incarnation = 0;
    LogWrite<WorkTable> write;
};

struct SendControlReply {
    CallId call;
    ControlReply reply;
};

struct CallWorker {
    CallId call;
    std::string workerId;
    std::string address;
    WorkerOrder order;
};

struct CallAdvice {
    CallId call;
    AdviceRequest request;
};

/// Hosts to keep links to.
struct ConnectHosts {
    std::vector<HostId> hosts;
};

/// A duration for the host's statistics.
struct RecordDuration {
    FleetTimer timer = FleetTimer::Count;
    Duration value {};
};

using FleetEffect = std::variant<SendFleetMessage, WriteWorkLog, SendControlReply, CallWorker, CallAdvice, ConnectHosts, LogEvent, RecordDuration>;

/// What one step of a core collects.
struct FleetStep {
    Time now {};
    std::vector<FleetEffect> effects;

    template <typename Effect>
    void emit(Effect effect) { effects.push_back(std::move(effect)); }

    void send(HostId to, FleetMessage message, uint64_t afterWrite = 0) { emit(SendFleetMessage { to, std::move(message), afterWrite }); }

    void measure(FleetTimer timer, Duration value) { emit(RecordDuration { timer, value }); }

    void log(LogEventKind kind, std::vector<LogField> fields) { emit(LogEvent { kind, std::move(fields) }); }
};

/// What a process of a fleet knows at its start.
struct FleetSettings {
    HostId self;
    std::string dataCentre;
    std::string region;
    std::vector<HostId> seeds;
    bool mayForm = false; ///< The whole fleet starts for the first time.
    uint32_t voters = 3; ///< Members of the log that vote, once there are as many hosts.
    Duration maxLease = std::chrono::seconds(5); ///< Longest lease that workers grant.
    Duration gangTimeout = std::chrono::seconds(3); ///< How long a gang's members wait for each other.
    double remoteFactor = 1; ///< Slowdown of a task away from its data.
};

} // namespace eelgrassloft
