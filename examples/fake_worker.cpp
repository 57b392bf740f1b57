// A stand-in worker: reports to an entry host, and runs tasks as timers. A task's command is
// `sleep MILLISECONDS`, `fail`, or anything else for a service that runs until it is stopped.
// With --journal it appends one line for each start and end of a task.

#include "http_call.h"
#include "io/json_fields.h"

#include "eelgrassloft/job.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>

namespace {

namespace options = boost::program_options;
using namespace eelgrassloft;
using namespace eelgrassloft::io;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds reportPause { 50 };
constexpr std::chrono::milliseconds failurePause { 200 };
constexpr std::chrono::milliseconds callTimeout { 4000 };

struct Settings {
    std::string name = "worker-1";
    std::string rack = "rack-1";
    std::vector<std::string> hosts;
    double processors = 16;
    unsigned memoryMiB = 32768;
    unsigned accelerators = 0;
    std::string journal;
};

struct RunningTask {
    unsigned epoch = 0;
    std::string job;
    TaskState state = TaskState::Running;
    std::optional<Clock::time_point> endsAt;
    bool willFail = false;
};

class FakeWorker {
public:
    FakeWorker(asio::io_context& context, Settings settings)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_incarnation(std::chrono::system_clock::now().time_since_epoch().count())
    {
        if (!m_settings.journal.empty())
            m_journal.open(m_settings.journal, std::ios::app);
    }

    awaitable<void> run()
    {
        for (;;) {
            const auto sentAt = Clock::now();
            advance(sentAt);
            const std::string& host = m_settings.hosts[m_nextHost % m_settings.hosts.size()];
            const auto answer = co_await examples::postJson(examples::parseEndpoint(host), "/v1/workers/" + m_settings.name + "/report", reportText(), callTimeout);
            const bool isRenewed = answer && take(*answer, sentAt);
            if (!isRenewed)
                ++m_nextHost;
            asio::steady_timer timer(m_context, isRenewed ? reportPause : failurePause);
            co_await timer.async_wait(use_awaitable);
        }
    }

private:
    void note(const char* what, uint64_t id, const RunningTask& task)
    {
        if (m_journal.is_open())
            m_journal << what << " job=" << task.job << " task=" << id << " epoch=" << task.epoch << " worker=" << m_settings.name << std::endl;
    }

    void end(uint64_t id, RunningTask& task, TaskState state, const char* what)
    {
        task.state = state;
        note(what, id, task);
    }

    /// Ends tasks whose time has come, and all of them when the lease has run out.
    void advance(Clock::time_point now)
    {
        for (auto& [id, task] : m_tasks) {
            if (task.state != TaskState::Running)
                continue;
            if (now >= m_leaseEnd)
                end(id, task, TaskState::Cancelled, "lease-ended");
            else if (task.willFail)
                end(id, task, TaskState::Failed, "failed");
            else if (task.endsAt && now >= *task.endsAt)
                end(id, task, TaskState::Finished, "finished");
        }
    }

    std::string reportText()
    {
        Json tasks = Json::array();
        for (const auto& [id, task] : m_tasks)
            tasks.push_back({ { "task", id }, { "epoch", task.epoch }, { "state", name(task.state) } });
        const Json body { { "name", m_settings.name }, { "incarnation", m_incarnation }, { "sequence", ++m_sequence }, { "rack", m_settings.rack },
            { "capacity", { { "processors", m_settings.processors }, { "memoryMiB", m_settings.memoryMiB }, { "accelerators", m_settings.accelerators } } },
            { "tasks", tasks } };
        return body.dump();
    }

    /// Carries out a reply. False where the lease was not renewed.
    bool take(const std::string& text, Clock::time_point sentAt)
    {
        const Json reply = Json::parse(text);
        if (reply["status"] != "renewed")
            return false;
        m_leaseEnd = sentAt + std::chrono::milliseconds(reply["leaseMs"].get<int64_t>());
        for (const Json& command : reply["commands"])
            carryOut(command);
        return true;
    }

    void carryOut(const Json& command)
    {
        const std::string kind = command["kind"];
        const uint64_t id = command["task"];
        const unsigned epoch = command["epoch"];
        const auto found = m_tasks.find(id);
        const bool isKnown = found != m_tasks.end() && found->second.epoch >= epoch;
        if (kind == "run" && !isKnown)
            startTask(id, epoch, command);
        else if (kind == "forget" && isKnown && found->second.epoch == epoch && found->second.state != TaskState::Running)
            m_tasks.erase(found);
        else if (kind == "stop" || kind == "checkpoint")
            stopTask(id, epoch);
    }

    void startTask(uint64_t id, unsigned epoch, const Json& command)
    {
        const std::string what = command["command"];
        RunningTask& task = m_tasks[id] = { epoch, command["job"], TaskState::Running, std::nullopt, what == "fail" };
        if (what.starts_with("sleep "))
            task.endsAt = Clock::now() + std::chrono::milliseconds(std::stoul(what.substr(6)));
        note("started", id, task);
    }

    /// A task that was never started here is listed as stopped, so that a late command cannot start it.
    void stopTask(uint64_t id, unsigned epoch)
    {
        RunningTask& task = m_tasks[id];
        if (task.epoch > epoch || (task.epoch == epoch && task.state != TaskState::Running))
            return;
        task.epoch = epoch;
        end(id, task, TaskState::Cancelled, "stopped");
    }

    asio::io_context& m_context;
    Settings m_settings;
    int64_t m_incarnation;
    uint64_t m_sequence = 0;
    size_t m_nextHost = 0;
    Clock::time_point m_leaseEnd {};
    std::map<uint64_t, RunningTask> m_tasks;
    std::ofstream m_journal;
};

} // namespace

int main(int argc, char** argv)
{
    Settings settings;
    options::options_description description("fake_worker: stand-in for a worker of the platform");
    description.add_options()("help", "print this text")("name", options::value(&settings.name))("rack", options::value(&settings.rack))("host", options::value(&settings.hosts)->composing(), "entry host, ADDRESS:PORT; may be repeated")("processors", options::value(&settings.processors))("memory-mib", options::value(&settings.memoryMiB))("accelerators", options::value(&settings.accelerators))("journal", options::value(&settings.journal));
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") || settings.hosts.empty()) {
        std::cout << description;
        return values.count("help") ? 0 : 2;
    }
    asio::io_context context(1);
    FakeWorker worker(context, std::move(settings));
    asio::co_spawn(context, worker.run(), [](std::exception_ptr failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](error_code, int) { context.stop(); });
    context.run();
    return 0;
}
