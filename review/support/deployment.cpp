#include "deployment.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace review {

namespace {

constexpr const char* program = "target/eelgrassloft-platform";
constexpr const char* queueHost = "desk.example";
constexpr const char* queuePath = "/lots/";
constexpr const char* service = "order-desk";
constexpr int controlPort = 8166;
constexpr int entryPort = 8161;
constexpr int readyPort = 8167;
constexpr int executorPort = 8080;
constexpr int linkPort = 7720;
constexpr int clientDeadlineMs = 3000;
constexpr int clientRetries = 4;
constexpr int64_t restartDelayMs = 300;
constexpr int64_t startTimeoutMs = 20000;
constexpr Milliseconds configTimeout { 3000 };
constexpr size_t zoneCount = 3;
const char* const zones[zoneCount] = { "tv-north", "gc-mobile", "tv-south" };
const char* const regions[zoneCount] = { "tenn-valley", "gulf-coast", "tenn-valley" };

std::string at(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }

size_t residentMb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

} // namespace

Deployment::Deployment(DeploymentOptions options)
    : m_options(std::move(options))
    , m_record(m_options.folder + "/record.txt")
    , m_work(asio::make_work_guard(m_context))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw CaseError { "no temporary folder" };
    m_tempFolder = pattern;
    for (size_t i = 0; i < zoneCount; ++i) {
        const std::string number = std::to_string(i + 1);
        m_controls.push_back("control-" + number);
        m_entries.push_back("entry-" + number);
        m_processes[m_controls.back()] = { "control", m_options.prefix + ".1." + number, zones[i] };
        m_processes[m_entries.back()] = { "entry", m_options.prefix + ".2." + number, zones[i] };
    }
    for (size_t i = 0; i < m_options.executors; ++i) {
        ExecutorOptions executor;
        executor.id = "i-" + std::to_string(i + 1);
        executor.address = at(m_options.prefix + ".3." + std::to_string(i + 1), executorPort);
        executor.service = service;
        executor.zone = zones[i % zoneCount];
        executor.rack = "r1-" + std::to_string(i / 8);
        executor.maxHoldMs = m_options.maxHoldMs;
        executor.stopMs = m_options.stopMs;
        executor.firstHeartbeatMs = m_options.firstHeartbeatMs;
        for (size_t control = 0; control < zoneCount; ++control)
            executor.controls.push_back(controlAddress(control));
        m_executors.push_back(std::make_unique<Executor>(m_context, m_record, m_events, executor));
    }
    m_thread = std::thread([this] { m_context.run(); });
}

