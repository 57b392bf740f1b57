#pragma once

#include "record.h"

#include <utility> // Boost 1.74 uses std::exchange without it.

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Json = nlohmann::json;

/// What an executor saw of a run.
struct RunEvent {
    enum class Kind { Started,
        Ended,
        Acknowledged };

    Kind kind = Kind::Started;
    int64_t at = 0;
    std::string executor;
    int64_t born = 0;
    std::string task;
    uint32_t attempt = 0;
    std::string how; ///< Of an end. `crashed` for runs that a crash has ended; no list ever holds these.
    bool isLeaseUnbroken = true; ///< Of an acknowledged end: the lease did not lapse in between.
};

struct ExecutorOptions {
    std::string id;
    std::string address; ///< IP:PORT.
    std::string service;
    std::string zone;
    std::string rack;
    std::vector<std::string> controls; ///< Where it sends its heartbeats.
    uint32_t cpu = 16000;
    uint32_t memMb = 32768;
    int64_t maxHoldMs = 10000;
    int64_t stopMs = 400;
    int64_t heartbeatMs = 1500;
    int64_t firstHeartbeatMs = 0; ///< From a start until the first heartbeat.
};

/// Stand-in of an executor, as the platform's pages describe it. A task works for as long as its spec
/// says (`work=MS`). All state belongs to the thread of the context.
class Executor {
public:
    using Respond = std::function<void(unsigned status, Json body)>;

    Executor(asio::io_context& context, Record& record, std::vector<RunEvent>& events, ExecutorOptions options);
    ~Executor();

    /// Starts a life: listens, and begins to send heartbeats.
    void start();
    /// Ends this life at once. Connections are closed, nothing is kept.
    void crash();
    /// While cut off, nothing arrives and nothing leaves; what runs runs on. Connections that were open
    /// in between are reset when the cut heals.
    void setCut(bool isCut);
    void stopHeartbeats();

    bool isUp() const { return m_isUp; }
    size_t runningCount() const { return m_runs.size(); }
    const ExecutorOptions& options() const { return m_options; }

private:
    class Session;

    struct Run {
        uint32_t attempt = 0;
        int64_t startedAt = 0; ///< On the executor's clock.
        int64_t workMs = 0;
        int64_t stopsAt = 0; ///< 0 if no stop was ordered.
    };

    struct EndedRun {
        uint64_t number = 0;
        std::string task;
        uint32_t attempt = 0;
        std::string how;
        uint64_t lapses = 0; ///< Number of leases that had lapsed by then.
    };

    struct Waiting {
        int64_t until = 0;
        Respond respond;
    };

    int64_t clock() const { return m_record.now() - m_bornAt; }
    void accept();
    void scheduleTick();
    void tick();
    void end(const std::string& task, const Run& run, const std::string& how);
    void handle(const http::request<http::string_body>& request, const Respond& respond);
    void startRun(const Json& order, const Respond& respond);
    void stopRun(const Json& order, const Respond& respond);
    void hold(const Json& order, const Respond& respond);
    bool isFenced(const Json& order);
    void extendLease(const Json& order);
    void acknowledge(uint64_t number);
    Json lists() const;
    std::string heartbeat();
    void beat();

    asio::io_context& m_context;
    Record& m_record;
    std::vector<RunEvent>& m_events;
    ExecutorOptions m_options;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::vector<std::weak_ptr<Session>> m_sessions;
    bool m_isUp = false;
    bool m_isCut = false;
    uint64_t m_life = 0;
    int64_t m_bornAt = 0; ///< In the record's time.
    int64_t m_born = 0; ///< Unix time in ms.
    uint64_t m_fence = 0;
    int64_t m_leaseEnd = 0;
    uint64_t m_lapses = 0;
    uint64_t m_nextEnd = 1;
    uint64_t m_sequence = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, uint32_t> m_highestStopped;
    std::vector<EndedRun> m_ends;
    std::vector<Waiting> m_waiting;
    std::thread m_beater;
    std::atomic<bool> m_isBeating = true;
    std::atomic<int64_t> m_nextBeat = INT64_MAX;
};

} // namespace review
