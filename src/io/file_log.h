#pragma once

#include "io/record_codec.h"
#include "replica_messages.h"

#include <algorithm>
#include <filesystem>

namespace eelgrassloft::io {

/// Frames a record for a file: payload length, CRC-32, payload. Numbers are in network byte order.
std::string frameRecord(const std::string& payload);

/// Reads the records of one file.
class RecordFileReader : public LastError {
public:
    /// Returns all complete records. A torn record at the end is omitted and `validBytes` ends before
    /// it; invalid bytes that complete records follow are an error.
    std::optional<std::vector<std::string>> read(const std::filesystem::path& path);
    size_t validBytes() const { return m_validBytes; }

private:
    size_t m_validBytes = 0;
};

/// Append-only file with explicit syncs. The destructor closes the descriptor.
class PosixAppendFile : public LastError {
public:
    PosixAppendFile() = default;
    PosixAppendFile(PosixAppendFile&& other) noexcept;
    PosixAppendFile& operator=(PosixAppendFile&& other) noexcept;
    ~PosixAppendFile();

    std::optional<size_t> open(const std::filesystem::path& path, bool isNew);
    std::optional<size_t> append(const std::string& bytes);
    std::optional<size_t> sync();
    bool isOpen() const { return m_descriptor >= 0; }

private:
    std::nullopt_t failErrno(const char* operation);

    int m_descriptor = -1;
    std::filesystem::path m_path;
};

/// Syncs a folder, so that files created or renamed in it survive a power loss. Returns false on
/// failure.
bool syncFolder(const std::filesystem::path& folder);

/// Storage of one replicated log across restarts.
template <typename T, typename M>
concept LogStorage = requires(T storage, uint64_t incarnation, const std::vector<LogWrite<M>>& writes)
{
    {
        storage.restore()
        } -> std::same_as<std::optional<RestoredLog<M>>>;
    {
        storage.write(incarnation, writes)
        } -> std::same_as<bool>;
};

/// Stores nothing: a restarted host joins under a new incarnation.
template <typename M>
class MemoryLog {
public:
    std::optional<RestoredLog<M>> restore() { return std::nullopt; }
    bool write(uint64_t, const std::vector<LogWrite<M>>&) { return true; }
};

/// File that a `FileLog` appends to and syncs. Tests substitute one that loses unsynced writes.
template <typename T>
concept AppendFile = std::movable<T> && requires(T file, const T constFile, const std::filesystem::path& path, const std::string& bytes)
{
    file.open(path, true);
    file.append(bytes);
    file.sync();
    constFile.isOpen();
    constFile.lastError();
};

/// Stores a log in a folder: a snapshot, and numbered segments with the records that follow it.
template <typename M, AppendFile File = PosixAppendFile>
class FileLog : public LastError {
public:
    explicit FileLog(std::filesystem::path folder)
        : m_folder(std::move(folder))
    {
    }

    /// Reads the folder, or creates it if it is missing. Returns nothing without setting `lastError`
    /// if the folder holds no log yet.
    std::optional<RestoredLog<M>> restore()
    {
        std::error_code error;
        std::filesystem::create_directories(m_folder, error);
        if (error)
            return fail(ErrorKind::FileUnreadable, "cannot create " + m_folder.string() + ": " + error.message(), "check the path and the owner of the data folder");
        RestoredLog<M> log;
        if (!restoreSnapshot(log) || !restoreSegments(log))
            return std::nullopt;
        m_incarnation = log.incarnation;
        m_state = log.state;
        if (!log.incarnation)
            return std::nullopt;
        return log;
    }

    /// Writes a batch and syncs it. Everything between two syncs goes into a single write to the
    /// file: of several writes, a power loss may keep a later one and lose an earlier one. After a
    /// failure the folder must be restored before it is used again.
    bool write(uint64_t incarnation, const std::vector<LogWrite<M>>& writes)
    {
        for (const LogWrite<M>& write : writes) {
            if (!append(incarnation, write))
                return false;
        }
        if (!flush())
            return false;
        if (m_segment.sync())
            return true;
        fail(m_segment.lastError());
        return false;
    }

private:
    struct StateRecord {
        uint64_t incarnation = 0;
        HardState state;

