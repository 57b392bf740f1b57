#pragma once

#include "io/fleet_settings_json.h"
#include "io/fleet_task.h"
#include "io/read_file.h"

#include <csignal>

namespace eelgrassloft::io {

/// Process of one host of a fleet: the task that owns the core, the connections to the other hosts,
/// and the tasks that watch signals and the settings file. `Node` is the core, and `Services` makes
/// the calls to services that are not hosts of the fleet.
template <FleetNode Node, ExternalServices Services>
class FleetProcess {
public:
    FleetProcess(asio::io_context& context, FleetProcessSettings settings, std::string settingsPath, EventLog& log, FleetMailbox& mailbox, Services& services)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_log(log)
        , m_mailbox(mailbox)
        , m_services(services)
        , m_peers(context, m_settings.node.self, m_settings.linkPort, mailbox, log)
        , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    {
    }

    /// Starts all tasks; the caller starts the listeners. `onStop` is called on the first signal to stop.
    template <typename OnStop>
    std::optional<Error> start(Node node, FleetClock clock, FleetLogWriter* writer, OnStop onStop)
    {
        if (auto error = m_peers.start())
            return error;
        using Task = FleetTask<Node, Services>;
        m_task = std::make_unique<Task>(std::move(node), clock, typename Task::Dependencies { m_mailbox, m_peers, m_services, writer, m_log });
        asio::co_spawn(m_context, m_task->run(), [this](std::exception_ptr failure) { handleTaskEnd(failure); });
        asio::co_spawn(m_context, watchSignals(onStop), asio::detached);
        asio::co_spawn(m_context, watchSettings(), asio::detached);
        return std::nullopt;
    }

    const FleetProcessSettings& settings() const { return m_settings; }
    int exitCode() const { return m_exitCode; }

    void stop(int exitCode)
    {
        m_exitCode = exitCode;
        m_context.stop();
    }

private:
    static constexpr Duration settingsReloadPeriod = std::chrono::seconds(1); ///< Between reads of the settings file.

    /// Ends the process when the core reports a violated invariant, to protect the replicated state.
    void handleTaskEnd(const std::exception_ptr& failure)
    {
        if (!failure)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& error) {
            m_log.writeError("invariant-violated", { ErrorKind::Busy, error.what(), "report the log of this host" });
        }
        stop(1);
    }

    template <typename OnStop>
    awaitable<void> watchSignals(OnStop onStop)
    {
        bool isStopping = false;
        while (true) {
            error_code error;
            const int signal = co_await m_signals.async_wait(asio::redirect_error(use_awaitable, error));
            if (error)
                co_return;
            if (signal == SIGHUP) {
                reload();
            } else if (!std::exchange(isStopping, true)) {
                m_log.write("stopping", { { "signal", std::to_string(signal) } });
                m_mailbox.tryPush(FleetEvent(FleetStopRequested {}));
                onStop();
            }
        }
    }

    /// Reloads the settings file periodically, as it may change without a signal.
    awaitable<void> watchSettings()
    {
        asio::steady_timer timer(m_context);
        while (true) {
            timer.expires_after(settingsReloadPeriod);
            error_code error;
            co_await timer.async_wait(asio::redirect_error(use_awaitable, error));
            if (error)
                co_return;
            reload();
        }
    }

    /// Applies changed seeds; other settings take effect at the next start.
    void reload()
    {
        const auto text = readFile(m_settingsPath);
        if (!text || *text == m_settingsText)
            return;
        m_settingsText = *text;
        FleetSettingsReader reader;
        const auto settings = reader.read(*text);
        if (!settings) {
            m_log.writeError("settings-unreadable", reader.lastError());
            return;
        }
        for (const std::string& seed : settings->ignoredSeeds)
            m_log.writeError("seed-ignored", { ErrorKind::WrongType, "the seed \"" + seed + "\" is not `IP:PORT`", "correct it in the list of seeds" });
        if (settings->node.seeds == m_settings.node.seeds)
            return;
        m_settings.node.seeds = settings->node.seeds;
        m_log.write("seeds-changed", { { "count", std::to_string(settings->node.seeds.size()) } });
        m_mailbox.tryPush(FleetEvent(SeedsChanged { settings->node.seeds }));
    }

    asio::io_context& m_context;
    FleetProcessSettings m_settings;
    std::string m_settingsPath;
    std::string m_settingsText;
    EventLog& m_log;
    FleetMailbox& m_mailbox;
    Services& m_services;
    FleetPeerNetwork m_peers;
    asio::signal_set m_signals;
    std::unique_ptr<FleetTask<Node, Services>> m_task;
    int m_exitCode = 0;
};

} // namespace eelgrassloft::io
