#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <sys/wait.h>
#include <vector>

/// A small deployment on loopback addresses: the project's programs with the commands of the deploy
/// file, stand-ins for executors, and calls of clients and of the operator. Everything that is sent,
/// answered and run goes to `record.txt`.
namespace review {

using Json = nlohmann::json;

inline constexpr const char* hostName = "desk.example";
inline constexpr const char* serviceName = "order-desk";
inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

/// Ends the case as one that could not run.
struct NotRun {
    std::string reason;
};

class Process {
public:
    Process() = default;
    Process(const std::vector<std::string>& command, const std::map<std::string, std::string>& variables, const std::string& output)
    {
        m_id = ::fork();
        if (m_id)
            return;
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, 1);
        ::dup2(file, 2);
        for (const auto& [name, value] : variables)
            ::setenv(name.c_str(), value.c_str(), 1);
        std::vector<char*> arguments;
        for (const std::string& word : command)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }

    bool isRunning()
    {
        if (m_id > 0 && ::waitpid(m_id, nullptr, WNOHANG) == m_id)
            m_id = 0;
        return m_id > 0;
    }

    void signal(int number)
    {
        if (isRunning())
            ::kill(m_id, number);
    }

    void end()
    {
        if (!isRunning())
            return;
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
        m_id = 0;
    }

private:
    pid_t m_id = 0;
};

/// A row of the record that an executor wrote.
struct ExecutorRow {
    int64_t at = 0; ///< Unix time in milliseconds.
    std::string executor;
    std::string event; ///< `up`, `first-hold`, `crash`, `left`, `start`, `stop` or `end`.
    std::string task; ///< Empty for `up` and `crash`.
    int64_t run = 0;
    std::string how; ///< Of an end.
    int64_t born = 0; ///< Of `up`.
};

struct Queue {
    std::string prefix;
    uint32_t priority = 1;
    uint32_t maxAttempts = 2;
};

class Fleet {
public:
    static constexpr size_t controlCount = 3;
    static constexpr size_t entryCount = 3;

