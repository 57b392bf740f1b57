// Stand-ins of the third review: an executor, a client and an operator, each a process of its own, as the pages
// of the platform describe them. Every event goes to a record, one line each: milliseconds of the steady clock
// of the machine, who, what.
//
//     standin worker ID ADDRESS SERVICE CPU MEM HOLD_MAX_MS RECORD CONTROL...
//     standin call METHOD ADDRESS HOST PATH [BODY]             prints the status and the body
//     standin load ADDRESS HOST PREFIX BODY PER_SECOND SECONDS RECORD FIRST_ID   submits jobs, and repeats as clients do
//     standin now                                              prints the steady clock
//
// The executor takes its work from the `spec` of a task: `work=MS`, or `lasting` for one that ends only when it
// is stopped.

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Json = nlohmann::json;

namespace {

int64_t steadyMs() { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count(); }
int64_t unixMs() { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }
void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

tcp::endpoint endpointOf(const std::string& text)
{
    const size_t colon = text.rfind(':');
    return { asio::ip::make_address(text.substr(0, colon)), static_cast<uint16_t>(std::stoi(text.substr(colon + 1))) };
}

/// Appends whole lines, also from several processes.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    {
    }
    void write(const std::string& text) const
    {
        const std::string line = std::to_string(steadyMs()) + " " + text + "\n";
        if (::write(m_file, line.data(), line.size()) < 0)
            std::perror("record");
    }

private:
    int m_file;
};

/// Sends one request on a connection of its own. Status 0: no response in time.
std::pair<unsigned, std::string> exchange(const std::string& address, http::verb method, const std::string& host, const std::string& path, const std::string& body, int timeoutMs, const std::string& deadline = {})
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    http::request<http::string_body> request(method, path, 11);
    request.set(http::field::host, host);
    request.set(http::field::content_type, "application/json");
    if (!deadline.empty())
        request.set("X-Eelgrassloft-Deadline-Ms", deadline);
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    unsigned status = 0;
    stream.expires_after(std::chrono::milliseconds(timeoutMs));
    stream.async_connect(endpointOf(address), [&](beast::error_code error) {
        if (error)
            return;
        http::async_write(stream, request, [&](beast::error_code writeError, size_t) {
            if (writeError)
                return;
            http::async_read(stream, buffer, response, [&](beast::error_code readError, size_t) {
                if (!readError)
                    status = response.result_int();
            });
        });
    });
    context.run();
    return { status, response.body() };
}

// Executor.

class Worker {
public:
    Worker(std::string id, std::string address, std::string service, uint32_t cpu, uint32_t mem, int64_t holdMax, const std::string& record, std::vector<std::string> controls)
        : m_id(std::move(id))
        , m_address(std::move(address))
        , m_service(std::move(service))
        , m_cpu(cpu)
        , m_mem(mem)
        , m_holdMax(holdMax)
        , m_record(record)
        , m_controls(std::move(controls))
        , m_born(unixMs())
        , m_startedAt(steadyMs())
    {
    }

    void run()
    {
        asio::io_context context;
        tcp::acceptor acceptor(context, endpointOf(m_address));
        m_record.write(m_id + " up born=" + std::to_string(m_born));
        std::thread([this] { work(); }).detach();
        std::thread([this] { beat(); }).detach();
        std::thread([this] { leaveOnRequest(); }).detach();
        while (true) {
            tcp::socket socket = acceptor.accept();
            socket.set_option(tcp::no_delay(true));
            std::thread([this, connection = std::make_shared<tcp::socket>(std::move(socket))] { serve(*connection); }).detach();
        }
    }

private:
    struct Run {
        uint32_t attempt = 0;
        int64_t startedAt = 0;
        int64_t length = 0; ///< 0: lasts.
    };

    int64_t clock() const { return 1000 + steadyMs() - m_startedAt; }

    /// Ends runs that are done, or all once the lease has ended.
    void work()
    {
        while (true) {
            sleepMs(5);
            const std::lock_guard lock(m_mutex);
            const bool isLapsed = clock() >= m_leaseEnd;
            for (auto i = m_running.begin(); i != m_running.end();) {
                const auto current = i++;
                const Run& run = current->second;
                if (isLapsed)
                    end(current->first, "lapsed");
                else if (run.length && steadyMs() - run.startedAt >= run.length)
                    end(current->first, "done");
            }
        }
    }

    void end(const std::string task, const std::string& how)
    {
        const auto found = m_running.find(task);
        const uint32_t attempt = found->second.attempt;
        m_running.erase(found);
        m_highestEnded[task] = std::max(m_highestEnded[task], attempt);
        ++m_lastEnd;
        m_ends[m_lastEnd] = Json { m_lastEnd, task, attempt, how, "" };
        m_record.write(m_id + " ended " + task + " run=" + std::to_string(attempt) + " " + how);
        m_ended.notify_all();
    }

