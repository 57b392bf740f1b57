#pragma once

#include "fleet_counters.h"
#include "worker_orders.h"

#include "eelgrassloft/config.h"

#include <iterator>
#include <set>
#include <utility>

namespace eelgrassloft {

// Input events of the core of a control host or an entry host.

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

/// The log's writes up to `sequence` are durable.
struct WorkLogWritten {
    uint64_t sequence = 0;
};

/// The disk refuses the log's writes. They are retried, and `WorkLogWritten` follows once it takes them.
struct WorkLogRefused {
    std::string reason;
};

/// A caller, a worker or an operator made a call.
struct ControlCallReceived {
    CallId call;
    ControlRequest request;
    Time deadline {};
    bool mayHaveRun = false; ///< An earlier attempt may have had, or may still have, an effect.
};

struct OrderResponseReceived {
    CallId call;
    OrderResponse response;
};

struct AdviceReplyReceived {
    CallId call;
    AdviceReply reply;
};

/// The process was requested to stop.
struct FleetStopRequested {
};

/// The seed hosts in the settings changed.
struct SeedsChanged {
    std::vector<HostId> seeds;
};

/// The I/O layer refused what a worker sent.
struct InputRefused {
    FleetCounter counter = FleetCounter::ReportsRefused;
};

using FleetEvent = std::variant<FleetTick, FleetPeerUp, FleetPeerDown, FleetMessageReceived, WorkLogWritten, ControlCallReceived,
    OrderResponseReceived, AdviceReplyReceived, FleetStopRequested, SeedsChanged, InputRefused, WorkLogRefused>;

/// Kind of an event, for metrics and logs. Messages of other hosts count by the kind of message.
enum class FleetEventKind : uint8_t {
    Tick,
    PeerUp,
    PeerDown,
    LogWritten,
    ControlCall,
    OrderResponse,
    AdviceReply,
    StopRequested,
    SeedsChanged,
    InputRefused,
    LogRefused,
    MessageLogHello,
    MessageControlStatus,
    MessageEntryStatus,
    MessageConfigRequest,
    MessageConfigPart,
    MessageForwardedCall,
    MessageForwardedCallReply,
    MessageAdviceRequest,
    MessageAdviceReply,
    MessageWorkerCallRequest,
    MessageWorkerCallReply,
    MessageReplica,
    Count
};

constexpr NameTable<FleetEventKind> nameTable(FleetEventKind)
{
    constexpr NameTable<FleetEventKind> table { "tick", "peer_up", "peer_down", "log_written", "control_call", "order_response",
        "advice_reply", "stop_requested", "seeds_changed", "input_refused", "log_refused", "log_hello", "control_status", "entry_status", "config_request", "config_part", "forwarded_call",
        "forwarded_call_reply", "relayed_advice_call", "relayed_advice_reply", "relayed_worker_call", "relayed_worker_reply", "replica" };
    static_assert(detail::isComplete<FleetEventKind>(table));
    return table;
}

constexpr FleetEventKind kindOf(const FleetMessage& message)
{
    using Kind = FleetEventKind;
    constexpr std::array<Kind, std::variant_size_v<FleetMessage>> kinds { Kind::MessageLogHello, Kind::MessageControlStatus,
        Kind::MessageEntryStatus, Kind::MessageConfigRequest, Kind::MessageConfigPart, Kind::MessageForwardedCall, Kind::MessageForwardedCallReply, Kind::MessageAdviceRequest,
        Kind::MessageAdviceReply, Kind::MessageWorkerCallRequest, Kind::MessageWorkerCallReply, Kind::MessageReplica };
    return kinds[message.index()];
}

constexpr FleetEventKind kindOf(const FleetEvent& event)
{
    using Kind = FleetEventKind;
    constexpr std::array<Kind, std::variant_size_v<FleetEvent>> kinds { Kind::Tick, Kind::PeerUp, Kind::PeerDown, Kind::Count,
        Kind::LogWritten, Kind::ControlCall, Kind::OrderResponse, Kind::AdviceReply, Kind::StopRequested, Kind::SeedsChanged, Kind::InputRefused, Kind::LogRefused };
    const auto* received = std::get_if<FleetMessageReceived>(&event);
    return received ? kindOf(received->message) : kinds[event.index()];
}

/// Whether an event overtakes others that wait: the log's progress and the leader's lease rest on it.
constexpr bool isUrgent(FleetEventKind kind) { return kind == FleetEventKind::MessageReplica || kind == FleetEventKind::LogWritten || kind == FleetEventKind::LogRefused; }

// Effects, which the I/O layer carries out.

struct SendFleetMessage {
    HostId to;
    FleetMessage message;
    uint64_t afterWrite = 0; ///< Write that must be durable before the message is sent; 0 for none.
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

/// Keeps connections to exactly these hosts.
struct ConnectHosts {
    std::vector<HostId> hosts;
};

/// Adds a duration to the host's statistics.
struct RecordDuration {
    FleetTimer timer = FleetTimer::Count;
    Duration value {};
};

using FleetEffect = std::variant<SendFleetMessage, WriteWorkLog, SendControlReply, CallWorker, CallAdvice, ConnectHosts, LogEvent, RecordDuration>;

/// Collects the effects of one step of a core.
struct FleetStep {
    Time now {};
    std::vector<FleetEffect> effects;

    template <typename Effect>
    void emit(Effect effect) { effects.push_back(std::move(effect)); }

    void send(HostId to, FleetMessage message, uint64_t afterWrite = 0) { emit(SendFleetMessage { to, std::move(message), afterWrite }); }

    void measure(FleetTimer timer, Duration value) { emit(RecordDuration { timer, value }); }

    void log(LogEventKind kind, std::vector<LogField> fields) { emit(LogEvent { kind, std::move(fields) }); }
};

/// Steps a core with one event by itself.
template <typename Node>
std::vector<FleetEffect> stepNode(Node& node, Time now, const FleetEvent& event)
{
    std::vector<FleetEffect> effects = node.receive(now, event);
    std::vector<FleetEffect> more = node.finish(now);
    effects.insert(effects.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    return effects;
}

/// Settings of a control host or an entry host.
struct FleetSettings {
    HostId self;
    std::string dataCentre;
    std::string region;
    std::vector<HostId> seeds;
    bool mayForm = false; ///< Whether the host may bootstrap the log, at the first start of the fleet.
    uint32_t voters = 3; ///< Number of voters of the log once there are as many control hosts.
    Duration maxLease = std::chrono::seconds(5); ///< Longest lease that workers accept.
    Duration gangTimeout = std::chrono::seconds(3); ///< How long the members of a gang wait for each other.
    uint32_t maxWorkers = 4096; ///< Workers that may be registered at a time; ten times as many as the largest fleet has.
    double remoteFactor = 1; ///< Slowdown of a task that runs outside the rack of its data.
};

} // namespace eelgrassloft
