#include "io/file_log.h"
#include "support/replica_cluster.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <unistd.h>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using eelgrassloft::testing::ListMachine;
namespace fs = std::filesystem;

namespace {

struct TemporaryFolder {
    explicit TemporaryFolder(const std::string& suffix = "")
        : path(fs::temp_directory_path() / ("eelgrassloft-test-" + std::to_string(::getpid()) + suffix))
    {
        fs::remove_all(path);
    }

    ~TemporaryFolder() { fs::remove_all(path); }

    fs::path segment(int number) const { return path / ("segment-" + std::to_string(number)); }

    void overwriteByte(const fs::path& file, size_t offset, char value) const
    {
        std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
        stream.seekp(static_cast<std::streamoff>(offset));
        stream.put(value);
    }

    fs::path path;
};

LogWrite<ListMachine> writeOf(uint64_t sequence, std::vector<uint64_t> indexes, uint64_t truncateFrom = 0)
{
    LogWrite<ListMachine> write;
    write.sequence = sequence;
    write.truncateFrom = truncateFrom;
    for (const uint64_t index : indexes)
        write.entries.push_back({ index, 1, Time {}, ListMachine::Append { index * 10 } });
    return write;
}

std::vector<uint64_t> indexesOf(const RestoredLog<ListMachine>& log)
{
    std::vector<uint64_t> indexes;
    for (const auto& entry : log.entries)
        indexes.push_back(entry.index);
    return indexes;
}

using Indexes = std::vector<uint64_t>;

/// Which of the writes after the last sync a power loss drops.
enum class PowerLoss {
    DropsAll,
    DropsFirst, ///< The first is lost, and later ones are kept.
};

/// File that loses unsynced writes in a simulated power loss.
class LossyFile : public PosixAppendFile {
public:
    std::optional<size_t> open(const fs::path& file, bool isNew)
    {
        m_file = file;
        if (isNew)
            unsyncedWrites()[file].clear();
        return PosixAppendFile::open(file, isNew);
    }

    std::optional<size_t> append(const std::string& bytes)
    {
        unsyncedWrites()[m_file].push_back({ fs::file_size(m_file), bytes.size() });
        return PosixAppendFile::append(bytes);
    }

    std::optional<size_t> sync()
    {
        unsyncedWrites()[m_file].clear();
        return PosixAppendFile::sync();
    }

    static void losePower(PowerLoss loss)
    {
        for (const auto& [file, writes] : std::exchange(unsyncedWrites(), {})) {
            if (writes.empty() || !fs::exists(file))
                continue;
            if (loss == PowerLoss::DropsAll) {
                fs::resize_file(file, writes.front().offset);
                continue;
            }
            std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
            stream.seekp(static_cast<std::streamoff>(writes.front().offset));
            stream << std::string(writes.front().size, '\0');
        }
    }

private:
    struct Write {
        uintmax_t offset = 0;
        size_t size = 0;
    };

    static std::map<fs::path, std::vector<Write>>& unsyncedWrites()
    {
        static std::map<fs::path, std::vector<Write>> writes;
        return writes;
    }

    fs::path m_file;
};

/// File of a process that is killed before it syncs its first batch. Starting the log syncs twice,
/// the last segment and the first record of the new one; later syncs have no effect.
class KilledFile : public LossyFile {
public:
    std::optional<size_t> sync()
    {
        constexpr int syncsAtStart = 2;
        return syncCount()++ < syncsAtStart ? LossyFile::sync() : 0;
    }

