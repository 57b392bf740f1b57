#include "daemon/daemon.h"

#include "daemon/restore_when_writable.h"

#include <csignal>

namespace eelgrassloft::io {

namespace {

constexpr int exitFailure = 1;
constexpr size_t eventMailboxCapacity = 8;

/// Restores one log from its folder and opens it for writing. After an error the process must not start.
template <typename M>
std::optional<Error> restoreLog(const std::string& folder, LogKind kind, LogWriter<M, NodeLogWriteObserver>& writer, EventLog& log, std::optional<RestoredLog<M>>& restored)
{
    auto file = std::make_unique<FileLog<M>>(std::filesystem::path(folder) / std::string(name(kind)));
    restored = restoreWhenWritable(*file, log);
    if (!restored && file->lastError().kind != ErrorKind::None)
        return file->lastError();
    writer.setFile(std::move(file));
    return std::nullopt;
}

} // namespace

Daemon::Daemon(DaemonSettings settings, bool mayForm)
    : m_settings(std::move(settings))
    , m_mayForm(mayForm)
    , m_log(m_settings.logFile, m_settings.logLevel)
    , m_mailbox(m_context.get_executor(), config::nodeMailboxCapacity)
    , m_drained(m_context.get_executor(), eventMailboxCapacity)
    , m_peers(m_context, m_settings.node, m_mailbox, m_log)
    , m_upstreams(m_context, m_mailbox)
    , m_cellWriter(m_context, m_storageThread, NodeLogWriteObserver { LogKind::Cell, m_mailbox })
    , m_dataCentreWriter(m_context, m_storageThread, NodeLogWriteObserver { LogKind::DataCentre, m_mailbox })
    , m_http(m_context, m_settings.node, m_mailbox, m_log)
    , m_signals(m_context, SIGTERM, SIGINT)
{
}

std::optional<Error> Daemon::restoreLogs(NodeStart& start)
{
    if (m_settings.dataFolder.empty())
        return std::nullopt;
    if (auto error = restoreLog(m_settings.dataFolder, LogKind::Cell, m_cellWriter, m_log, start.cell))
        return error;
    return restoreLog(m_settings.dataFolder, LogKind::DataCentre, m_dataCentreWriter, m_log, start.dataCentre);
}

int Daemon::run()
{
    const Time now = systemTime();
    NodeStart start;
    start.settings = m_settings.node;
    start.now = now;
    start.incarnation = static_cast<uint64_t>(now.time_since_epoch().count());
    start.seed = hostSeed(start.incarnation, m_settings.node.self.value);
    start.mayForm = m_mayForm;
    if (const auto error = restoreLogs(start)) {
        m_log.writeError("start-failed", *error);
        return exitFailure;
    }
    NodeTask node(DaemonNode(std::move(start)), WallClock(now), { m_mailbox, m_peers, m_upstreams, m_cellWriter, m_dataCentreWriter, m_log, m_drained });
    for (const auto& error : { m_peers.start(), m_http.start() }) {
        if (error) {
            m_log.writeError("start-failed", *error);
            return exitFailure;
        }
    }
    const HostSettings& self = m_settings.node.selfHost();
    m_log.write("started", { { "host", std::to_string(self.id.value) }, { "dataCentre", self.dataCentre }, { "http", self.address + ":" + std::to_string(self.httpPort) } });
    asio::co_spawn(m_context, node.run(), [this](std::exception_ptr failure) {
        if (!failure)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& error) {
            m_log.writeError("invariant-violated", { ErrorKind::Busy, error.what(), "report the log of this host; its process stopped to protect the replicated state" });
        }
        stop(exitFailure);
    });
    asio::co_spawn(m_context, watchSignals(), asio::detached);
    m_context.run();
    m_storageThread.join();
    m_log.write("stopped", { { "exitCode", std::to_string(m_exitCode) } });
    return m_exitCode;
}

/// Drains the host on the first signal and ends the process on the second.
awaitable<void> Daemon::watchSignals()
{
    error_code error;
    co_await m_signals.async_wait(asio::redirect_error(use_awaitable, error));
    if (error)
        co_return;
    asio::co_spawn(m_context, drain(), asio::detached);
    co_await m_signals.async_wait(asio::redirect_error(use_awaitable, error));
    if (!error)
        stop(exitFailure);
}

/// Fails the readiness check, waits until the load balancer uses other hosts, and stops once no
/// request is in flight or the limit has passed.
awaitable<void> Daemon::drain()
{
    m_mailbox.tryPush(Event(DrainAnnounced {}));
    asio::steady_timer timer(m_context, config::drainNotice);
    error_code error;
    co_await timer.async_wait(asio::redirect_error(use_awaitable, error));
    m_http.stopAccepting();
    m_mailbox.tryPush(Event(DrainStarted {}));
    const auto finished = co_await m_drained.pop(std::chrono::steady_clock::now() + config::drainLimit);
    if (!finished)
        m_log.write("drain-incomplete", {});
    // Connections may still be writing the last answers.
    timer.expires_after(config::drainFlushTime);
    co_await timer.async_wait(asio::redirect_error(use_awaitable, error));
    stop(0);
}

void Daemon::stop(int exitCode)
{
    m_exitCode = exitCode;
    m_context.stop();
}

} // namespace eelgrassloft::io