    std::string report()
    {
        return Json { { "service", m_service }, { "addr", m_address }, { "zone", "zone-1" }, { "version", "v1" }, { "slots", 8 }, { "state", m_isLeaving ? "draining" : "ready" }, { "coldLeftMs", 0 },
            { "capacity", { { "cpu", m_cpu }, { "memMb", m_mem }, { "gpu", 0 } } }, { "labels", { "a", "r1-1" } }, { "clockMs", clock() }, { "seq", ++m_sequence }, { "born", m_born } }
            .dump();
    }

    /// A planned end, upon SIGTERM: the executor says that it is draining, serves on for `drainMs` after the
    /// acknowledgement, signs off and ends.
    void leaveOnRequest()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        int signal = 0;
        sigwait(&signals, &signal);
        m_isLeaving = true;
        m_record.write(m_id + " leaves");
        while (!m_isLeavingAcknowledged)
            sleepMs(5);
        m_record.write(m_id + " draining acknowledged");
        sleepMs(drainTime);
        for (size_t i = 0; i < 6; ++i) {
            const auto [status, body] = exchange(m_controls[i % m_controls.size()], http::verb::delete_, "control", "/eelgrassloft/instances/" + m_id, {}, 1000);
            if (status / 100 == 2)
                break;
        }
        const std::lock_guard lock(m_mutex);
        for (const auto& [task, run] : m_running)
            m_record.write(m_id + " ended " + task + " run=" + std::to_string(run.attempt) + " with its executor");
        m_record.write(m_id + " gone");
        ::_exit(0);
    }

    void beat()
    {
        size_t next = 0;
        while (true) {
            const bool isLeaving = m_isLeaving;
            const auto [status, body] = exchange(m_controls[next % m_controls.size()], http::verb::put, "control", "/eelgrassloft/instances/" + m_id, report(), 1000);
            if (status / 100 == 2) {
                m_isLeavingAcknowledged = isLeaving;
                const int64_t until = steadyMs() + 1500;
                while (steadyMs() < until && m_isLeaving == isLeaving)
                    sleepMs(5);
            } else {
                ++next;
                sleepMs(100);
            }
        }
    }

    void serve(tcp::socket& socket)
    {
        beast::flat_buffer buffer;
        beast::error_code error;
        while (true) {
            http::request<http::string_body> request;
            http::read(socket, buffer, request, error);
            if (error)
                return;
            http::response<http::string_body> response = respond(request);
            response.keep_alive(request.keep_alive());
            response.prepare_payload();
            http::write(socket, response, error);
            if (error)
                return;
        }
    }

    http::response<http::string_body> respond(const http::request<http::string_body>& request)
    {
        http::response<http::string_body> response(http::status::ok, 11);
        response.set(http::field::content_type, "application/json");
        if (request["X-Eelgrassloft-Expect-Instance"] != m_id) {
            response.result(http::status::misdirected_request);
            return response;
        }
        const Json order = Json::parse(request.body());
        const std::string path(request.target());
        std::unique_lock lock(m_mutex);
        Json reply { { "clockMs", clock() } };
        const uint64_t fence = order.value("fence", uint64_t {});
        std::string refusal;
        if (fence < m_fence) {
            refusal = "fence";
        } else {
            m_fence = fence;
            if (order.contains("deadlineMs"))
                m_leaseEnd = std::max(m_leaseEnd, std::min(order["deadlineMs"].get<int64_t>(), clock() + m_holdMax));
            if (path == "/eelgrassloft/run-start")
                refusal = start(order);
            else if (path == "/eelgrassloft/run-stop")
                stop(order);
            else
                hold(order, reply, lock);
        }
        if (!refusal.empty()) {
            response.result(http::status::conflict);
            reply["reason"] = refusal;
        }
        response.body() = reply.dump();
        return response;
    }

    std::string start(const Json& order)
    {
        const auto task = order["task"].get<std::string>();
        const auto attempt = order["attempt"].get<uint32_t>();
        const auto running = m_running.find(task);
        if (running != m_running.end() && running->second.attempt == attempt)
            return {};
        if (attempt <= m_highestEnded[task] || running != m_running.end())
            return "old";
        if (m_leaseEnd <= clock())
            return "late";
        const auto spec = order.value("spec", std::string());
        m_running[task] = { attempt, steadyMs(), spec.starts_with("work=") ? std::stoll(spec.substr(5)) : 0 };
        m_record.write(m_id + " start " + task + " run=" + std::to_string(attempt));
        return {};
    }

    void stop(const Json& order)
    {
        const auto task = order["task"].get<std::string>();
        const auto attempt = order["attempt"].get<uint32_t>();
        const auto running = m_running.find(task);
        if (running != m_running.end() && running->second.attempt == attempt)
            end(task, "stopped");
        m_highestEnded[task] = std::max(m_highestEnded[task], attempt);
    }

    void hold(const Json& order, Json& reply, std::unique_lock<std::mutex>& lock)
    {
        m_ends.erase(m_ends.begin(), m_ends.upper_bound(order.value("ackSeq", uint64_t {})));
        const int64_t wait = std::min<int64_t>(order.value("waitMs", int64_t {}), 2000);
        m_ended.wait_for(lock, std::chrono::milliseconds(wait), [&] { return !m_ends.empty(); });
        reply["clockMs"] = clock();
        reply["born"] = m_born;
        reply["running"] = Json::array();
        for (const auto& [task, run] : m_running) {
            const int64_t atWork = steadyMs() - run.startedAt;
            const int64_t percent = run.length ? std::min<int64_t>(99, atWork * 100 / run.length) : (atWork >= startup ? 100 : 0);
            reply["running"].push_back(Json { task, run.attempt, "", percent, 0 });
        }
        reply["endedRuns"] = Json::array();
        for (const auto& [number, row] : m_ends) {
            if (reply["endedRuns"].size() < 500)
                reply["endedRuns"].push_back(row);
        }
    }

    static constexpr int64_t drainTime = 2500;
    static constexpr int64_t startup = 200; ///< Until a lasting task is at work.

    std::string m_id;
    std::string m_address;
    std::string m_service;
    uint32_t m_cpu;
    uint32_t m_mem;
    int64_t m_holdMax;
    Record m_record;
    std::vector<std::string> m_controls;
    int64_t m_born;
    int64_t m_startedAt;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::map<std::string, Run> m_running;
    std::map<std::string, uint32_t> m_highestEnded; ///< Of the runs that were stopped or have ended here.
    std::map<uint64_t, Json> m_ends;
    uint64_t m_lastEnd = 0;
    uint64_t m_fence = 0;
    uint64_t m_sequence = 0;
    int64_t m_leaseEnd = 0;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_isLeavingAcknowledged = false;
};