    static int& syncCount()
    {
        static int count = 0;
        return count;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FileLogTests, TemporaryFolder)

BOOST_AUTO_TEST_CASE(anEmptyFolderHoldsNoLog)
{
    FileLog<ListMachine> log(path);
    BOOST_TEST(!log.restore().has_value());
    BOOST_TEST((log.lastError().kind == ErrorKind::None));
}

BOOST_AUTO_TEST_CASE(writtenEntriesAndStateAreRestored)
{
    {
        FileLog<ListMachine> log(path);
        log.restore();
        auto first = writeOf(1, { 1, 2, 3 });
        first.state = HardState { 4, { HostId { 2 }, 7 } };
        BOOST_REQUIRE(log.write(42, { first, writeOf(2, { 3, 4 }, 3) }));
    }
    FileLog<ListMachine> reopened(path);
    const auto restored = reopened.restore();
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST(restored->incarnation == 42U);
    BOOST_TEST((restored->state == HardState { 4, { HostId { 2 }, 7 } }));
    BOOST_TEST((indexesOf(*restored) == Indexes { 1, 2, 3, 4 }));
}

BOOST_AUTO_TEST_CASE(aSnapshotReplacesOldSegments)
{
    {
        FileLog<ListMachine> log(path);
        log.restore();
        BOOST_REQUIRE(log.write(42, { writeOf(1, { 1, 2, 3, 4 }) }));
        auto write = writeOf(2, { 5 });
        write.snapshot = Snapshot<ListMachine> { 4, 1, Time {}, {}, { { 10, 20, 30, 40 } } };
        BOOST_REQUIRE(log.write(42, { write }));
    }
    BOOST_TEST(!fs::exists(segment(1)));
    FileLog<ListMachine> reopened(path);
    const auto restored = reopened.restore();
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST(restored->snapshot->stateMachine.ids.size() == 4U);
    BOOST_TEST((indexesOf(*restored) == Indexes { 5 }));
}

BOOST_AUTO_TEST_CASE(entriesAfterASnapshotAreRestored)
{
    {
        FileLog<ListMachine> log(path);
        log.restore();
        BOOST_REQUIRE(log.write(42, { writeOf(1, { 1, 2, 3, 4 }) }));
        LogWrite<ListMachine> write;
        write.sequence = 2;
        write.snapshot = Snapshot<ListMachine> { 2, 1, Time {}, {}, { { 10, 20 } } };
        BOOST_REQUIRE(log.write(42, { write, writeOf(3, { 5 }) }));
    }
    FileLog<ListMachine> reopened(path);
    const auto restored = reopened.restore();
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST((indexesOf(*restored) == Indexes { 3, 4, 5 }));
}

/// Until the folder is synced again, a power loss may bring back each removed segment by itself.
BOOST_AUTO_TEST_CASE(removedSegmentsThatComeBackChangeNothing)
{
    const auto writeTwice = [&](LogWrite<ListMachine> first, LogWrite<ListMachine> second, uint64_t term) {
        FileLog<ListMachine> log(path);
        log.restore();
        first.state = HardState { term, { HostId { 2 }, 7 } };
        BOOST_REQUIRE(log.write(42, { std::move(first) }));
        BOOST_REQUIRE(log.write(42, { std::move(second) }));
    };
    writeTwice(writeOf(1, { 1, 2, 3, 4, 5, 6 }), writeOf(2, { 4, 5 }, 4), 1);
    writeTwice(writeOf(1, { 5, 6, 7 }, 5), writeOf(2, { 8, 9 }), 2);
    writeTwice(writeOf(1, { 7, 8 }, 7), writeOf(2, { 9 }), 3);
    const TemporaryFolder removed("removed");
    fs::copy(path, removed.path);
    auto last = writeOf(2, { 10, 11 }, 10);
    last.snapshot = Snapshot<ListMachine> { 9, 3, Time {}, {}, { { 10, 20, 30, 40, 50, 60, 70, 80, 90 } } };
    writeTwice(writeOf(1, {}), std::move(last), 4);
    constexpr int removedCount = 3;
    for (int kept = 0; kept < 1 << removedCount; ++kept) {
        for (int number = 1; number <= removedCount; ++number) {
            fs::remove(segment(number));
            if (kept >> (number - 1) & 1)
                fs::copy(removed.segment(number), segment(number));
        }
        FileLog<ListMachine> reopened(path);
        const auto restored = reopened.restore();
        BOOST_REQUIRE_MESSAGE(restored.has_value(), reopened.lastError().text());
        BOOST_TEST((indexesOf(*restored) == Indexes { 10, 11 }));
        BOOST_TEST(restored->snapshot->index == 9U);
        BOOST_TEST(restored->state.term == 4U);
    }
}

/// A batch with entries, a snapshot that does not cover them and more entries goes to two segments.
/// A power loss leaves a gap if the first is not synced before the second is started.
BOOST_AUTO_TEST_CASE(aPowerLossAfterASnapshotLeavesNoGap)
{
    {
        FileLog<ListMachine, LossyFile> log(path);
        log.restore();
        LogWrite<ListMachine> snapshot;
        snapshot.sequence = 2;
        snapshot.snapshot = Snapshot<ListMachine> { 2, 1, Time {}, {}, { { 10, 20 } } };
        BOOST_REQUIRE(log.write(42, { writeOf(1, { 1, 2, 3, 4 }), snapshot, writeOf(3, { 5 }) }));
    }
    LossyFile::losePower(PowerLoss::DropsAll);
    FileLog<ListMachine> reopened(path);
    const auto restored = reopened.restore();
    BOOST_REQUIRE_MESSAGE(restored.has_value(), reopened.lastError().text());
    BOOST_TEST((indexesOf(*restored) == Indexes { 3, 4, 5 }));
}

/// Writes reach the disk in any order until they are synced. If a batch were several writes, a power
/// loss could drop the first and keep the second, which a restore refuses as corrupt.
BOOST_AUTO_TEST_CASE(aPowerLossBeforeTheSyncOfABatchDropsTheWholeBatch)
{
    {
        FileLog<ListMachine, LossyFile> log(path);
        log.restore();
        BOOST_REQUIRE(log.write(42, { writeOf(1, { 1, 2 }) }));
    }
    {
        KilledFile::syncCount() = 0;
        FileLog<ListMachine, KilledFile> log(path);
        log.restore();
        BOOST_REQUIRE(log.write(42, { writeOf(2, { 3 }), writeOf(3, { 4 }) }));
    }
    LossyFile::losePower(PowerLoss::DropsFirst);
    FileLog<ListMachine> reopened(path);
    const auto restored = reopened.restore();
    BOOST_REQUIRE_MESSAGE(restored.has_value(), reopened.lastError().text());
    BOOST_TEST((indexesOf(*restored) == Indexes { 1, 2 }));
}

/// A process that is killed between a write and its sync leaves records that the next one restores.
/// A power loss leaves a gap if they are not synced before a new segment is started.
BOOST_AUTO_TEST_CASE(restoredEntriesAreSyncedBeforeTheNextSegmentStarts)
{
    {
        FileLog<ListMachine, LossyFile> log(path);
        log.restore();
        BOOST_REQUIRE(log.write(42, { writeOf(1, { 1, 2 }) }));
    }
    {
        KilledFile::syncCount() = 0;
        FileLog<ListMachine, KilledFile> killed(path);
        killed.restore();
        BOOST_REQUIRE(killed.write(42, { writeOf(2, { 3 }) }));
    }
    {
        FileLog<ListMachine, LossyFile> log(path);
        BOOST_REQUIRE((indexesOf(*log.restore()) == Indexes { 1, 2, 3 }));
        BOOST_REQUIRE(log.write(42, { writeOf(1, { 4 }) }));
    }
    LossyFile::losePower(PowerLoss::DropsAll);
    FileLog<ListMachine> reopened(path);
    const auto restored = reopened.restore();
    BOOST_REQUIRE_MESSAGE(restored.has_value(), reopened.lastError().text());
    BOOST_TEST((indexesOf(*restored) == Indexes { 1, 2, 3, 4 }));
}

BOOST_AUTO_TEST_CASE(aTornRecordAtTheEndIsTruncated)
{
    {
        FileLog<ListMachine> log(path);
        log.restore();
        BOOST_REQUIRE(log.write(42, { writeOf(1, { 1, 2, 3 }) }));
    }
    const auto whole = fs::file_size(segment(1));
    for (uintmax_t size = whole - 1; size > whole - 8; --size) {
        fs::resize_file(segment(1), size);
        FileLog<ListMachine> reopened(path);
        const auto restored = reopened.restore();
        BOOST_REQUIRE(restored.has_value());
        BOOST_TEST((indexesOf(*restored) == Indexes { 1, 2 }));
    }
    FileLog<ListMachine> reopened(path);
    reopened.restore();
    BOOST_REQUIRE(reopened.write(42, { writeOf(1, { 3 }) }));
    FileLog<ListMachine> last(path);
    BOOST_TEST((indexesOf(*last.restore()) == Indexes { 1, 2, 3 }));
}

BOOST_AUTO_TEST_CASE(corruptionBeforeCompleteRecordsIsReportedWithFileAndRemedy)
{
    {
        FileLog<ListMachine> log(path);
        log.restore();
        BOOST_REQUIRE(log.write(42, { writeOf(1, { 1, 2, 3 }) }));
    }
    const auto size = fs::file_size(segment(1));
    for (size_t offset = 0; offset + 30 < size; offset += 3) {
        const auto copy = fs::path(path.string() + "-copy");
        fs::remove_all(copy);
        fs::copy(path, copy, fs::copy_options::recursive);
        overwriteByte(copy / "segment-1", offset, static_cast<char>(0xee));
        FileLog<ListMachine> reopened(copy);
        BOOST_TEST(!reopened.restore().has_value());
        BOOST_TEST((reopened.lastError().kind == ErrorKind::FileCorrupt));
        BOOST_TEST(reopened.lastError().message.find("segment-1") != std::string::npos);
        BOOST_TEST(!reopened.lastError().remedy.empty());
        fs::remove_all(copy);
    }
}

BOOST_AUTO_TEST_CASE(aRestoredReplicaKeepsItsTermAndEntries)
{
    Replica<ListMachine> replica({ HostId { 0 }, 42 }, {}, Time(std::chrono::hours(1)));
    {
        FileLog<ListMachine> log(path);
        log.restore();
        auto write = writeOf(1, { 1, 2 });
        write.state = HardState { 9, {} };
        BOOST_REQUIRE(log.write(42, { write }));
    }
    FileLog<ListMachine> reopened(path);
    replica.restore(Time(std::chrono::hours(1)), *reopened.restore());
    BOOST_TEST(replica.term() == 9U);
    BOOST_TEST(replica.lastIndex() == 2U);
    BOOST_TEST(replica.stateMachine().ids.empty()); // Nothing is known to be committed yet.
}

BOOST_AUTO_TEST_SUITE_END()
