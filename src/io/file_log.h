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
    /// Returns all complete records in the first `maxBytes` bytes. A torn record at the end is omitted
    /// and `validBytes` ends before it; invalid bytes that complete records follow are an error.
    std::optional<std::vector<std::string>> read(const std::filesystem::path& path, size_t maxBytes = SIZE_MAX);
    size_t validBytes() const { return m_validBytes; }

private:
    size_t m_validBytes = 0;
};

/// Append-only file with explicit syncs. The destructor closes the descriptor. The static functions
/// change the names in a folder and return false on failure; `syncFolder` makes these changes durable.
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

    static bool rename(const std::filesystem::path& from, const std::filesystem::path& to);
    static bool remove(const std::filesystem::path& path);
    static bool syncFolder(const std::filesystem::path& folder);

private:
    std::nullopt_t failErrno(const char* operation);

    int m_descriptor = -1;
    std::filesystem::path m_path;
};

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
    T::rename(path, path);
    T::remove(path);
    T::syncFolder(path);
};

/// Stores a log in a folder: a snapshot, and numbered segments with the records that follow it.
///
/// After a write or a sync has failed, nothing is known about what was written since the last sync.
/// The log then goes on in a new segment, which names the last position that is known to be synced.
template <typename M, AppendFile File = PosixAppendFile>
class FileLog : public LastError {
public:
    explicit FileLog(std::filesystem::path folder)
        : m_folder(std::move(folder))
    {
    }

    /// Reads the folder, or creates it if it is missing. Returns nothing without setting `lastError`
    /// if the folder holds no log yet. After `ErrorKind::FileWriteFailed` it can be called again, for
    /// instance once the disk has room; after other errors an operator has to act.
    std::optional<RestoredLog<M>> restore()
    {
        *this = FileLog(m_folder);
        std::error_code error;
        std::filesystem::create_directories(m_folder, error);
        if (error) {
            const auto kind = error == std::errc::no_space_on_device ? ErrorKind::FileWriteFailed : ErrorKind::FileUnreadable;
            return fail(kind, "cannot create " + m_folder.string() + ": " + error.message(), "check the path, the owner and the disk of the data folder");
        }
        RestoredLog<M> log;
        if (!restoreSnapshot(log) || !restoreSegments(log) || !syncRestored())
            return std::nullopt;
        File::remove(newSnapshotPath());
        m_incarnation = log.incarnation;
        m_state = m_syncedState = log.state;
        if (!log.incarnation)
            return std::nullopt;
        return log;
    }