Deployment::~Deployment()
{
    stopExecutors();
    for (auto& [name, process] : m_processes) {
        if (!process.pid)
            continue;
        ::kill(process.pid, SIGCONT);
        ::kill(process.pid, SIGKILL);
        ::waitpid(process.pid, nullptr, 0);
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS"))
        std::cerr << "logs are in " << m_tempFolder << "\n";
    else
        std::filesystem::remove_all(m_tempFolder, ignored);
}

void Deployment::stopExecutors()
{
    for (const auto& executor : m_executors)
        executor->stopHeartbeats();
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

std::string Deployment::controlAddress(size_t index) const { return at(m_processes.at(m_controls[index]).ip, controlPort); }

/// The settings that the template of the deploy file yields.
std::string Deployment::settingsOf(const Process& process) const
{
    size_t zone = 0;
    while (zones[zone] != process.zone)
        ++zone;
    const bool isControl = process.role == "control";
    Json settings { { "address", process.ip }, { "dataCentre", process.zone }, { "region", regions[zone] }, { "seeds", Json::array() },
        { "mayForm", !process.hasStarted }, { "toleratedLosses", 1 }, { "linkPort", linkPort }, { "dataFolder", nullptr }, { "callersListen", nullptr },
        { "readyListen", nullptr }, { "controlListen", nullptr }, { "metricsListen", at(process.ip, 9464) }, { "adviceAddress", nullptr }, { "stopGraceS", 6 },
        { "maxLeaseMs", m_options.maxHoldMs }, { "gangTimeoutMs", 3000 }, { "remoteFactor", 1.5 } };
    for (size_t i = 0; i < m_controls.size(); ++i)
        settings["seeds"].push_back(controlAddress(i));
    if (isControl) {
        settings["dataFolder"] = m_tempFolder + "/" + process.ip;
        settings["controlListen"] = at(process.ip, controlPort);
    } else {
        settings["callersListen"] = at(process.ip, entryPort);
        settings["readyListen"] = at(process.ip, readyPort);
    }
    return settings.dump(2);
}

void Deployment::spawn(const std::string& name)
{
    Process& process = m_processes.at(name);
    const std::string settingsPath = m_tempFolder + "/" + name + ".json";
    std::ofstream(settingsPath, std::ios::trunc) << settingsOf(process);
    if (process.role == "control")
        std::filesystem::create_directories(m_tempFolder + "/" + process.ip);
    const std::string boot = "EELGRASSLOFT_BOOT=" + settingsPath;
    const std::string logPath = m_tempFolder + "/" + name + ".log";
    const pid_t pid = ::fork();
    if (pid < 0)
        throw CaseError { "no process can be started" };
    if (!pid) {
        const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, 1);
        ::dup2(log, 2);
        char* const arguments[] = { const_cast<char*>(program), const_cast<char*>(process.role.c_str()), nullptr };
        char* const environment[] = { const_cast<char*>(boot.c_str()), nullptr };
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
    process.pid = pid;
    process.restartAt = 0;
    process.hasStarted = true;
    m_record.note("process " + name + " starts");
}

void Deployment::supervise()
{
    for (auto& [name, process] : m_processes) {
        if (!process.pid && process.restartAt && m_record.now() >= process.restartAt)
            spawn(name);
        if (!process.pid)
            continue;
        if (m_options.memoryMb && process.role == "control" && residentMb(process.pid) > m_options.memoryMb) {
            m_record.note("process " + name + " uses " + std::to_string(residentMb(process.pid)) + " MB, over its limit of " + std::to_string(m_options.memoryMb) + " MB, and is killed");
            ::kill(process.pid, SIGKILL);
            ++process.memoryKills;
            ::waitpid(process.pid, nullptr, 0);
            process.pid = 0;
            process.restartAt = m_record.now() + restartDelayMs;
            continue;
        }
        int status = 0;
        if (::waitpid(process.pid, &status, WNOHANG) != process.pid)
            continue;
        m_record.note("process " + name + " has ended, status " + std::to_string(status));
        process.pid = 0;
        process.restartAt = m_record.now() + restartDelayMs;
    }
}

void Deployment::wipeControl(size_t control, int64_t downMs)
{
    const std::string& name = m_controls[control];
    Process& process = m_processes.at(name);
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    process.pid = 0;
    process.restartAt = m_record.now() + downMs;
    std::filesystem::remove_all(m_tempFolder + "/" + process.ip);
    m_record.note("process " + name + " is killed, and its data folder emptied");
}

bool Deployment::isConfigRead(int64_t timeoutMs)
{
    const int64_t end = m_record.now() + timeoutMs;
    std::string last;
    for (size_t tries = 0; m_record.now() < end; ++tries) {
        const auto reply = callHttp({ controlAddress(tries % m_controls.size()), "GET", "/eelgrassloft/config" });
        last = reply ? std::to_string(reply->status) + " " + reply->body.substr(0, 60) : "no answer";
        if (reply && reply->status == 200) {
            m_record.note("the configuration is read: " + last);
            return true;
        }
        pause(200);
    }
    m_record.note("no control host gave the configuration for " + std::to_string(timeoutMs) + " ms; the last answer: " + last);
    return false;
}

void Deployment::pause(int64_t ms)
{
    const int64_t until = m_record.now() + ms;
    while (m_record.now() < until) {
        supervise();
        std::this_thread::sleep_for(Milliseconds(10));
    }
}

void Deployment::start()
{
    for (const auto& [name, process] : std::map<std::string, Process>(m_processes))
        spawn(name);
    onExecutors([&] {
        for (const auto& executor : m_executors)
            executor->start();
    });
    putConfig(1, 1, 3000);
    const int64_t end = m_record.now() + startTimeoutMs;
    for (const std::string& name : m_entries) {
        const std::string address = at(m_processes.at(name).ip, readyPort);
        while (m_record.now() < end) {
            const auto reply = callHttp({ address, "GET", "/eelgrassloft/ready" });
            if (reply && reply->status == 200)
                break;
            pause(100);
        }
    }
    if (m_record.now() >= end)
        throw CaseError { "the deployment does not become ready" };
    pause(3000); // The executors have reported and were polled.
}

void Deployment::putConfig(uint64_t version, size_t routes, int timeoutMs)
{
    Json config { { "version", version }, { "routes", Json::array() },
        { "services", { { { "name", service }, { "healthPath", "/health" }, { "maxConns", 64 }, { "protocol", "h1" }, { "tls", false }, { "rejectsOverload", false }, { "standby", false } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } } };
    for (size_t i = 0; i < routes; ++i) {
        config["routes"].push_back({ { "name", i ? "r-more" + std::to_string(i) : "r-lots" }, { "host", queueHost }, { "pathPrefix", i ? "/more" + std::to_string(i) + "/" : queuePath },
            { "kind", "non_idempotent" }, { "timeoutMs", timeoutMs }, { "targetLatencyMs", 1200 }, { "priority", 1 }, { "service", service }, { "maxAttempts", 4 }, { "stretchFactor", 2.2 } });
    }
    const std::string body = config.dump();
    const int64_t end = m_record.now() + startTimeoutMs;
    for (size_t tries = 0; m_record.now() < end; ++tries) {
        const auto reply = callHttp({ controlAddress(tries % m_controls.size()), "PUT", "/eelgrassloft/config", {}, body, configTimeout });
        if (reply && reply->status == 200) {
            m_record.note("configuration " + std::to_string(version) + " of " + std::to_string(body.size()) + " bytes is acknowledged");
            return;
        }
        pause(200);
    }
    throw CaseError { "a configuration is not acknowledged" };
}

std::optional<HttpReply> Deployment::callOnce(size_t entry, const std::string& method, const std::string& job, const std::string& body) const
{
    const std::string& ip = m_processes.at(m_entries[entry % m_entries.size()]).ip;
    return callHttp({ at(ip, entryPort), method, queuePath + job, queueHost, body, Milliseconds(clientDeadlineMs), clientDeadlineMs });
}

ClientAnswer Deployment::call(const std::string& method, const std::string& job, const std::string& body)
{
    ClientAnswer answer;
    for (int tries = 0; tries <= clientRetries; ++tries) {
        const std::string& entry = m_entries[m_nextEntry++ % m_entries.size()];
        HttpCall request { at(m_processes.at(entry).ip, entryPort), method, queuePath + job, queueHost, body, Milliseconds(clientDeadlineMs), clientDeadlineMs };
        const auto reply = callHttp(request);
        answer = reply ? ClientAnswer { reply->status, reply->body } : ClientAnswer {};
        m_record.note("client " + method + " " + job + " at " + entry + ": " + (reply ? std::to_string(reply->status) + " " + reply->body : "no answer"));
        if (answer.status && answer.status < 500 && answer.status != 429)
            return answer;
        pause(200 * (tries + 1));
    }
    return answer;
}

std::string Deployment::stateOf(const std::string& job)
{
    const ClientAnswer answer = call("GET", job);
    const Json json = Json::parse(answer.body, nullptr, false);
    return answer.status == 200 && json.is_object() ? json.value("state", std::string()) : std::string();
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

std::string folderOf(int argc, char** argv) { return argc > 1 ? argv[1] : "."; }

std::string jobId(uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

size_t countTwice(Record& record, const std::vector<RunEvent>& events)
{
    struct Running {
        std::string executor;
        uint32_t attempt = 0;
    };
    std::map<std::string, std::vector<Running>> running;
    std::map<std::string, int64_t> doneAt; ///< Of ends that were taken note of.
    size_t count = 0;
    for (const RunEvent& event : events) {
        if (event.kind != RunEvent::Kind::Acknowledged || event.how != "done" || !event.isLeaseUnbroken)
            continue;
        for (const RunEvent& end : events) {
            if (end.kind == RunEvent::Kind::Ended && end.task == event.task && end.attempt == event.attempt && end.how == "done" && end.executor == event.executor && end.born == event.born)
                doneAt.insert({ event.task, end.at });
        }
    }
    for (const RunEvent& event : events) {
        auto& active = running[event.task];
        if (event.kind == RunEvent::Kind::Ended)
            std::erase_if(active, [&](const Running& run) { return run.executor == event.executor && run.attempt == event.attempt; });
        if (event.kind != RunEvent::Kind::Started)
            continue;
        const auto done = doneAt.find(event.task);
        if (done != doneAt.end() && event.at > done->second) {
            ++count;
            record.note("TWICE: attempt " + std::to_string(event.attempt) + " of " + event.task + " starts at " + event.executor + " at " + std::to_string(event.at) + " although a run has ended done at " + std::to_string(done->second) + ", which was taken note of");
        }
        for (const Running& other : active) {
            ++count;
            record.note("TWICE: attempt " + std::to_string(event.attempt) + " of " + event.task + " starts at " + event.executor + " at " + std::to_string(event.at) + " while attempt " + std::to_string(other.attempt) + " runs at " + other.executor);
        }
        active.push_back({ event.executor, event.attempt });
    }
    return count;
}

} // namespace review