    explicit Fleet(const std::filesystem::path& caseFolder)
        : m_record(std::filesystem::absolute(caseFolder) / "record.txt")
    {
        std::ofstream(m_record, std::ios::trunc);
        const char* trouble = std::getenv("TROUBLE");
        m_hasTrouble = !trouble || std::string(trouble) != "0";
        for (const char* program : { "target/eelgrassloft-platform", "target/review-2/executor" }) {
            if (!std::filesystem::exists(program))
                throw NotRun { std::string(program) + " is missing: run the build of the deploy file and review/build-2.sh in the root of the repository" };
        }
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!::mkdtemp(name.data()))
            throw NotRun { "no temporary folder" };
        m_folder = name;
        choosePorts();
        note("case", m_hasTrouble ? "with the disruption" : "without the disruption");
    }

    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    ~Fleet()
    {
        for (auto& [name, process] : m_processes)
            process.end();
        for (auto& [id, process] : m_executors)
            process.end();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    bool hasTrouble() const { return m_hasTrouble; }

    void note(const std::string& who, const std::string& text)
    {
        const std::string line = std::to_string(unixMs()) + " " + who + " " + text + "\n";
        const std::lock_guard lock(m_mutex);
        std::ofstream(m_record, std::ios::app) << line;
    }

    // The system.

    void startSystem(const std::vector<Queue>& queues)
    {
        for (size_t i = 0; i < controlCount; ++i)
            startProcess("control", i, true);
        for (size_t i = 0; i < entryCount; ++i)
            startProcess("entry", i, true);
        const int64_t end = steadyMs() + 20'000;
        while (!putConfig(1, queues)) {
            if (steadyMs() > end)
                throw NotRun { "the first configuration is not accepted" };
            sleepMs(300);
        }
        while (!areEntriesReady()) {
            if (steadyMs() > end)
                throw NotRun { "the entry hosts do not become ready" };
            sleepMs(100);
        }
    }

    void startProcess(const std::string& role, size_t index, bool isFirstStart)
    {
        const std::string name = role + "-" + std::to_string(index);
        const std::string settings = (m_folder / (name + ".json")).string();
        std::ofstream(settings, std::ios::trunc) << settingsOf(role, index, isFirstStart).dump(2);
        // The commands are those of deploy/system.toml.
        m_processes[name] = Process({ "target/eelgrassloft-platform", role }, { { "EELGRASSLOFT_BOOT", settings } }, (m_folder / (name + ".log")).string());
        note(name, isFirstStart ? "started" : "started again");
    }

    Process& process(const std::string& role, size_t index) { return m_processes[role + "-" + std::to_string(index)]; }

    bool isAllRunning()
    {
        bool isAll = true;
        for (auto& [name, process] : m_processes)
            isAll = isAll && process.isRunning();
        return isAll;
    }

    Address controlAddress(size_t index) const { return { ip(10 + index), static_cast<uint16_t>(m_port + 1) }; }
    Address entryAddress(size_t index) const { return { ip(20 + index), static_cast<uint16_t>(m_port + 2) }; }
    std::filesystem::path logOf(const std::string& name) const { return m_folder / (name + ".log"); }

    // Executors.

    Address executorAddress(size_t index) const { return { ip(40 + index), static_cast<uint16_t>(m_port + 4) }; }
    static std::string executorId(size_t index) { return "i-" + std::to_string(10'000 + index); }

    /// Starts a life of an executor under the id of the one before.
    void startExecutor(size_t index, const std::vector<std::string>& more = {})
    {
        std::vector<std::string> command { "target/review-2/executor", "--id", executorId(index), "--address", executorAddress(index).text(), "--service", serviceName, "--zone", zoneOf(index),
            "--machine", "m-" + std::to_string(10'000 + index), "--kind", "a", "--rack", "r1-" + std::to_string(index / 8), "--record", m_record.string() };
        for (size_t i = 0; i < controlCount; ++i) {
            command.push_back("--control");
            command.push_back(controlAddress((index + i) % controlCount).text());
        }
        command.insert(command.end(), more.begin(), more.end());
        m_executors[index] = Process(command, {}, (m_folder / "executors.log").string());
    }

    void crashExecutor(size_t index)
    {
        m_executors[index].end();
        note("executor", executorId(index) + " crash");
    }

    bool isExecutorRunning(size_t index) { return m_executors[index].isRunning(); }

    void drainExecutor(size_t index)
    {
        note("trouble", "executor " + executorId(index) + " is to drain and leave");
        m_executors[index].signal(SIGTERM);
    }

    std::vector<ExecutorRow> executorRows() const
    {
        std::vector<ExecutorRow> rows;
        std::ifstream file(m_record);
        for (std::string line; std::getline(file, line);) {
            std::istringstream words(line);
            ExecutorRow row;
            std::string who;
            if (!(words >> row.at >> who) || who != "executor")
                continue;
            words >> row.executor >> row.event;
            for (std::string word; words >> word;) {
                if (word.starts_with("run="))
                    row.run = std::stoll(word.substr(4));
                else if (word.starts_with("born="))
                    row.born = std::stoll(word.substr(5));
                else if (word.starts_with("how="))
                    row.how = word.substr(4);
                else if (row.task.empty() && word.find('=') == std::string::npos)
                    row.task = word;
            }
            rows.push_back(row);
        }
        return rows;
    }

    /// Index of the executor that runs the task now, if one does.
    std::optional<size_t> runnerOf(const std::string& task) const
    {
        std::optional<size_t> runner;
        for (const ExecutorRow& row : executorRows()) {
            const size_t index = std::stoul(row.executor.substr(2)) - 10'000;
            if ((row.event == "up" || row.event == "crash" || row.event == "left") && runner == index)
                runner.reset();
            if (row.task != task)
                continue;
            if (row.event == "start")
                runner = index;
            else if (row.event == "end" && runner == index)
                runner.reset();
        }
        return runner;
    }

    // Clients and the operator.

    bool putConfig(uint64_t version, const std::vector<Queue>& queues)
    {
        Json routes = Json::array();
        for (const Queue& queue : queues) {
            routes.push_back({ { "name", "r" + queue.prefix.substr(1, queue.prefix.size() - 2) }, { "host", hostName }, { "pathPrefix", queue.prefix }, { "kind", "non_idempotent" }, { "timeoutMs", 3000 },
                { "targetLatencyMs", 1200 }, { "priority", queue.priority }, { "service", serviceName }, { "maxAttempts", queue.maxAttempts }, { "stretchFactor", 2.2 } });
        }
        const Json config { { "version", version }, { "routes", routes },
            { "services", { { { "name", serviceName }, { "healthPath", "/health" }, { "maxConns", 64 }, { "protocol", "h1" }, { "tls", false }, { "rejectsOverload", false }, { "standby", false } } } },
            { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } } };
        const Address to = controlAddress(m_nextControl++ % controlCount);
        const HttpReply reply = httpCall(to, "PUT", "/eelgrassloft/config", to.text(), config.dump(), 1000, {}, ip(2));
        note("operator", "PUT config version=" + std::to_string(version) + " to " + to.text() + " -> " + std::to_string(reply.status));
        return reply.status == 200;
    }

    /// One call of a client, at one entry host.
    HttpReply call(const std::string& method, const std::string& path, const std::string& body = {}, size_t entry = 0, int64_t timeoutMs = 3000)
    {
        const Address to = entryAddress(entry % entryCount);
        const HttpReply reply = httpCall(to, method, path, hostName, body, timeoutMs, "X-Eelgrassloft-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n", ip(3));
        note("client", method + " " + path + " to " + to.text() + (body.empty() ? "" : " " + body) + " -> " + std::to_string(reply.status) + " " + reply.body);
        return reply;
    }

    /// Hands in a job, again after no clear answer. Returns whether it was accepted.
    bool submit(const std::string& path, const Json& job)
    {
        for (size_t attempt = 0; attempt < 6; ++attempt) {
            const HttpReply reply = call("POST", path, job.dump(), attempt);
            if (reply.status / 100 == 2)
                return true;
            sleepMs(500);
        }
        return false;
    }

    /// The state of a job; empty if no clear answer came.
    std::string stateOf(const std::string& path)
    {
        for (size_t attempt = 0; attempt < 6; ++attempt) {
            const HttpReply reply = call("GET", path, {}, attempt);
            if (reply.status == 200)
                return Json::parse(reply.body).value("state", std::string());
            if (reply.status == 410)
                return "gone";
            sleepMs(300);
        }
        return {};
    }

    std::string ip(size_t last) const { return m_network + std::to_string(last); }
    static std::string zoneOf(size_t index) { return std::vector<std::string> { "tv-north", "gc-mobile", "tv-south" }[index % 3]; }

    int verdict(bool isBroken, const std::string& text)
    {
        note("verdict", (isBroken ? "broken: " : "held: ") + text);
        std::cout << (isBroken ? "broken: " : "held: ") << text << std::endl;
        return isBroken ? exitBroken : exitHeld;
    }

private:
    void choosePorts()
    {
        std::random_device random;
        for (int attempt = 0; attempt < 50; ++attempt) {
            m_network = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(random() % 250) + ".";
            m_port = static_cast<uint16_t>(21'000 + random() % 8000);
            bool isFree = true;
            for (uint16_t port = m_port; port < m_port + 6; ++port) {
                const int socket = listenOn({ ip(10), port });
                isFree = isFree && socket >= 0;
                ::close(socket);
            }
            if (isFree)
                return;
        }
        throw NotRun { "no free ports" };
    }

    /// The settings as deploy/settings.template renders them, with the bounds of a small deployment.
    Json settingsOf(const std::string& role, size_t index, bool isFirstStart) const
    {
        const bool isControl = role == "control";
        const std::string own = ip((isControl ? 10 : 20) + index);
        Json seeds = Json::array();
        for (size_t i = 0; i < controlCount; ++i)
            seeds.push_back(controlAddress(i).text());
        Json settings { { "address", own }, { "dataCentre", zoneOf(index) }, { "region", index % 3 == 1 ? "gulf-coast" : "tenn-valley" }, { "seeds", seeds }, { "mayForm", isFirstStart },
            { "toleratedLosses", 1 }, { "linkPort", m_port }, { "dataFolder", nullptr }, { "callersListen", nullptr }, { "readyListen", nullptr }, { "controlListen", nullptr },
            { "metricsListen", own + ":" + std::to_string(m_port + 5) }, { "adviceAddress", nullptr }, { "stopGraceS", 6 }, { "maxLeaseMs", 10'000 }, { "gangTimeoutMs", 3000 }, { "remoteFactor", 1.5 } };
        if (isControl) {
            const auto folder = m_folder / ("data-" + std::to_string(index));
            std::filesystem::create_directories(folder);
            settings["dataFolder"] = folder.string();
            settings["controlListen"] = controlAddress(index).text();
        } else {
            settings["callersListen"] = entryAddress(index).text();
            settings["readyListen"] = own + ":" + std::to_string(m_port + 3);
        }
        return settings;
    }

    bool areEntriesReady()
    {
        for (size_t i = 0; i < entryCount; ++i) {
            const Address ready { ip(20 + i), static_cast<uint16_t>(m_port + 3) };
            if (httpCall(ready, "GET", "/eelgrassloft/ready", ready.text(), {}, 1000).status != 200)
                return false;
        }
        return true;
    }

    std::filesystem::path m_record;
    std::filesystem::path m_folder;
    std::string m_network;
    uint16_t m_port = 0;
    bool m_hasTrouble = true;
    size_t m_nextControl = 0;
    std::mutex m_mutex;
    std::map<std::string, Process> m_processes;
    std::map<size_t, Process> m_executors;
};

/// Runs a case, `body`, that returns the exit status.
template <typename Body>
int runCase(int argc, char** argv, Body body)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " FOLDER-OF-THE-CASE\n";
        return exitNotRun;
    }
    try {
        Fleet fleet(argv[1]);
        return body(fleet);
    } catch (const NotRun& failure) {
        std::cerr << "could not run: " << failure.reason << std::endl;
        return exitNotRun;
    } catch (const std::exception& failure) {
        std::cerr << "could not run: " << failure.what() << std::endl;
        return exitNotRun;
    }
}

} // namespace review
