// Fake worker: reports to an entry host and simulates its tasks with timers (see worker_model.h).
// With --journal it appends a line to a file for each start and end of a task.

#include "http_call.h"
#include "io/manifest_json.h"
#include "io/wall_clock.h"
#include "worker_model.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace eelgrassloft;
using namespace eelgrassloft::io;

constexpr std::chrono::milliseconds reportPause { 50 };
constexpr std::chrono::milliseconds failurePause { 200 };
constexpr std::chrono::milliseconds callTimeout { 4000 };

struct Settings {
    std::string name = "worker-1";
    std::string rack = "rack-1";
    std::vector<std::string> hosts;
    Resources capacity { 16000, 32768, 0 };
    std::string journal;
};

Json reportJson(const WorkerReport& report)
{
    Json tasks = Json::array();
    for (const WorkerTask& task : report.tasks)
        tasks.push_back({ { "task", task.task.value }, { "epoch", task.epoch }, { "state", name(task.state) }, { "usage", toJson(task.usage) } });
    return { { "name", report.name }, { "incarnation", report.incarnation }, { "sequence", report.sequence }, { "rack", report.rack },
        { "capacity", toJson(report.capacity) }, { "tasks", tasks } };
}

WorkerReply readReply(const std::string& text)
{
    const Json json = Json::parse(text);
    WorkerReply reply;
    reply.status = parseName<WorkerReplyStatus>(json.at("status").get<std::string>()).value_or(WorkerReplyStatus::NoLeader);
    reply.lease = std::chrono::milliseconds(json.at("leaseMs").get<int64_t>());
    for (const Json& entry : json.at("commands")) {
        WorkerCommand command;
        command.kind = parseName<WorkerCommandKind>(entry.at("kind").get<std::string>()).value_or(WorkerCommandKind::Throttle);
        command.task = TaskId { entry.at("task").get<uint64_t>() };
        command.epoch = entry.at("epoch").get<uint32_t>();
        command.job = entry.value("job", "");
        command.command = entry.value("command", "");
        if (entry.contains("size")) {
            JsonFields size(entry.at("size"), "size");
            command.size = readResources(size);
        }
        reply.commands.push_back(std::move(command));
    }
    return reply;
}

class FakeWorker {
public:
    FakeWorker(asio::io_context& context, Settings settings)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_clock(systemTime())
        , m_model(m_settings.name, static_cast<uint64_t>(m_clock.now().time_since_epoch().count()), m_settings.rack, m_settings.capacity)
    {
        if (!m_settings.journal.empty())
            m_journal.open(m_settings.journal, std::ios::app);
    }

    awaitable<void> run()
    {
        for (;;) {
            const Time sentAt = m_clock.now();
            const std::string text = reportJson(m_model.report(sentAt)).dump();
            const std::string& host = m_settings.hosts[m_nextHost % m_settings.hosts.size()];
            const auto response = co_await examples::postJson(examples::parseEndpoint(host), "/v1/workers/" + m_settings.name + "/report", text, callTimeout);
            const bool isRenewed = response && m_model.handleReply(m_clock.now(), sentAt, readReply(*response));
            if (!isRenewed)
                ++m_nextHost;
            writeJournal();
            asio::steady_timer timer(m_context, isRenewed ? reportPause : failurePause);
            co_await timer.async_wait(use_awaitable);
        }
    }

private:
    void writeJournal()
    {
        for (const examples::WorkerEvent& event : m_model.takeEvents())
            m_journal << event.what << " job=" << event.job << " task=" << event.task.value << " epoch=" << event.epoch << " worker=" << m_settings.name << std::endl;
    }

    asio::io_context& m_context;
    Settings m_settings;
    WallClock m_clock;
    examples::WorkerModel m_model;
    size_t m_nextHost = 0;
    std::ofstream m_journal;
};

} // namespace

int main(int argc, char** argv)
{
    Settings settings;
    options::options_description description("fake_worker: worker for tests");
    description.add_options()("help", "print this text")("name", options::value(&settings.name))("rack", options::value(&settings.rack))("host", options::value(&settings.hosts)->composing(), "entry host, ADDRESS:PORT; may be repeated")("processors", options::value<uint32_t>()->notifier([&](uint32_t count) { settings.capacity.processorMillis = count * 1000; }))("memory-mib", options::value(&settings.capacity.memoryMiB))("accelerators", options::value(&settings.capacity.accelerators))("journal", options::value(&settings.journal));
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
