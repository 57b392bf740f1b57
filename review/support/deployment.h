#pragma once

#include "executor.h"
#include "http.h"

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

enum ExitCode {
    exitHeld = 0,
    exitBroken = 1,
    exitNotRun = 2
};

/// Thrown where a case can't run.
struct CaseError {
    std::string message;
};

struct DeploymentOptions {
    std::string folder; ///< Of the case; holds the record.
    std::string prefix; ///< First two numbers of all addresses, for example `127.81`.
    size_t executors = 8;
    int64_t maxHoldMs = 10000;
    int64_t stopMs = 400;
    int64_t firstHeartbeatMs = 0;
    size_t memoryMb = 0; ///< Above which a control host's process is killed, as by its machine; 0 for no limit.
};

/// Answer to a client, after its retries.
struct ClientAnswer {
    unsigned status = 0; ///< Of the last attempt; 0 for none.
    std::string body;
    bool isAcknowledged() const { return status / 100 == 2; }
};

/// A small deployment: three control hosts, three entry hosts, as processes of the deploy file's
/// program, and stand-ins of executors, clients and the operator. All is ended by the destructor.
class Deployment {
public:
    explicit Deployment(DeploymentOptions options);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Starts all, and sends the first configuration until it is acknowledged and clients are served.
    void start();

    Record& record() { return m_record; }
    /// What the executors saw. Only for `onExecutors`, or after `stopExecutors`.
    std::vector<RunEvent>& events() { return m_events; }
    std::vector<std::unique_ptr<Executor>>& executors() { return m_executors; }

    /// Runs a function on the thread of the executors, and returns its result.
    template <typename Function>
    auto onExecutors(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(m_context, [&task] { task(); });
        return result.get();
    }

    /// Ends the executors, so that `events` is complete.
    void stopExecutors();

    /// A client's call for a job, with up to four retries at other entry hosts.
    ClientAnswer call(const std::string& method, const std::string& job, const std::string& body = {});
    ClientAnswer submit(const std::string& job, const Json& work) { return call("POST", job, work.dump()); }
    /// State of a job; empty if no answer gives one.
    std::string stateOf(const std::string& job);

    size_t controlCount() const { return m_controls.size(); }
    pid_t controlPid(size_t index) const { return m_processes.at(m_controls[index]).pid; }
    /// How often a control host's process was killed because it was over the memory limit.
    size_t memoryKills(size_t control) const { return m_processes.at(m_controls[control]).memoryKills; }
    /// Sends a configuration of `routes` routes, of which the first is the clients' queue, until a control
    /// host acknowledges it.
    void putConfig(uint64_t version, size_t routes, int timeoutMs);
    /// Ends a control host's process and empties its data folder. It stays down for `downMs`.
    void wipeControl(size_t control, int64_t downMs);
    /// Whether any control host answers a read of the configuration with version 1, within `timeoutMs`.
    bool isConfigRead(int64_t timeoutMs);

    /// Restarts processes that have ended, and kills those over the memory limit. To be called often.
    void supervise();
    void pause(int64_t ms);
    /// A client's call at one entry host, without retries. May be used by several threads.
    std::optional<HttpReply> callOnce(size_t entry, const std::string& method, const std::string& job, const std::string& body) const;

private:
    struct Process {
        std::string role;
        std::string ip;
        std::string zone;
        pid_t pid = 0;
        int64_t restartAt = 0;
        bool hasStarted = false;
        size_t memoryKills = 0;
    };

    std::string settingsOf(const Process& process) const;
    void spawn(const std::string& name);
    std::string controlAddress(size_t index) const;

    DeploymentOptions m_options;
    Record m_record;
    std::string m_tempFolder;
    std::map<std::string, Process> m_processes;
    std::vector<std::string> m_controls;
    std::vector<std::string> m_entries;
    std::vector<RunEvent> m_events;
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::vector<std::unique_ptr<Executor>> m_executors;
    std::thread m_thread;
    size_t m_nextEntry = 0;
};

/// Whether the case runs with its disruption: unless `TROUBLE=0` is set.
bool hasTrouble();
/// The case's folder, from the command line.
std::string folderOf(int argc, char** argv);
/// 16 hexadecimal digits.
std::string jobId(uint64_t number);

/// Breaks of the rule TWICE: two runs of a task at the same time on executors that are up, or a start
/// after a run has ended `done` whose end is taken note of. Writes each to the record.
size_t countTwice(Record& record, const std::vector<RunEvent>& events);

} // namespace review
