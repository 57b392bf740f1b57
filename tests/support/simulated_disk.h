#pragma once

#include "io/file_log.h"
#include "random.h"
#include "replica_cluster.h"

#include <fstream>
#include <map>
#include <memory>

namespace eelgrassloft::testing {

/// Disk in memory that keeps track of what was synced. After each operation it builds images of what
/// a power loss may leave, and checks what `io::FileLog` restores from them: of the writes since the
/// last sync, each is present, missing or torn; of the names that were created, renamed or removed
/// since the last sync of the folder, each change is kept or lost.
class SimulatedDisk {
public:
    struct File {
        std::string synced;
        std::vector<std::string> unsyncedWrites;
    };
    using FileRef = std::shared_ptr<File>;

    SimulatedDisk(std::filesystem::path imageFolder, uint64_t seed)
        : m_imageFolder(std::move(imageFolder))
        , m_random(seed)
    {
        current() = this;
    }

    ~SimulatedDisk() { current() = nullptr; }

    static SimulatedDisk*& current()
    {
        static SimulatedDisk* disk = nullptr;
        return disk;
    }

    /// Refuses `count` operations after the first `first`.
    void refuse(int first, int count)
    {
        m_firstRefused = first;
        m_endRefused = first + count;
    }

    /// Until `endBatch`, any number of the batch's changes may be restored, in their order.
    void beginBatch(const std::vector<LogWrite<ListMachine>>& batch)
    {
        m_allowed.resize(1);
        for (const auto& write : batch)
            allowChanges(write);
    }

    void endBatch()
    {
        m_allowed.erase(m_allowed.begin(), m_allowed.end() - 1);
        checkPowerLoss();
    }

    const std::vector<std::string>& failures() const { return m_failures; }
    size_t checkedStates() const { return m_checkedStates; }

    // Operations; they return false where they are refused.

    FileRef open(const std::string& name, bool isNew)
    {
        if (!isNew)
            return m_names.contains(name) ? m_names[name] : nullptr;
        if (isRefused())
            return nullptr;
        const auto file = std::make_shared<File>();
        change({ {}, name, file });
        return file;
    }

    bool append(File& file, const std::string& bytes)
    {
        const bool isAccepted = !isRefused();
        file.unsyncedWrites.push_back(isAccepted ? bytes : bytes.substr(0, bytes.size() * 2 / 3));
        checkPowerLoss();
        return isAccepted;
    }

    bool sync(const FileRef& file)
    {
        if (isRefused()) {
            checkPowerLoss();
            return false;
        }
        for (const std::string& bytes : std::exchange(file->unsyncedWrites, {}))
            file->synced += bytes;
        for (auto i = m_unsyncedChanges.begin(); i != m_unsyncedChanges.end();) { // A new file's name is synced with it.
            const bool isCreation = i->file == file && i->from.empty();
            if (isCreation)
                apply(m_syncedNames, *i);
            i = isCreation ? m_unsyncedChanges.erase(i) : i + 1;
        }
        checkPowerLoss();
        return true;
    }

    bool rename(const std::string& from, const std::string& to)
    {
        if (isRefused())
            return false;
        change({ from, to, m_names.at(from) });
        return true;
    }

    bool remove(const std::string& name)
    {
        if (!m_names.contains(name))
            return false;
        change({ name, {}, nullptr });
        return true;
    }

    bool syncFolder()
    {
        if (isRefused())
            return false;
        m_syncedNames = m_names;
        m_unsyncedChanges.clear();
        checkPowerLoss();
        return true;
    }

private:
    static constexpr uint64_t statesPerOperation = 3;

    using Names = std::map<std::string, FileRef>;

    /// A name that was created (`to` with `file`), renamed, or removed (`from`).
    struct NameChange {
        std::string from;
        std::string to;
        FileRef file;
    };

    /// What a restored log holds, the snapshot and the entries taken together.
    struct Content {
        uint64_t term = 0;
        std::vector<uint64_t> ids;

        friend bool operator==(const Content&, const Content&) = default;
    };

    bool isRefused()
    {
        const int operation = m_operations++;
        return operation >= m_firstRefused && operation < m_endRefused;
    }

    static void apply(Names& names, const NameChange& change)
    {
        if (!change.from.empty())
            names.erase(change.from);
        if (!change.to.empty())
            names[change.to] = change.file;
    }

    void change(NameChange change)
    {
        apply(m_names, change);
        m_unsyncedChanges.push_back(std::move(change));
        checkPowerLoss();
    }

    void allowChanges(const LogWrite<ListMachine>& write)
    {
        Content content = m_allowed.back();
        if (write.state) {
            content.term = write.state->term;
            m_allowed.push_back(content);
        }
        if (write.truncateFrom) {
            content.ids.resize(std::min<size_t>(content.ids.size(), write.truncateFrom - 1));
            m_allowed.push_back(content);
        }
        for (const auto& entry : write.entries) {
            content.ids.push_back(std::get<ListMachine::Append>(entry.payload).id);
            m_allowed.push_back(content);
        }
    }