    /// Writes a batch and syncs it. Everything between two syncs goes into a single write to the
    /// file: of several writes, a power loss may keep a later one and lose an earlier one. After a
    /// failure, the next call must write everything again that no call has written so far.
    bool write(uint64_t incarnation, const std::vector<LogWrite<M>>& writes)
    {
        if (!append(incarnation, writes) || !flush() || !syncSegment()) {
            abandonUnsynced();
            return false;
        }
        m_synced = m_position;
        m_syncedState = m_state;
        return true;
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

    struct Position {
        uint64_t segment = 0;
        uint64_t bytes = 0;

        static constexpr auto members() { return std::make_tuple(&Position::segment, &Position::bytes); }
    };

    /// First record of a segment: the position in an earlier one that the segment continues, and the
    /// state. What follows the position, up to this segment, was never synced and is void. Segment 0
    /// stands for none.
    struct StartRecord {
        Position previous;
        StateRecord state;

        static constexpr auto members() { return std::make_tuple(&StartRecord::previous, &StartRecord::state); }
    };

    using SegmentRecord = std::variant<StateRecord, TruncateRecord, LogEntry<M>, StartRecord>;

    struct Segment {
        uint64_t number = 0;
        uint64_t lastIndex = 0;
    };

    struct SegmentContent {
        uint64_t number = 0;
        std::vector<SegmentRecord> records;
    };

    std::filesystem::path snapshotPath() const { return m_folder / "snapshot"; }
    std::filesystem::path newSnapshotPath() const { return m_folder / "snapshot.new"; }
    std::filesystem::path segmentPath(uint64_t number) const { return m_folder / ("segment-" + std::to_string(number)); }

    bool failCorrupt(const std::filesystem::path& path, const std::string& reason)
    {
        fail(ErrorKind::FileCorrupt, path.string() + ": " + reason, "remove the data folder and restart the host; it joins again with a new identity");
        return false;
    }

    bool failWrite(const std::string& operation)
    {
        fail(ErrorKind::FileWriteFailed, "cannot " + operation, "check the disk of the data folder");
        return false;
    }

    bool failWrite(const File& file)
    {
        fail(file.lastError());
        return false;
    }

    // Restoring.

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

    /// Numbers of the segments in the folder, the latest first.
    std::vector<uint64_t> segmentNumbers() const
    {
        std::vector<uint64_t> numbers;
        for (const auto& file : std::filesystem::directory_iterator(m_folder)) {
            const std::string fileName = file.path().filename().string();
            if (fileName.starts_with("segment-"))
                numbers.push_back(std::stoull(fileName.substr(8)));
        }
        std::sort(numbers.begin(), numbers.end(), std::greater<>());
        return numbers;
    }

    /// Reads the segments from the latest back, as each names the position that it continues, and
    /// applies them in their order.
    bool restoreSegments(RestoredLog<M>& log)
    {
        std::vector<SegmentContent> contents;
        std::optional<Position> continued;
        for (const uint64_t number : segmentNumbers()) {
            m_nextNumber = std::max(m_nextNumber, number + 1);
            if (continued && number != continued->segment) {
                m_voidSegments.push_back(number);
                continue;
            }
            auto content = readSegment(number, continued, contents.empty());
            if (!content)
                return false;
            if (content->records.empty() && contents.empty()) { // Its first record was never synced.
                m_voidSegments.push_back(number);
                continue;
            }
            const auto* start = content->records.empty() ? nullptr : std::get_if<StartRecord>(&content->records.front());
            continued = start ? std::optional(start->previous) : std::nullopt;
            contents.push_back(std::move(*content));
        }
        std::for_each(contents.rbegin(), contents.rend(), [&](const SegmentContent& content) { m_segments.push_back({ content.number, 0 }); });
        std::reverse(contents.begin(), contents.end());
        return applySegments(log, contents);
    }

    /// Reads a segment up to `end`, a position in it, or as far as it is complete.
    std::optional<SegmentContent> readSegment(uint64_t number, const std::optional<Position>& end, bool isLast)
    {
        const std::filesystem::path path = segmentPath(number);
        const auto records = m_reader.read(path, end ? end->bytes : SIZE_MAX);
        const size_t expectedBytes = end ? end->bytes : std::filesystem::file_size(path);
        if (!records) {
            failCorrupt(path, m_reader.lastError().message);
            return std::nullopt;
        }
        if (m_reader.validBytes() != expectedBytes && (end || !isLast)) {
            failCorrupt(path, "the last record is incomplete, but later segments exist");
            return std::nullopt;
        }
        if (isLast && !records->empty())
            m_position = m_synced = { number, m_reader.validBytes() };
        SegmentContent content { number, {} };
        for (const std::string& bytes : *records) {
            auto record = m_decoder.decode<SegmentRecord>(bytes);
            if (!record) {
                failCorrupt(path, m_decoder.lastError().message);
                return std::nullopt;
            }
            content.records.push_back(std::move(*record));
        }
        return content;
    }

    bool applySegments(RestoredLog<M>& log, std::vector<SegmentContent>& contents)
    {
        for (size_t i = 0; i < contents.size(); ++i) {
            for (SegmentRecord& record : contents[i].records) {
                if (!applyRecord(log, m_segments[i], std::move(record)))
                    return failCorrupt(segmentPath(contents[i].number), "the indexes of its entries have a gap");
            }
        }
        return true;
    }

    static bool applyRecord(RestoredLog<M>& log, Segment& segment, SegmentRecord record)
    {
        const auto* start = std::get_if<StartRecord>(&record);
        if (const auto* stateRecord = start ? &start->state : std::get_if<StateRecord>(&record)) {
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
        auto& entry = std::get<LogEntry<M>>(record);
        segment.lastIndex = std::max(segment.lastIndex, entry.index);
        if (entry.index <= base)
            return true;
        const uint64_t expected = log.entries.empty() ? base + 1 : log.entries.back().index + 1;
        if (entry.index != expected)
            return false;
        log.entries.push_back(std::move(entry));
        return true;
    }

    /// Syncs what an earlier process may have left unsynced, as the caller relies on what was restored.
    bool syncRestored()
    {
        File file;
        if (m_synced.segment && (!file.open(segmentPath(m_synced.segment), false) || !file.sync()))
            return failWrite(file);
        return File::syncFolder(m_folder) || failWrite("sync " + m_folder.string());
    }

    // Writing.

    bool append(uint64_t incarnation, const std::vector<LogWrite<M>>& writes)
    {
        for (const LogWrite<M>& write : writes) {
            if (!append(incarnation, write))
                return false;
        }
        return true;
    }

    bool append(uint64_t incarnation, const LogWrite<M>& write)
    {
        const bool isNewState = write.state && *write.state != m_state;
        if (write.state)
            m_state = *write.state;
        // Starting a segment first also shows cheaply whether the disk takes writes at all.
        if (!m_segment.isOpen() || incarnation != m_incarnation) {
            m_incarnation = incarnation;
            if (!startSegment())
                return false;
        } else if (isNewState) {
            m_unwrittenBytes += frame(StateRecord { m_incarnation, m_state });
        }
        if (write.snapshot && (!writeSnapshot(*write.snapshot) || !startSegment()))
            return false;
        if (write.snapshot)
            removeSegmentsThrough(write.snapshot->index);
        if (write.truncateFrom)
            m_unwrittenBytes += frame(TruncateRecord { write.truncateFrom });
        for (const LogEntry<M>& entry : write.entries) {
            m_segments.back().lastIndex = std::max(m_segments.back().lastIndex, entry.index);
            m_unwrittenBytes += frame(entry);
        }
        return true;
    }

    static std::string frame(SegmentRecord record) { return frameRecord(encode(record)); }

    bool flush()
    {
        const std::string bytes = std::exchange(m_unwrittenBytes, {});
        if (!bytes.empty() && !m_segment.append(bytes))
            return failWrite(m_segment);
        m_position.bytes += bytes.size();
        return true;
    }

    bool syncSegment() { return m_segment.sync() || failWrite(m_segment); }

    bool writeSnapshot(const Snapshot<M>& snapshot)
    {
        File file;
        if (!file.open(newSnapshotPath(), true) || !file.append(frameRecord(encode(snapshot))) || !file.sync()) {
            File::remove(newSnapshotPath());
            return failWrite(file);
        }
        if (!File::rename(newSnapshotPath(), snapshotPath()) || !File::syncFolder(m_folder))
            return failWrite("replace " + snapshotPath().string());
        return true;
    }

    /// Starts the next segment, which continues the log at the present position.
    bool startSegment()
    {
        // Earlier writes of the same batch may belong to the segment that is closed here.
        if (m_segment.isOpen() && (!flush() || !syncSegment()))
            return false;
        m_unwrittenBytes = frame(StartRecord { m_position, { m_incarnation, m_state } });
        m_position = { m_nextNumber++, 0 };
        const std::filesystem::path path = segmentPath(m_position.segment);
        if (!m_segment.open(path, true) || !flush() || !syncSegment()) {
            if (!File::remove(path)) // Nothing in it was synced.
                m_voidSegments.push_back(m_position.segment);
            return failWrite(m_segment);
        }
        if (!File::syncFolder(m_folder)) {
            m_voidSegments.push_back(m_position.segment);
            return failWrite("sync " + m_folder.string());
        }
        m_segments.push_back({ m_position.segment, 0 });
        for (const uint64_t number : std::exchange(m_voidSegments, {}))
            File::remove(segmentPath(number));
        return true;
    }

    /// Removes the segments whose entries the snapshot up to `index` covers, but for the last one.
    void removeSegmentsThrough(uint64_t index)
    {
        while (m_segments.size() > 1 && m_segments.front().lastIndex <= index) {
            File::remove(segmentPath(m_segments.front().number));
            m_segments.erase(m_segments.begin());
        }
    }

    /// Returns to the last position that is known to be synced. Later segments remain until another
    /// continues the log there: if earlier ones were removed already, only they hold the state.
    void abandonUnsynced()
    {
        while (!m_segments.empty() && m_segments.back().number > m_synced.segment) {
            m_voidSegments.push_back(m_segments.back().number);
            m_segments.pop_back();
        }
        m_segment = File();
        m_unwrittenBytes.clear();
        m_position = m_synced;
        m_state = m_syncedState;
    }

    std::filesystem::path m_folder;
    RecordFileReader m_reader;
    RecordDecoder m_decoder;
    File m_segment;
    std::string m_unwrittenBytes; ///< Records of the open segment that are still to be written.
    std::vector<Segment> m_segments;
    std::vector<uint64_t> m_voidSegments; ///< Removed once a later segment continues the log.
    uint64_t m_nextNumber = 1;
    Position m_position; ///< End of what was written to the log.
    Position m_synced; ///< End of what is known to be synced.
    uint64_t m_incarnation = 0;
    HardState m_state;
    HardState m_syncedState; ///< As of `m_synced`.
};

} // namespace eelgrassloft::io