// Client.

/// Submits one job, up to five times as a client does: again after no response, a 502, a 504, or a refusal.
void submit(const Record& record, const std::string& address, const std::string& host, const std::string& path, const std::string& body)
{
    for (int attempt = 1; attempt <= 5; ++attempt) {
        record.write("client POST " + path + " try=" + std::to_string(attempt));
        const auto [status, reply] = exchange(address, http::verb::post, host, path, body, 3000, "3000");
        record.write("client POST " + path + " answer=" + std::to_string(status));
        if (status / 100 == 2 || (status / 100 == 4 && status != 429))
            return;
        sleepMs(status ? 1000 : 100);
    }
}

std::string jobId(uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

int load(const std::vector<std::string>& arguments)
{
    const Record record(arguments[6]);
    const double perSecond = std::stod(arguments[4]);
    const int64_t end = steadyMs() + static_cast<int64_t>(std::stod(arguments[5]) * 1000);
    uint64_t id = std::stoull(arguments[7], nullptr, 16);
    const int64_t begin = steadyMs();
    std::vector<std::thread> calls;
    for (int64_t count = 0; steadyMs() < end; ++count) {
        const int64_t due = begin + static_cast<int64_t>(static_cast<double>(count) * 1000 / perSecond);
        if (due > steadyMs())
            sleepMs(due - steadyMs());
        calls.emplace_back([&record, &arguments, path = arguments[2] + jobId(id++)] { submit(record, arguments[0], arguments[1], path, arguments[3]); });
    }
    for (std::thread& call : calls)
        call.join();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string verb = argc > 1 ? argv[1] : "";
    const std::vector<std::string> arguments(argv + std::min(argc, 2), argv + argc);
    if (verb == "now") {
        std::cout << steadyMs() << "\n";
        return 0;
    }
    if (verb == "worker" && arguments.size() >= 8) {
        sigset_t signals; // For the thread that waits for it.
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        Worker(arguments[0], arguments[1], arguments[2], std::stoul(arguments[3]), std::stoul(arguments[4]), std::stoll(arguments[5]), arguments[6], { arguments.begin() + 7, arguments.end() }).run();
        return 0;
    }
    if (verb == "call" && arguments.size() >= 4) {
        const auto [status, body] = exchange(arguments[1], http::string_to_verb(arguments[0]), arguments[2], arguments[3], arguments.size() > 4 ? arguments[4] : "", 3000, "3000");
        std::cout << status << " " << body << "\n";
        return status / 100 == 2 ? 0 : 1;
    }
    if (verb == "load" && arguments.size() == 8)
        return load(arguments);
    std::cerr << "see the head of standin.cpp\n";
    return 2;
}