    /// Whether a power loss can leave one state only.
    bool isAllSynced() const
    {
        return m_unsyncedChanges.empty() && std::all_of(m_names.begin(), m_names.end(), [](const auto& named) { return named.second->unsyncedWrites.empty(); });
    }

    void checkPowerLoss()
    {
        for (uint64_t i = 0; i < (isAllSynced() ? 1 : statesPerOperation); ++i) {
            Names names = m_syncedNames;
            for (const NameChange& change : m_unsyncedChanges) {
                if (m_random.below(2))
                    apply(names, change);
            }
            std::filesystem::remove_all(m_imageFolder);
            std::filesystem::create_directories(m_imageFolder);
            for (const auto& [name, file] : names)
                std::ofstream(m_imageFolder / name, std::ios::binary) << contentAfterPowerLoss(*file);
            checkImage();
        }
    }

    std::string contentAfterPowerLoss(const File& file)
    {
        std::string content = file.synced;
        size_t offset = content.size();
        for (const std::string& bytes : file.unsyncedWrites) {
            const uint64_t kept = m_random.below(3);
            const std::string part = bytes.substr(0, kept == 0 ? 0 : kept == 1 ? m_random.below(bytes.size() + 1)
                                                                               : bytes.size());
            if (!part.empty()) {
                content.resize(offset, '\0');
                content += part;
            }
            offset += bytes.size();
        }
        return content;
    }

    void checkImage();

    std::filesystem::path m_imageFolder;
    Random m_random;
    int m_operations = 0;
    int m_firstRefused = 0;
    int m_endRefused = 0;
    Names m_names;
    Names m_syncedNames;
    std::vector<NameChange> m_unsyncedChanges;
    std::vector<Content> m_allowed { Content {} };
    std::vector<std::string> m_failures;
    size_t m_checkedStates = 0;
};

/// File on the simulated disk.
class SimulatedFile : public LastError {
public:
    std::optional<size_t> open(const std::filesystem::path& path, bool isNew)
    {
        m_file = SimulatedDisk::current()->open(path.filename(), isNew);
        return m_file ? std::optional<size_t>(0) : refuse();
    }

    std::optional<size_t> append(const std::string& bytes) { return SimulatedDisk::current()->append(*m_file, bytes) ? std::optional(bytes.size()) : refuse(); }
    std::optional<size_t> sync() { return SimulatedDisk::current()->sync(m_file) ? std::optional<size_t>(0) : refuse(); }
    bool isOpen() const { return m_file != nullptr; }

    static bool rename(const std::filesystem::path& from, const std::filesystem::path& to) { return SimulatedDisk::current()->rename(from.filename(), to.filename()); }
    static bool remove(const std::filesystem::path& path) { return SimulatedDisk::current()->remove(path.filename()); }
    static bool syncFolder(const std::filesystem::path&) { return SimulatedDisk::current()->syncFolder(); }

private:
    std::optional<size_t> refuse() { return fail(ErrorKind::FileWriteFailed, "refused", ""); }

    SimulatedDisk::FileRef m_file;
};

/// File whose syncs do nothing, to look at many images in little time.
class UnsyncedFile : public io::PosixAppendFile {
public:
    std::optional<size_t> sync() { return 0; }
    static bool syncFolder(const std::filesystem::path&) { return true; }
};

/// Restores the image, and once more after another write to it.
inline void SimulatedDisk::checkImage()
{
    ++m_checkedStates;
    const auto restore = [&](io::FileLog<ListMachine, UnsyncedFile>& log, Content& content) {
        const auto restored = log.restore();
        if (!restored)
            return log.lastError().kind == ErrorKind::None;
        content.term = restored->state.term;
        if (restored->snapshot)
            content.ids = restored->snapshot->stateMachine.ids;
        for (const auto& entry : restored->entries)
            content.ids.push_back(std::get<ListMachine::Append>(entry.payload).id);
        return true;
    };
    Content content;
    io::FileLog<ListMachine, UnsyncedFile> log(m_imageFolder);
    if (!restore(log, content)) {
        m_failures.push_back("operation " + std::to_string(m_operations) + ": " + log.lastError().text());
        return;
    }
    if (std::find(m_allowed.begin(), m_allowed.end(), content) == m_allowed.end())
        m_failures.push_back("operation " + std::to_string(m_operations) + ": " + std::to_string(content.ids.size()) + " entries in term " + std::to_string(content.term));
    LogWrite<ListMachine> write;
    write.state = HardState { content.term, {} };
    write.entries.push_back({ content.ids.size() + 1, 1, Time {}, ListMachine::Append { 77 } });
    content.ids.push_back(77);
    Content again;
    io::FileLog<ListMachine, UnsyncedFile> reopened(m_imageFolder);
    if (!log.write(42, { write }) || !restore(reopened, again) || again != content)
        m_failures.push_back("operation " + std::to_string(m_operations) + ", after another write: " + reopened.lastError().text());
}

} // namespace eelgrassloft::testing
