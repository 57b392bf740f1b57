#pragma once

#include "io/asio.h"
#include "io/file_log.h"
#include "merge_log_writes.h"

#include <chrono>
#include <memory>

namespace eelgrassloft::io {

/// Is notified, on the thread that runs the sockets, when writes of a log are durable, and when the
/// disk begins to refuse them; a later `didSync` shows that it takes them again.
template <typename T>
concept LogWriteObserver = requires(T observer, uint64_t sequence, const Error& error)
{
    observer.didSync(sequence);
    observer.didRefuse(error);
};

/// Writes a log on the storage thread and notifies the observer of what is durable. Writes that
/// arrive during a sync share the next one (group commit). What the disk refuses is merged into one
/// write and retried until it is durable. Without a file, every write counts as durable at once.
template <typename M, LogWriteObserver Observer, AppendFile File = PosixAppendFile, typename Timer = asio::steady_timer>
class LogWriter {
public:
    LogWriter(asio::io_context& context, asio::thread_pool& storageThread, Observer observer)
        : m_context(context)
        , m_storageThread(storageThread)
        , m_observer(std::move(observer))
        , m_retryTimer(context)
    {
    }

    /// Sets the file to write to, which must have been restored.
    void setFile(std::unique_ptr<FileLog<M, File>> file) { m_file = std::move(file); }

    void write(uint64_t incarnation, LogWrite<M> write)
    {
        if (!m_file) {
            m_observer.didSync(write.sequence);
            return;
        }
        m_incarnation = incarnation;
        if (m_isRefused && !m_pendingWrites.empty())
            mergeLogWrite(m_pendingWrites.back(), std::move(write));
        else
            m_pendingWrites.push_back(std::move(write));
        if (!m_isWriting)
            startBatch();
    }

private:
    using Clock = typename Timer::clock_type;
    using Batch = std::vector<LogWrite<M>>;

    /// Outcome of a batch on the storage thread.
    struct BatchResult {
        bool isWritten = false;
        Error error;
        typename Clock::duration took {};
    };

    static constexpr std::chrono::milliseconds minRetryPause { 100 }; ///< Keeps the delay after a refusal well below an election timeout.
    static constexpr int retryPauseFactor = 4; ///< Pause in terms of an attempt's length, so that attempts take a fifth of the time.

    void startBatch()
    {
        m_isWriting = true;
        auto batch = std::make_shared<Batch>(std::exchange(m_pendingWrites, {}));
        asio::post(m_storageThread, [this, batch, incarnation = m_incarnation] {
            const auto startedAt = Clock::now();
            BatchResult result;
            result.isWritten = m_file->write(incarnation, *batch);
            result.took = Clock::now() - startedAt;
            if (!result.isWritten)
                result.error = m_file->lastError();
            asio::post(m_context, [this, result, batch] { finishBatch(result, *batch); });
        });
    }

    void finishBatch(const BatchResult& result, Batch& batch)
    {
        if (!result.isWritten) {
            if (!std::exchange(m_isRefused, true))
                m_observer.didRefuse(result.error);
            keepForRetry(batch);
            scheduleRetry(std::max<typename Clock::duration>(minRetryPause, result.took * retryPauseFactor));
            return;
        }
        m_isWriting = m_isRefused = false;
        m_observer.didSync(batch.back().sequence);
        if (!m_pendingWrites.empty())
            startBatch();
    }

    void keepForRetry(Batch& batch)
    {
        std::move(m_pendingWrites.begin(), m_pendingWrites.end(), std::back_inserter(batch));
        LogWrite<M> merged = std::move(batch.front());
        for (size_t i = 1; i < batch.size(); ++i)
            mergeLogWrite(merged, std::move(batch[i]));
        m_pendingWrites.clear();
        m_pendingWrites.push_back(std::move(merged));
    }

    void scheduleRetry(typename Clock::duration pause)
    {
        m_retryTimer.expires_after(pause);
        m_retryTimer.async_wait([this](const error_code& error) {
            if (!error)
                startBatch();
        });
    }

    asio::io_context& m_context;
    asio::thread_pool& m_storageThread;
    Observer m_observer;
    Timer m_retryTimer;
    std::unique_ptr<FileLog<M, File>> m_file;
    uint64_t m_incarnation = 0;
    Batch m_pendingWrites;
    bool m_isWriting = false; ///< Whether a batch is being written or is to be retried.
    bool m_isRefused = false; ///< Whether the disk refused the latest batch.
};

} // namespace eelgrassloft::io
