#include "support/simulated_disk.h"
#include "support/temporary_folder.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace eelgrassloft::testing;
namespace fs = std::filesystem;

namespace {

/// File of a disk that can be full: it then creates no file, and keeps the first part of a write.
class FillableFile : public PosixAppendFile {
public:
    enum class Refusal {
        None,
        Open,
        Write,
        Sync,
    };

    std::optional<size_t> open(const fs::path& path, bool isNew)
    {
        if (refusal() == Refusal::Open && isNew)
            return refuse();
        return PosixAppendFile::open(path, isNew);
    }

    std::optional<size_t> append(const std::string& bytes)
    {
        if (refusal() != Refusal::Write)
            return PosixAppendFile::append(bytes);
        PosixAppendFile::append(bytes.substr(0, bytes.size() * 2 / 3));
        return refuse();
    }

    std::optional<size_t> sync() { return refusal() == Refusal::Sync ? refuse() : PosixAppendFile::sync(); }

    static Refusal& refusal()
    {
        static Refusal refusal = Refusal::None;
        return refusal;
    }

private:
    std::optional<size_t> refuse() { return fail(ErrorKind::FileWriteFailed, "no room", "free the disk"); }
};

using Refusal = FillableFile::Refusal;
constexpr std::array refusals { Refusal::Open, Refusal::Write, Refusal::Sync };

LogWrite<ListMachine> writeOf(std::vector<uint64_t> indexes, uint64_t truncateFrom = 0)
{
    LogWrite<ListMachine> write;
    write.truncateFrom = truncateFrom;
    for (const uint64_t index : indexes)
        write.entries.push_back({ index, 1, Time {}, ListMachine::Append { index * 10 } });
    return write;
}

LogWrite<ListMachine> snapshotAt(uint64_t index)
{
    LogWrite<ListMachine> write;
    write.snapshot = Snapshot<ListMachine> { index, 1, Time {}, {}, {} };
    for (uint64_t i = 1; i <= index; ++i)
        write.snapshot->stateMachine.ids.push_back(i * 10);
    return write;
}

using Indexes = std::vector<uint64_t>;

Indexes restoredIndexes(const fs::path& folder)
{
    FileLog<ListMachine> log(folder);
    const auto restored = log.restore();
    BOOST_REQUIRE_MESSAGE(restored.has_value(), log.lastError().text());
    Indexes indexes;
    for (const auto& entry : restored->entries)
        indexes.push_back(entry.index);
    return indexes;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(FileLogTests, TemporaryFolder)

BOOST_AUTO_TEST_CASE(fullDiskLeavesALogThatGoesOn)
{
    for (const Refusal refusal : refusals) {
        fs::remove_all(path);
        FileLog<ListMachine, FillableFile> log(path);
        log.restore();
        BOOST_REQUIRE(log.write(42, { writeOf({ 1, 2 }) }));
        FillableFile::refusal() = refusal;
        const bool isWritten = log.write(42, { writeOf({ 3 }), writeOf({ 2, 3, 4 }, 2) });
        BOOST_TEST(isWritten == (refusal == Refusal::Open)); // The segment is open already.
        for (int i = 0; i < 3 && !isWritten; ++i)
            BOOST_TEST(!log.write(42, { writeOf({ 3 }), writeOf({ 2, 3, 4 }, 2) }));
        FillableFile::refusal() = Refusal::None;
        if (!isWritten)
            BOOST_REQUIRE(log.write(42, { writeOf({ 3 }), writeOf({ 2, 3, 4 }, 2), writeOf({ 5 }) }));
        BOOST_REQUIRE(log.write(42, { writeOf({ 5, 6 }, 5) }));
        BOOST_TEST((restoredIndexes(path) == Indexes { 1, 2, 3, 4, 5, 6 }));
    }
}

BOOST_AUTO_TEST_CASE(fullDiskAtARestartLeavesALogThatGoesOn)
{
    for (const Refusal refusal : refusals) {
        fs::remove_all(path);
        {
            FileLog<ListMachine, FillableFile> log(path);
            log.restore();
            BOOST_REQUIRE(log.write(42, { writeOf({ 1, 2 }) }));
        }
        FileLog<ListMachine, FillableFile> log(path);
        FillableFile::refusal() = refusal;
        auto restored = log.restore();
        BOOST_TEST(restored.has_value() == (refusal != Refusal::Sync)); // Unsynced records must not be relied on.
        if (!restored)
            BOOST_TEST((log.lastError().kind == ErrorKind::FileWriteFailed));
        BOOST_TEST(!log.write(42, { writeOf({ 3 }) }));
        FillableFile::refusal() = Refusal::None;
        if (!restored)
            BOOST_REQUIRE(log.restore().has_value());
        BOOST_REQUIRE(log.write(42, { writeOf({ 3 }) }));
        BOOST_TEST((restoredIndexes(path) == Indexes { 1, 2, 3 }));
    }
}

BOOST_AUTO_TEST_CASE(fullDiskDuringASnapshotLeavesTheFormerSnapshotInForce)
{
    for (const Refusal refusal : refusals) {
        fs::remove_all(path);
        FileLog<ListMachine, FillableFile> log(path);
        log.restore();
        BOOST_REQUIRE(log.write(42, { writeOf({ 1, 2, 3, 4 }), snapshotAt(2) }));
        FillableFile::refusal() = refusal;
        BOOST_TEST(!log.write(42, { snapshotAt(4), writeOf({ 5 }) }));
        FillableFile::refusal() = Refusal::None;
        BOOST_TEST(!fs::exists(path / "snapshot.new"));
        const Indexes indexes = restoredIndexes(path);
        BOOST_TEST((indexes == Indexes { 3, 4 }));
        BOOST_REQUIRE(log.write(42, { snapshotAt(4), writeOf({ 5 }) }));
        BOOST_TEST((restoredIndexes(path) == Indexes { 5 }));
        BOOST_TEST(std::distance(fs::directory_iterator(path), fs::directory_iterator()) == 2); // The snapshot and one segment.
    }
}

/// At each operation, for each state that a power loss may leave, with refusals at each operation.
BOOST_AUTO_TEST_CASE(everyStateThatAPowerLossLeavesHoldsWhatWasSynced)
{
    const auto stateAt = [](uint64_t term) {
        LogWrite<ListMachine> write = writeOf({});
        write.state = HardState { term, {} };
        return write;
    };
    const std::vector<std::vector<LogWrite<ListMachine>>> batches {
        { stateAt(1), writeOf({ 1, 2 }) },
        { writeOf({ 3 }), stateAt(2), writeOf({ 2, 3, 4 }, 2) },
        { writeOf({ 5 }), snapshotAt(4), writeOf({ 6 }) },
        { writeOf({ 6, 7 }, 6) },
        { snapshotAt(6) },
        { snapshotAt(7), writeOf({ 8 }), stateAt(3) },
    };
    constexpr int operationsInAll = 50;
    for (const int refusedOperations : { 0, 1, 4 }) {
        for (int first = 0; first < (refusedOperations ? operationsInAll : 1); ++first) {
            fs::remove_all(path);
            fs::create_directories(path);
            SimulatedDisk disk(path / "image", static_cast<uint64_t>(first * 10 + refusedOperations));
            disk.refuse(first, refusedOperations);
            FileLog<ListMachine, SimulatedFile> log(path / "log");
            log.restore();
            for (const auto& batch : batches) {
                disk.beginBatch(batch);
                int attempts = 0;
                while (!log.write(42, batch) && ++attempts < 20) { }
                BOOST_REQUIRE(attempts < 20);
                disk.endBatch();
            }
            BOOST_REQUIRE_MESSAGE(disk.failures().empty(), disk.failures().front());
            BOOST_TEST(disk.checkedStates() > 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
