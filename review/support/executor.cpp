#include "executor.h"

#include "http.h"

#include <future>

namespace review {

namespace {

constexpr size_t maxListedEnds = 500;
constexpr Milliseconds tickPeriod { 5 };
constexpr Milliseconds beatTimeout { 1000 };

} // namespace

/// One connection to an executor.
class Executor::Session : public std::enable_shared_from_this<Session> {
public:
    Session(Executor& executor, asio::ip::tcp::socket socket)
        : m_executor(executor)
        , m_stream(std::move(socket))
        , m_life(executor.m_life)
    {
    }

    void read()
    {
        m_request = {};
        http::async_read(m_stream, m_buffer, m_request, [self = shared_from_this()](beast::error_code error, size_t) {
            if (error || self->isStalled())
                return;
            self->m_executor.handle(self->m_request, [self](unsigned status, const Json& body) { self->write(status, body); });
        });
    }

    void abort()
    {
        beast::error_code ignored;
        m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        m_stream.socket().close(ignored);
    }

    void setStalled() { m_isStalled = true; }

private:
    bool isStalled() const { return m_isStalled || m_life != m_executor.m_life; }

    void write(unsigned status, const Json& body)
    {
        if (isStalled())
            return;
        m_response = {};
        m_response.version(11);
        m_response.result(status);
        m_response.set(http::field::content_type, "application/json");
        m_response.body() = body.dump();
        m_response.keep_alive(m_request.keep_alive());
        m_response.prepare_payload();
        http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code error, size_t) {
            if (!error && self->m_request.keep_alive() && !self->isStalled())
                self->read();
        });
    }

    Executor& m_executor;
    beast::tcp_stream m_stream;
    uint64_t m_life;
    bool m_isStalled = false;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
};

Executor::Executor(asio::io_context& context, Record& record, std::vector<RunEvent>& events, ExecutorOptions options)
    : m_context(context)
    , m_record(record)
    , m_events(events)
    , m_options(std::move(options))
    , m_acceptor(context)
    , m_timer(context)
{
    m_beater = std::thread([this] { beat(); });
}

Executor::~Executor() { stopHeartbeats(); }

void Executor::stopHeartbeats()
{
    m_isBeating = false;
    if (m_beater.joinable())
        m_beater.join();
}

// Lives.

void Executor::start()
{
    ++m_life;
    m_isUp = true;
    m_bornAt = m_record.now();
    m_born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    m_fence = m_sequence = 0;
    m_leaseEnd = 0;
    m_nextEnd = 1;
    m_runs.clear();
    m_highestStopped.clear();
    m_ends.clear();
    const size_t colon = m_options.address.rfind(':');
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_options.address.substr(0, colon)), static_cast<uint16_t>(std::stoul(m_options.address.substr(colon + 1))));
    m_acceptor = asio::ip::tcp::acceptor(m_context, endpoint);
    m_record.note("executor " + m_options.id + " starts, born " + std::to_string(m_born));
    accept();
    scheduleTick();
    m_nextBeat = m_bornAt + m_options.firstHeartbeatMs;
}

void Executor::crash()
{
    m_record.note("executor " + m_options.id + " crashes with " + std::to_string(m_runs.size()) + " runs");
    ++m_life;
    m_isUp = false;
    m_nextBeat = INT64_MAX;
    m_timer.cancel();
    beast::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& session : m_sessions) {
        if (const auto open = session.lock())
            open->abort();
    }
    m_sessions.clear();
    m_waiting.clear();
    for (const auto& [task, run] : m_runs)
        m_events.push_back({ RunEvent::Kind::Ended, m_record.now(), m_options.id, m_born, task, run.attempt, "crashed" });
    m_runs.clear();
}

void Executor::setCut(bool isCut)
{
    m_record.note("executor " + m_options.id + (isCut ? " is cut off with " : " is reachable again with ") + std::to_string(m_runs.size()) + " runs and " + std::to_string(m_ends.size()) + " ends");
    m_isCut = isCut;
    for (const auto& session : m_sessions) {
        const auto open = session.lock();
        if (open && isCut)
            open->setStalled();
        else if (open)
            open->abort();
    }
    if (!isCut)
        m_sessions.clear();
    m_waiting.clear();
}

