#pragma once

#include "io/http_server.h"
#include "io/node_task.h"
#include "io/settings_json.h"

namespace eelgrassloft::io {

/// Process of one host: the task that owns the core, and the tasks that own sockets, files and timers.
class Daemon {
public:
    Daemon(DaemonSettings settings, bool mayForm);

    /// Restores the logs, opens the ports and runs until a signal has drained the host. Returns the
    /// exit code of the process.
    int run();

private:
    std::optional<Error> restoreLogs(NodeStart& start);
    awaitable<void> watchSignals();
    awaitable<void> drain();
    void stop(int exitCode);

    DaemonSettings m_settings;
    bool m_mayForm;
    asio::io_context m_context { 1 };
    asio::thread_pool m_storageThread { 1 };
    EventLog m_log;
    NodeMailbox m_mailbox;
    Mailbox<DrainFinished> m_drained;
    PeerNetwork m_peers;
    UpstreamClient m_upstreams;
    LogWriter<CellStateMachine, NodeLogWriteObserver> m_cellWriter;
    LogWriter<DataCentreStateMachine, NodeLogWriteObserver> m_dataCentreWriter;
    HttpServer m_http;
    asio::signal_set m_signals;
    int m_exitCode = 0;
};

} // namespace eelgrassloft::io