        static constexpr auto members() { return std::make_tuple(&StateRecord::incarnation, &StateRecord::state); }
    };

    struct TruncateRecord {
        uint64_t from = 0;

        static constexpr auto members() { return std::make_tuple(&TruncateRecord::from); }
    };

    using SegmentRecord = std::variant<StateRecord, TruncateRecord, LogEntry<M>>;

    struct Segment {
        uint64_t number = 0;
        uint64_t lastIndex = 0;
    };

    std::filesystem::path snapshotPath() const { return m_folder / "snapshot"; }
    std::filesystem::path segmentPath(uint64_t number) const { return m_folder / ("segment-" + std::to_string(number)); }

    bool failCorrupt(const std::filesystem::path& path, const std::string& reason)
    {
        fail(ErrorKind::FileCorrupt, path.string() + ": " + reason, "remove the data folder and restart the host; it joins again with a new identity");
        return false;
    }

    bool restoreSnapshot(RestoredLog<M>& log)
    {
        if (!std::filesystem::exists(snapshotPath()))
            return true;
        const auto records = m_reader.read(snapshotPath());
        if (!records || records->size() != 1)
            return failCorrupt(snapshotPath(), records ? "the snapshot is incomplete" : m_reader.lastError().message);
        log.snapshot = m_decoder.decode<Snapshot<M>>(records->front());
        return log.snapshot ? true : failCorrupt(snapshotPath(), m_decoder.lastError().message);
    }

    bool restoreSegments(RestoredLog<M>& log)
    {
        std::vector<uint64_t> numbers;
        for (const auto& file : std::filesystem::directory_iterator(m_folder)) {
            const std::string fileName = file.path().filename().string();
            if (fileName.starts_with("segment-"))
                numbers.push_back(std::stoull(fileName.substr(8)));
        }
        std::sort(numbers.begin(), numbers.end());
        for (const uint64_t number : numbers) {
            if (!restoreSegment(log, number, number == numbers.back()))
                return false;
        }
        return true;
    }

    bool restoreSegment(RestoredLog<M>& log, uint64_t number, bool isLast)
    {
        const std::filesystem::path path = segmentPath(number);
        const auto records = m_reader.read(path);
        if (!records)
            return failCorrupt(path, m_reader.lastError().message);
        if (m_reader.validBytes() != std::filesystem::file_size(path)) {
            if (!isLast)
                return failCorrupt(path, "the last record is incomplete, but later segments exist");
            std::filesystem::resize_file(path, m_reader.validBytes()); // The torn record was never synced, so nobody relies on it.
        }
        if (isLast && !syncSegment(path))
            return false;
        m_segments.push_back({ number, 0 });
        for (const std::string& bytes : *records) {
            const auto record = m_decoder.decode<SegmentRecord>(bytes);
            if (!record || !restoreRecord(log, *record))
                return failCorrupt(path, record ? "the indexes of its entries have a gap" : m_decoder.lastError().message);
        }
        return true;
    }

    /// Syncs records that an earlier process may have left unsynced. Once a new segment follows, losing
    /// them would leave a gap.
    bool syncSegment(const std::filesystem::path& path)
    {
        File file;
        if (file.open(path, false) && file.sync())
            return true;
        fail(file.lastError());
        return false;
    }