void Executor::accept()
{
    m_acceptor.async_accept([this, life = m_life](beast::error_code error, asio::ip::tcp::socket socket) {
        if (error || life != m_life)
            return;
        beast::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto session = std::make_shared<Session>(*this, std::move(socket));
        std::erase_if(m_sessions, [](const auto& entry) { return entry.expired(); });
        m_sessions.push_back(session);
        if (m_isCut)
            session->setStalled();
        session->read();
        accept();
    });
}

// Work.

void Executor::scheduleTick()
{
    m_timer.expires_after(tickPeriod);
    m_timer.async_wait([this, life = m_life](beast::error_code error) {
        if (error || life != m_life)
            return;
        tick();
        scheduleTick();
    });
}

void Executor::tick()
{
    const int64_t now = clock();
    const bool isLapsed = !m_runs.empty() && now >= m_leaseEnd;
    m_lapses += isLapsed;
    for (auto i = m_runs.begin(); i != m_runs.end();) {
        const auto [task, run] = *i;
        std::string how;
        if (isLapsed)
            how = "lapsed";
        else if (run.stopsAt && now >= run.stopsAt)
            how = "stopped";
        else if (now >= run.startedAt + run.workMs)
            how = "done";
        if (how.empty()) {
            ++i;
            continue;
        }
        i = m_runs.erase(i);
        end(task, run, how);
    }
    std::vector<Waiting> due;
    std::erase_if(m_waiting, [&](const Waiting& waiting) {
        const bool isDue = !m_ends.empty() || now >= waiting.until;
        if (isDue)
            due.push_back(waiting);
        return isDue;
    });
    for (const Waiting& waiting : due)
        waiting.respond(200, lists());
}

void Executor::end(const std::string& task, const Run& run, const std::string& how)
{
    m_highestStopped[task] = std::max(m_highestStopped[task], run.attempt);
    m_ends.push_back({ m_nextEnd++, task, run.attempt, how, m_lapses });
    m_events.push_back({ RunEvent::Kind::Ended, m_record.now(), m_options.id, m_born, task, run.attempt, how });
    m_record.note("end " + task + " attempt " + std::to_string(run.attempt) + " " + how + " at " + m_options.id);
}

// Orders.

void Executor::handle(const http::request<http::string_body>& request, const Respond& respond)
{
    const std::string wanted(request["X-Eelgrassloft-Expect-Instance"]);
    if (!wanted.empty() && wanted != m_options.id) {
        respond(421, { { "clockMs", clock() } });
        return;
    }
    const Json order = Json::parse(request.body(), nullptr, false);
    const std::string path(request.target());
    if (!order.is_object())
        respond(400, { { "clockMs", clock() } });
    else if (path == "/eelgrassloft/run-start")
        startRun(order, respond);
    else if (path == "/eelgrassloft/run-stop")
        stopRun(order, respond);
    else if (path == "/eelgrassloft/hold")
        hold(order, respond);
    else
        respond(404, { { "clockMs", clock() } });
}

bool Executor::isFenced(const Json& order)
{
    const auto fence = order.value("fence", uint64_t {});
    if (fence < m_fence)
        return true;
    m_fence = fence;
    return false;
}

void Executor::extendLease(const Json& order)
{
    if (order.contains("deadlineMs"))
        m_leaseEnd = std::max(m_leaseEnd, std::min(order.at("deadlineMs").get<int64_t>(), clock() + m_options.maxHoldMs));
}

void Executor::startRun(const Json& order, const Respond& respond)
{
    const auto task = order.at("task").get<std::string>();
    const auto attempt = order.at("attempt").get<uint32_t>();
    const auto refuse = [&](const char* reason) { respond(409, { { "clockMs", clock() }, { "reason", reason } }); };
    if (isFenced(order)) {
        refuse("fence");
        return;
    }
    if (order.value("deadlineMs", int64_t {}) <= clock()) {
        refuse("late");
        return;
    }
    extendLease(order);
    const auto known = m_runs.find(task);
    const auto stopped = m_highestStopped.find(task);
    if (known != m_runs.end() && known->second.attempt == attempt) {
        respond(200, { { "clockMs", clock() } });
        return;
    }
    if (stopped != m_highestStopped.end() && attempt <= stopped->second) {
        refuse("old");
        return;
    }
    const auto spec = order.at("spec").get<std::string>();
    m_runs[task] = { attempt, clock(), std::stoll(spec.substr(spec.find("work=") + 5)), 0 };
    m_events.push_back({ RunEvent::Kind::Started, m_record.now(), m_options.id, m_born, task, attempt, {} });
    m_record.note("start " + task + " attempt " + std::to_string(attempt) + " fence " + std::to_string(m_fence) + " at " + m_options.id + " born " + std::to_string(m_born));
    respond(200, { { "clockMs", clock() } });
}

