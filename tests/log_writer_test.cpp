#include "io/log_writer.h"
#include "support/replica_cluster.h"
#include "support/temporary_folder.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace eelgrassloft::testing;

namespace {

/// File of a disk that is full while the flag is set.
class RefusingFile : public PosixAppendFile {
public:
    std::optional<size_t> open(const std::filesystem::path& path, bool isNew)
    {
        ++attempts();
        return isFull() ? refuse() : PosixAppendFile::open(path, isNew);
    }

    std::optional<size_t> append(const std::string& bytes) { return isFull() ? refuse() : PosixAppendFile::append(bytes); }

    static std::atomic<bool>& isFull()
    {
        static std::atomic<bool> isFull = false;
        return isFull;
    }

    static std::atomic<int>& attempts()
    {
        static std::atomic<int> attempts = 0;
        return attempts;
    }

private:
    std::optional<size_t> refuse() { return fail(ErrorKind::FileWriteFailed, "no room", "free the disk"); }
};

struct Observed {
    uint64_t synced = 0;
    int refusals = 0;
};

struct RecordingObserver {
    Observed& observed;

    void didSync(uint64_t sequence) { observed.synced = sequence; }
    void didRefuse(const Error&) { ++observed.refusals; }
};

LogWrite<ListMachine> writeOf(uint64_t sequence, uint64_t index)
{
    LogWrite<ListMachine> write;
    write.sequence = sequence;
    write.entries.push_back({ index, 1, Time {}, ListMachine::Append { index } });
    return write;
}

/// Runs the tasks until `done` holds, for 10 s at most.
template <typename Predicate>
bool runUntil(asio::io_context& context, Predicate done)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!done() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return done();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(LogWriterTests, TemporaryFolder)

BOOST_AUTO_TEST_CASE(writesThatAFullDiskRefusesAreWrittenOnceItHasRoom)
{
    Observed observed;
    asio::io_context context;
    asio::thread_pool storageThread(1);
    LogWriter<ListMachine, RecordingObserver, RefusingFile> writer(context, storageThread, { observed });
    auto file = std::make_unique<FileLog<ListMachine, RefusingFile>>(path);
    file->restore();
    writer.setFile(std::move(file));
    writer.write(42, writeOf(1, 1));
    BOOST_REQUIRE(runUntil(context, [&] { return observed.synced == 1; }));
    RefusingFile::isFull() = true;
    RefusingFile::attempts() = 0;
    for (uint64_t i = 2; i <= 50; ++i)
        writer.write(42, writeOf(i, i));
    BOOST_TEST(runUntil(context, [&] { return RefusingFile::attempts() >= 3; }));
    for (uint64_t i = 51; i <= 60; ++i)
        writer.write(42, writeOf(i, i));
    BOOST_TEST(observed.refusals == 1);
    BOOST_TEST(observed.synced == 1U);
    RefusingFile::isFull() = false;
    BOOST_TEST(runUntil(context, [&] { return observed.synced == 60; }));
    RefusingFile::isFull() = true;
    writer.write(42, writeOf(61, 61));
    BOOST_TEST(runUntil(context, [&] { return observed.refusals == 2; }));
    RefusingFile::isFull() = false;
    BOOST_TEST(runUntil(context, [&] { return observed.synced == 61; }));
    storageThread.join();
    FileLog<ListMachine> reopened(path);
    const auto restored = reopened.restore();
    BOOST_REQUIRE_MESSAGE(restored.has_value(), reopened.lastError().text());
    BOOST_TEST(restored->entries.size() == 61U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(MergeLogWritesTests)

namespace {

/// Ids by index after a series of writes, from the snapshot and the entries.
struct Stored {
    std::optional<HardState> state;
    std::vector<uint64_t> ids;

    void apply(const LogWrite<ListMachine>& write)
    {
        if (write.state)
            state = write.state;
        if (write.truncateFrom && ids.size() >= write.truncateFrom)
            ids.resize(write.truncateFrom - 1);
        if (write.snapshot && ids.size() < write.snapshot->index)
            ids = write.snapshot->stateMachine.ids;
        for (const auto& entry : write.entries) {
            BOOST_REQUIRE(entry.index == ids.size() + 1);
            ids.push_back(std::get<ListMachine::Append>(entry.payload).id);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(mergedWriteHasTheEffectOfAllAndStaysSmall)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        Stored stored;
        Stored storedMerged;
        LogWrite<ListMachine> merged;
        uint64_t snapshotIndex = 0;
        uint64_t nextId = 1;
        for (uint64_t sequence = 1; sequence <= 30; ++sequence) {
            LogWrite<ListMachine> write;
            write.sequence = sequence;
            const uint64_t last = stored.ids.size();
            if (random.below(3) == 0)
                write.state = HardState { sequence, {} };
            if (random.below(5) == 0) {
                write.snapshot = Snapshot<ListMachine> { snapshotIndex + random.below(last - snapshotIndex + 1), 1, Time {}, {}, {} };
                snapshotIndex = write.snapshot->index;
                write.snapshot->stateMachine.ids.assign(stored.ids.begin(), stored.ids.begin() + static_cast<ptrdiff_t>(snapshotIndex));
            }
            uint64_t index = last;
            if (last > snapshotIndex && random.below(4) == 0) {
                write.truncateFrom = snapshotIndex + 1 + random.below(last - snapshotIndex);
                index = write.truncateFrom - 1;
            }
            for (uint64_t i = random.below(4); i; --i)
                write.entries.push_back({ ++index, 1, Time {}, ListMachine::Append { nextId++ } });
            stored.apply(write);
            sequence == 1 ? void(merged = std::move(write)) : mergeLogWrite(merged, std::move(write));
        }
        storedMerged.apply(merged);
        BOOST_TEST(merged.sequence == 30U);
        BOOST_TEST((storedMerged.state == stored.state));
        BOOST_TEST(storedMerged.ids == stored.ids);
        BOOST_TEST(merged.entries.size() == stored.ids.size() - (merged.snapshot ? snapshotIndex : 0));
    }
}

BOOST_AUTO_TEST_SUITE_END()
