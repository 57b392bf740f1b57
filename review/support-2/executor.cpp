// Stand-in for one life of an executor, as PROTOCOL.md describes it: run-start, run-stop, hold,
// heartbeats, leases on its own steady clock, fences and numbered ends. It follows what the job's
// `spec` says, words with blanks between:
//   work=MS       a run ends after MS of work
//   lasts         a run never ends by itself
//   fails=A@MS    runs up to attempt A end `failed` after MS
// Each life is a process of its own, so that a crash is a SIGKILL. A life with `--sick 1` leaves its first
// start order unanswered, answers 503 to the next without doing anything, and crashes once it has
// answered the stop that follows.

#include "http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <mutex>
#include <sstream>
#include <utility>
#include <vector>

using namespace review;
using Json = nlohmann::json;

namespace {

volatile std::sig_atomic_t isLeaving = 0; ///< Set by SIGTERM: the executor drains and leaves.

struct Options {
    std::string id;
    Address address;
    Address reported; ///< The address in its reports; another one where a proxy stands before it.
    std::vector<Address> controls;
    std::string service;
    std::string zone;
    std::string machine;
    std::string record;
    std::string kind;
    std::string rack;
    int64_t maxHoldMs = 10'000;
    int64_t stopMs = 400;
    int64_t heartbeatMs = 1500;
    bool isSick = false;
    int64_t drainMs = 2500;
    int64_t lingerMs = 500; ///< Of serving after `drainMs`.
};

struct Run {
    int64_t startedAt = 0;
    int64_t workMs = 0; ///< 0: lasts.
    bool willFail = false;
    int64_t stopAt = 0; ///< When a stop takes effect; 0 for none.
};

using RunKey = std::pair<std::string, int64_t>;

struct End {
    int64_t number = 0;
    RunKey run;
    std::string how;
};

class Executor {
public:
    explicit Executor(Options options)
        : m_options(std::move(options))
        , m_startedAt(steadyMs())
        , m_born(unixMs())
    {
        m_record = ::open(m_options.record.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    }

    int run()
    {
        const int listener = listenOn(m_options.address);
        if (listener < 0)
            return 2;
        note("up born=" + std::to_string(m_born));
        std::thread([this] { tickForever(); }).detach();
        std::thread([this] { reportForever(); }).detach();
        const HttpHandler handler = [this](const HttpRequest& request) { return answer(request); };
        serveForever(listener, handler);
        return 0;
    }

private:
    int64_t clock() const { return steadyMs() - m_startedAt; }

    void note(const std::string& text)
    {
        const std::string line = std::to_string(unixMs()) + " executor " + m_options.id + " " + text + "\n";
        [[maybe_unused]] const auto written = ::write(m_record, line.data(), line.size());
    }

    static std::string nameOf(const RunKey& run) { return run.first + " run=" + std::to_string(run.second); }

    void end(const RunKey& run, const std::string& how)
    {
        m_ends.push_back({ m_nextEnd++, run, how });
        int64_t& last = m_lastEnded[run.first];
        last = std::max(last, run.second);
        m_runs.erase(run);
        note("end " + nameOf(run) + " how=" + how);
    }

    void tickForever()
    {
        while (true) {
            sleepMs(5);
            const std::lock_guard lock(m_mutex);
            const int64_t now = clock();
            const bool isLapsed = now >= m_leaseEnd;
            for (const auto& [key, run] : std::map<RunKey, Run>(m_runs)) {
                if (isLapsed)
                    end(key, "lapsed");
                else if (run.stopAt && now >= run.stopAt)
                    end(key, "stopped");
                else if (run.workMs && now >= run.startedAt + run.workMs)
                    end(key, run.willFail ? "failed" : "done");
            }
        }
    }

    void reportForever()
    {
        int64_t sequence = 1;
        size_t next = std::hash<std::string> {}(m_options.id) % m_options.controls.size();
        while (true) {
            if (isLeaving && !m_isDraining.exchange(true))
                note("draining");
            const Json body { { "service", m_options.service }, { "addr", m_options.reported.text() }, { "zone", m_options.zone }, { "version", "v1" }, { "slots", 8 },
                { "state", m_isDraining ? "draining" : "ready" }, { "coldLeftMs", 0 }, { "capacity", { { "cpu", 16000 }, { "memMb", 32768 }, { "gpu", 0 } } }, { "labels", { m_options.kind, m_options.rack } },
                { "machine", m_options.machine }, { "born", m_born }, { "clockMs", clock() }, { "seq", sequence++ } };
            const HttpReply reply = httpCall(m_options.controls[next], "PUT", "/eelgrassloft/instances/" + m_options.id, m_options.controls[next].text(), body.dump(), 1000, {}, m_options.address.ip);
            if (reply.status / 100 == 2) {
                if (m_isDraining)
                    leave(m_options.controls[next]);
                for (int64_t left = m_options.heartbeatMs; left > 0 && !(isLeaving && !m_isDraining); left -= 50)
                    sleepMs(50);
            } else {
                next = (next + 1) % m_options.controls.size();
                sleepMs(100);
            }
        }
    }

    void crashSoon()
    {
        sleepMs(100);
        note("crash");
        ::_exit(1);
    }

    /// Ends after an acknowledged report that it drains.
    void leave(const Address& control)
    {
        note("draining-acknowledged");
        sleepMs(m_options.drainMs + m_options.lingerMs);
        const std::lock_guard lock(m_mutex);
        note("left");
        httpCall(control, "DELETE", "/eelgrassloft/instances/" + m_options.id, control.text(), {}, 1000, {}, m_options.address.ip);
        ::_exit(0);
    }

    std::optional<HttpReply> answer(const HttpRequest& request)
    {
        const auto expected = request.headers.find("x-eelgrassloft-expect-instance");
        if (expected != request.headers.end() && expected->second != m_options.id)
            return HttpReply { 421, "{}" };
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return HttpReply { 400, "{}" };
        if (request.path == "/eelgrassloft/run-start" && m_options.isSick)
            return failStart(body);
        if (request.path == "/eelgrassloft/run-start")
            return start(body);
        if (request.path == "/eelgrassloft/run-stop")
            return stop(body);
        if (request.path == "/eelgrassloft/hold")
            return hold(body);
        return HttpReply { 404, "{}" };
    }

    /// Returns whether the fence is too low, and keeps the highest.
    bool isFenced(const Json& body)
    {
        const int64_t fence = body.value("fence", int64_t {});
        if (fence < m_fence)
            return true;
        m_fence = fence;
        return false;
    }

    /// Takes the lease of an order: at most `maxHoldMs` from now, and never shorter than before.
    void takeLease(const Json& body)
    {
        const int64_t deadline = body.value("deadlineMs", int64_t {});
        if (deadline)
            m_leaseEnd = std::max(m_leaseEnd, std::min(deadline, clock() + m_options.maxHoldMs));
    }

    HttpReply refusal(const char* reason) const { return { 409, Json { { "clockMs", clock() }, { "reason", reason } }.dump() }; }
    HttpReply accepted() const { return { 200, Json { { "clockMs", clock() } }.dump() }; }

    HttpReply start(const Json& body)
    {
        const std::lock_guard lock(m_mutex);
        const RunKey key { body.at("task").get<std::string>(), body.at("attempt").get<int64_t>() };
        const std::string fence = std::to_string(body.value("fence", int64_t {}));
        if (isFenced(body))
            return refusal("fence");
        if (body.value("deadlineMs", int64_t {}) <= clock())
            return refusal("late");
        takeLease(body);
        if (m_runs.count(key))
            return accepted();
        const auto last = m_lastEnded.find(key.first);
        if (last != m_lastEnded.end() && key.second <= last->second)
            return refusal("old");
        Run run;
        run.startedAt = clock();
        std::istringstream words(body.value("spec", std::string()));
        for (std::string word; words >> word;) {
            const size_t at = word.find('@');
            if (word.starts_with("work=")) {
                run.workMs = run.workMs ? run.workMs : std::stoll(word.substr(5));
            } else if (word.starts_with("fails=") && key.second <= std::stoll(word.substr(6, at - 6))) {
                run.workMs = std::stoll(word.substr(at + 1));
                run.willFail = true;
            }
        }
        m_runs[key] = run;
        note("start " + nameOf(key) + " fence=" + fence);
        return accepted();
    }

    std::optional<HttpReply> failStart(const Json& body)
    {
        const bool isFirst = !m_failedStarts++;
        note("refused-start " + nameOf({ body.at("task").get<std::string>(), body.at("attempt").get<int64_t>() }) + (isFirst ? " no-answer" : " status-503"));
        if (!isFirst)
            return HttpReply { 503, "{}" };
        sleepMs(2000); // Longer than the caller waits; the process has crashed before it would carry the order out.
        return std::nullopt;
    }

    HttpReply stop(const Json& body)
    {
        if (m_failedStarts > 1)
            std::thread([this] { crashSoon(); }).detach();
        const std::lock_guard lock(m_mutex);
        const RunKey key { body.at("task").get<std::string>(), body.at("attempt").get<int64_t>() };
        if (isFenced(body))
            return refusal("fence");
        note("stop " + nameOf(key));
        const auto found = m_runs.find(key);
        if (found == m_runs.end()) {
            int64_t& last = m_lastEnded[key.first];
            last = std::max(last, key.second);
        } else if (!found->second.stopAt) {
            found->second.stopAt = clock() + m_options.stopMs / 2;
        }
        return accepted();
    }

    HttpReply hold(const Json& body)
    {
        const int64_t until = steadyMs() + std::min<int64_t>(body.value("waitMs", int64_t {}), 2000);
        std::unique_lock lock(m_mutex);
        if (isFenced(body))
            return refusal("fence");
        takeLease(body);
        const int64_t acknowledged = body.value("ackSeq", int64_t {});
        for (const End& end : m_ends) {
            if (end.number <= acknowledged)
                note("acknowledged " + nameOf(end.run));
        }
        std::erase_if(m_ends, [&](const End& end) { return end.number <= acknowledged; });
        if (!std::exchange(m_wasCalled, true))
            note("first-hold fence=" + std::to_string(m_fence));
        while (m_ends.empty() && steadyMs() < until) {
            lock.unlock();
            sleepMs(5);
            lock.lock();
        }
        Json running = Json::array();
        for (const auto& [key, run] : m_runs) {
            const int64_t age = clock() - run.startedAt;
            const int64_t percent = run.workMs && !run.willFail ? std::min<int64_t>(99, age * 100 / run.workMs) : age > 200 ? 100
                                                                                                                            : 0;
            running.push_back({ key.first, key.second, "", percent, 100 });
        }
        Json ended = Json::array();
        for (const End& end : m_ends) {
            if (ended.size() < 500)
                ended.push_back({ end.number, end.run.first, end.run.second, end.how, "" });
        }
        return { 200, Json { { "clockMs", clock() }, { "born", m_born }, { "running", running }, { "endedRuns", ended } }.dump() };
    }

    Options m_options;
    int64_t m_startedAt;
    int64_t m_born;
    int m_record = -1;
    std::atomic<bool> m_isDraining = false;
    std::atomic<int> m_failedStarts = 0; ///< Of a sick life.
    std::mutex m_mutex;
    int64_t m_fence = 0;
    bool m_wasCalled = false; ///< Whether the system has called this life.
    int64_t m_leaseEnd = 0;
    std::map<RunKey, Run> m_runs;
    std::vector<End> m_ends;
    int64_t m_nextEnd = 1;
    std::map<std::string, int64_t> m_lastEnded; ///< Highest run of each task that was stopped or has ended here.
};

} // namespace

int main(int argc, char** argv)
{
    ::signal(SIGTERM, [](int) { isLeaving = 1; });
    ::signal(SIGPIPE, SIG_IGN);
    Options options;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        const std::string value = argv[i + 1];
        if (name == "--id")
            options.id = value;
        else if (name == "--address")
            options.address = Address::parse(value);
        else if (name == "--reported-address")
            options.reported = Address::parse(value);
        else if (name == "--control")
            options.controls.push_back(Address::parse(value));
        else if (name == "--service")
            options.service = value;
        else if (name == "--zone")
            options.zone = value;
        else if (name == "--machine")
            options.machine = value;
        else if (name == "--record")
            options.record = value;
        else if (name == "--kind")
            options.kind = value;
        else if (name == "--rack")
            options.rack = value;
        else if (name == "--sick")
            options.isSick = value == "1";
        else if (name == "--max-hold-ms")
            options.maxHoldMs = std::stoll(value);
    }
    if (options.id.empty() || options.controls.empty()) {
        std::fprintf(stderr, "usage: executor --id ID --address IP:PORT --control IP:PORT ... --service NAME --zone ZONE --machine NAME --kind LABEL --rack LABEL --record FILE\n");
        return 2;
    }
    if (!options.reported.port)
        options.reported = options.address;
    return Executor(std::move(options)).run();
}