void Executor::stopRun(const Json& order, const Respond& respond)
{
    if (isFenced(order)) {
        respond(409, { { "clockMs", clock() }, { "reason", "fence" } });
        return;
    }
    const auto task = order.at("task").get<std::string>();
    const auto attempt = order.at("attempt").get<uint32_t>();
    m_highestStopped[task] = std::max(m_highestStopped[task], attempt);
    m_record.note("stop " + task + " attempt " + std::to_string(attempt) + " at " + m_options.id);
    const auto known = m_runs.find(task);
    if (known != m_runs.end() && known->second.attempt <= attempt && !known->second.stopsAt)
        known->second.stopsAt = clock() + m_options.stopMs / 2;
    respond(200, { { "clockMs", clock() } });
}

void Executor::hold(const Json& order, const Respond& respond)
{
    if (isFenced(order)) {
        respond(409, { { "clockMs", clock() }, { "reason", "fence" } });
        return;
    }
    extendLease(order);
    acknowledge(order.value("ackSeq", uint64_t {}));
    const int64_t waitMs = order.value("waitMs", int64_t {});
    if (!waitMs || !m_ends.empty())
        respond(200, lists());
    else
        m_waiting.push_back({ clock() + waitMs, respond });
}

void Executor::acknowledge(uint64_t number)
{
    for (const EndedRun& ended : m_ends) {
        if (ended.number > number)
            break;
        m_events.push_back({ RunEvent::Kind::Acknowledged, m_record.now(), m_options.id, m_born, ended.task, ended.attempt, ended.how, ended.lapses == m_lapses });
        m_record.note("acknowledged " + ended.task + " attempt " + std::to_string(ended.attempt) + " " + ended.how + " at " + m_options.id);
    }
    std::erase_if(m_ends, [&](const EndedRun& ended) { return ended.number <= number; });
}

Json Executor::lists() const
{
    Json running = Json::array();
    for (const auto& [task, run] : m_runs) {
        const int64_t percent = std::min<int64_t>(99, (clock() - run.startedAt) * 100 / std::max<int64_t>(1, run.workMs));
        running.push_back({ task, run.attempt, "", percent, 0 });
    }
    Json ended = Json::array();
    for (size_t i = 0; i < std::min(m_ends.size(), maxListedEnds); ++i)
        ended.push_back({ m_ends[i].number, m_ends[i].task, m_ends[i].attempt, m_ends[i].how, "" });
    return { { "clockMs", clock() }, { "born", m_born }, { "running", running }, { "endedRuns", ended } };
}

// Heartbeats.

std::string Executor::heartbeat()
{
    const Json body { { "service", m_options.service }, { "addr", m_options.address }, { "zone", m_options.zone }, { "version", "v1" }, { "slots", 8 },
        { "state", "ready" }, { "coldLeftMs", 0 }, { "capacity", { { "cpu", m_options.cpu }, { "memMb", m_options.memMb }, { "gpu", 0 } } },
        { "labels", { "a", m_options.rack } }, { "clockMs", clock() }, { "seq", ++m_sequence }, { "born", m_born } };
    return body.dump();
}

/// Sends the heartbeats, on a thread of its own.
void Executor::beat()
{
    size_t next = std::hash<std::string> {}(m_options.id);
    while (m_isBeating) {
        std::this_thread::sleep_for(tickPeriod);
        if (m_record.now() < m_nextBeat)
            continue;
        m_nextBeat = m_nextBeat + m_options.heartbeatMs;
        std::promise<std::string> promise;
        asio::post(m_context, [&] { promise.set_value(m_isUp && !m_isCut ? heartbeat() : std::string()); });
        const std::string body = promise.get_future().get();
        for (size_t tries = 0; !body.empty() && tries < m_options.controls.size(); ++tries) {
            const std::string& control = m_options.controls[next % m_options.controls.size()];
            const auto reply = callHttp({ control, "PUT", "/eelgrassloft/instances/" + m_options.id, {}, body, beatTimeout });
            if (reply && reply->status / 100 == 2)
                break;
            ++next;
        }
    }
}

} // namespace review
