#pragma once

#include "io/asio.h"
#include "io/file_log.h"

#include <memory>

namespace eelgrassloft::io {

/// Is notified when writes of a log are durable or have failed, on the thread that runs the sockets.
template <typename T>
concept LogWriteObserver = requires(T observer, uint64_t sequence, const Error& error)
{
    observer.didSync(sequence);
    observer.didFail(error);
};

/// Writes a log on the storage thread and notifies the observer of what is durable. Writes that
/// arrive during a sync share the next one (group commit). Without a file, every write counts as
/// durable at once.
template <typename M, LogWriteObserver Observer>
class LogWriter {
public:
    LogWriter(asio::io_context& context, asio::thread_pool& storageThread, Observer observer)
        : m_context(context)
        , m_storageThread(storageThread)
        , m_observer(std::move(observer))
    {
    }

    /// Sets the file to write to, which must have been restored.
    void setFile(std::unique_ptr<FileLog<M>> file) { m_file = std::move(file); }

    void write(uint64_t incarnation, LogWrite<M> write)
    {
        if (!m_file) {
            m_observer.didSync(write.sequence);
            return;
        }
        m_incarnation = incarnation;
        m_pendingWrites.push_back(std::move(write));
        if (!m_isWriting)
            startBatch();
    }

private:
    void startBatch()
    {
        m_isWriting = true;
        auto batch = std::make_shared<std::vector<LogWrite<M>>>(std::exchange(m_pendingWrites, {}));
        asio::post(m_storageThread, [this, batch, incarnation = m_incarnation] {
            const bool isWritten = m_file->write(incarnation, *batch);
            const Error error = isWritten ? Error {} : m_file->lastError();
            asio::post(m_context, [this, isWritten, error, sequence = batch->back().sequence] { finishBatch(isWritten, error, sequence); });
        });
    }

    void finishBatch(bool isWritten, const Error& error, uint64_t sequence)
    {
        m_isWriting = false;
        if (!isWritten) {
            m_observer.didFail(error);
            return;
        }
        m_observer.didSync(sequence);
        if (!m_pendingWrites.empty())
            startBatch();
    }

    asio::io_context& m_context;
    asio::thread_pool& m_storageThread;
    Observer m_observer;
    std::unique_ptr<FileLog<M>> m_file;
    uint64_t m_incarnation = 0;
    std::vector<LogWrite<M>> m_pendingWrites;
    bool m_isWriting = false;
};

} // namespace eelgrassloft::io
