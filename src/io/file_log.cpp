#include "io/file_log.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace eelgrassloft::io {

namespace {

constexpr size_t frameHeaderBytes = 8;

uint32_t crcOf(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

uint32_t readUint32(const char* bytes)
{
    uint32_t number = 0;
    std::memcpy(&number, bytes, sizeof(number));
    return boost::endian::big_to_native(number);
}

void appendUint32(std::string& bytes, uint32_t number)
{
    number = boost::endian::native_to_big(number);
    bytes.append(reinterpret_cast<const char*>(&number), sizeof(number));
}

/// Payload length of the record at `offset`; nothing if it is incomplete or its checksum is wrong.
std::optional<size_t> payloadLength(std::string_view bytes, size_t offset)
{
    if (bytes.size() - offset < frameHeaderBytes)
        return std::nullopt;
    const size_t length = readUint32(bytes.data() + offset);
    if (!length || bytes.size() - offset - frameHeaderBytes < length)
        return std::nullopt;
    if (crcOf(bytes.substr(offset + frameHeaderBytes, length)) != readUint32(bytes.data() + offset + 4))
        return std::nullopt;
    return length;
}

bool hasRecordAfter(std::string_view bytes, size_t offset)
{
    for (size_t i = offset + 1; i + frameHeaderBytes <= bytes.size(); ++i) {
        if (payloadLength(bytes, i))
            return true;
    }
    return false;
}

} // namespace

std::string frameRecord(const std::string& payload)
{
    std::string bytes;
    bytes.reserve(payload.size() + frameHeaderBytes);
    appendUint32(bytes, static_cast<uint32_t>(payload.size()));
    appendUint32(bytes, crcOf(payload));
    bytes += payload;
    return bytes;
}

std::optional<std::vector<std::string>> RecordFileReader::read(const std::filesystem::path& path, size_t maxBytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return fail(ErrorKind::FileUnreadable, "cannot read " + path.string(), "check its owner and mode");
    std::ostringstream content;
    content << file.rdbuf();
    const std::string bytes = content.str().substr(0, maxBytes);
    std::vector<std::string> records;
    m_validBytes = 0;
    while (m_validBytes < bytes.size()) {
        const auto length = payloadLength(bytes, m_validBytes);
        if (!length)
            break;
        records.push_back(bytes.substr(m_validBytes + frameHeaderBytes, *length));
        m_validBytes += frameHeaderBytes + *length;
    }
    if (m_validBytes < bytes.size() && hasRecordAfter(bytes, m_validBytes))
        return fail(ErrorKind::FileCorrupt, "invalid record at offset " + std::to_string(m_validBytes) + ", followed by complete records", "restore the file");
    return records;
}

PosixAppendFile::PosixAppendFile(PosixAppendFile&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_path(std::move(other.m_path))
{
}

PosixAppendFile& PosixAppendFile::operator=(PosixAppendFile&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    std::swap(m_path, other.m_path);
    return *this;
}

PosixAppendFile::~PosixAppendFile()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

std::nullopt_t PosixAppendFile::failErrno(const char* operation)
{
    return fail(ErrorKind::FileWriteFailed, std::string(operation) + " " + m_path.string() + ": " + std::strerror(errno),
        "check the disk of the data folder");
}

std::optional<size_t> PosixAppendFile::open(const std::filesystem::path& path, bool isNew)
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_path = path;
    m_descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (isNew ? O_TRUNC : 0), 0640);
    if (m_descriptor < 0)
        return failErrno("cannot open");
    return 0;
}

std::optional<size_t> PosixAppendFile::append(const std::string& bytes)
{
    size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::write(m_descriptor, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return failErrno("cannot write");
        written += static_cast<size_t>(count);
        // Of two unsynced writes, a power loss may keep the second without the first.
        if (written < bytes.size() && !sync())
            return std::nullopt;
    }
    return written;
}

std::optional<size_t> PosixAppendFile::sync()
{
    if (m_descriptor < 0)
        return 0;
    if (::fdatasync(m_descriptor) != 0)
        return failErrno("cannot sync");
    return 0;
}

bool PosixAppendFile::rename(const std::filesystem::path& from, const std::filesystem::path& to)
{
    return ::rename(from.c_str(), to.c_str()) == 0;
}

bool PosixAppendFile::remove(const std::filesystem::path& path) { return ::unlink(path.c_str()) == 0; }

bool PosixAppendFile::syncFolder(const std::filesystem::path& folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return false;
    const bool isSynced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return isSynced;
}

} // namespace eelgrassloft::io