    bool restoreRecord(RestoredLog<M>& log, const SegmentRecord& record)
    {
        if (const auto* stateRecord = std::get_if<StateRecord>(&record)) {
            log.incarnation = stateRecord->incarnation;
            log.state = stateRecord->state;
            return true;
        }
        const uint64_t base = log.snapshot ? log.snapshot->index : 0;
        if (const auto* truncate = std::get_if<TruncateRecord>(&record)) {
            while (!log.entries.empty() && log.entries.back().index >= truncate->from)
                log.entries.pop_back();
            return true;
        }
        const auto& entry = std::get<LogEntry<M>>(record);
        m_segments.back().lastIndex = std::max(m_segments.back().lastIndex, entry.index);
        if (entry.index <= base)
            return true;
        const uint64_t expected = log.entries.empty() ? base + 1 : log.entries.back().index + 1;
        if (entry.index != expected)
            return false;
        log.entries.push_back(entry);
        return true;
    }

    bool append(uint64_t incarnation, const LogWrite<M>& write)
    {
        const bool isNewState = write.state && *write.state != m_state;
        if (write.state)
            m_state = *write.state;
        if (write.snapshot && !writeSnapshot(*write.snapshot))
            return false;
        std::string bytes;
        if (!m_segment.isOpen() || write.snapshot || incarnation != m_incarnation) {
            m_incarnation = incarnation;
            if (!startSegment(write.snapshot ? write.snapshot->index : 0))
                return false;
        } else if (isNewState) {
            bytes += frame(StateRecord { m_incarnation, m_state });
        }
        if (write.truncateFrom)
            bytes += frame(TruncateRecord { write.truncateFrom });
        for (const LogEntry<M>& entry : write.entries) {
            m_segments.back().lastIndex = std::max(m_segments.back().lastIndex, entry.index);
            bytes += frame(entry);
        }
        m_unwrittenBytes += bytes;
        return true;
    }

    static std::string frame(SegmentRecord record) { return frameRecord(encode(record)); }

    bool flush()
    {
        const std::string bytes = std::exchange(m_unwrittenBytes, {});
        if (bytes.empty() || m_segment.append(bytes))
            return true;
        fail(m_segment.lastError());
        return false;
    }

    bool writeSnapshot(const Snapshot<M>& snapshot)
    {
        const std::filesystem::path temporary = m_folder / "snapshot.new";
        File file;
        if (!file.open(temporary, true) || !file.append(frameRecord(encode(snapshot))) || !file.sync()) {
            fail(file.lastError());
            return false;
        }
        std::error_code error;
        std::filesystem::rename(temporary, snapshotPath(), error);
        if (error || !syncFolder(m_folder)) {
            fail(ErrorKind::FileWriteFailed, "cannot replace " + snapshotPath().string(), "check the disk of the data folder");
            return false;
        }
        return true;
    }

    /// Starts the next segment and removes those whose entries the snapshot up to `snapshotIndex` covers.
    bool startSegment(uint64_t snapshotIndex)
    {
        const uint64_t number = m_segments.empty() ? 1 : m_segments.back().number + 1;
        // Earlier writes of the same batch may belong to the segment that is closed here.
        if (m_segment.isOpen() && (!flush() || !m_segment.sync())) {
            fail(m_segment.lastError());
            return false;
        }
        if (!m_segment.open(segmentPath(number), true)) {
            fail(m_segment.lastError());
            return false;
        }
        m_segments.push_back({ number, 0 });
        m_unwrittenBytes = frame(StateRecord { m_incarnation, m_state });
        if (!flush())
            return false;
        if (!m_segment.sync() || !syncFolder(m_folder)) {
            fail(ErrorKind::FileWriteFailed, "cannot sync " + segmentPath(number).string(), "check the disk of the data folder");
            return false;
        }
        while (m_segments.size() > 1 && m_segments.front().lastIndex <= snapshotIndex) {
            std::error_code ignored;
            std::filesystem::remove(segmentPath(m_segments.front().number), ignored);
            m_segments.erase(m_segments.begin());
        }
        return true;
    }

    std::filesystem::path m_folder;
    RecordFileReader m_reader;
    RecordDecoder m_decoder;
    File m_segment;
    std::string m_unwrittenBytes; ///< Records of the open segment that are still to be written.
    std::vector<Segment> m_segments;
    uint64_t m_incarnation = 0;
    HardState m_state;
};

} // namespace eelgrassloft::io
