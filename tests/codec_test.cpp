#include "io/record_codec.h"
#include "peer_messages.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

std::vector<PeerMessage> examples()
{
    std::vector<PeerMessage> messages;
    messages.emplace_back(PeerHello { UINT64_MAX, 1, true, false });
    messages.emplace_back(HostStatus { 70000, true });
    AppendRequest<DataCentreStateMachine> append;
    append.term = 300;
    append.sentAt = Time(5s);
    append.entries.push_back({ 1, 2, Time(1h), TermStart {} });
    append.entries.push_back({ 2, 2, Time(1h), Membership { { { HostId { 1 }, 9 } }, {} } });
    append.entries.push_back({ 3, 2, Time(1h), DataCentreStateMachine::Command(SettleKey { "k", {}, Outcome::Answered, {}, { 200, "text/plain", makeBlob(std::string(300, 'x')) } }) });
    append.entries.push_back({ 4, 2, Time(1h), DataCentreStateMachine::Command(TaskCommand(CancelJobs { { "a", "b" } })) });
    messages.emplace_back(ReplicaMessage<DataCentreStateMachine> { { HostId { 1 }, 5 }, { HostId { 2 }, 6 }, append });
    SnapshotRequest<CellStateMachine> snapshot;
    snapshot.snapshot.stateMachine.apply(Time(1h), ApplyChange { "op", std::nullopt, { {}, {}, {}, {}, { JobSpecBuilder("j").build() }, {} }, { "dc" } });
    messages.emplace_back(ReplicaMessage<CellStateMachine> { {}, {}, snapshot });
    messages.emplace_back(ShareReport { Time(-1s), true, { { "u", 1, 2, 3 } }, { { "s", 4, Time(1h) } } });
    messages.emplace_back(ForwardedReply { CallId { 1 }, { WorkerReplyStatus::Renewed, 5s, { { WorkerCommandKind::Run, TaskId { 1 }, 2, "j", "c", { 1, 2, 3 } } } } });
    return messages;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Codec)

BOOST_AUTO_TEST_CASE(decodingRestoresEncodedMessages)
{
    RecordDecoder decoder;
    for (const PeerMessage& message : examples()) {
        const std::string bytes = encode(message);
        const auto decoded = decoder.decode<PeerMessage>(bytes);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(encode(*decoded) == bytes);
    }
}

BOOST_AUTO_TEST_CASE(encodedSizeIsTheSizeThatTheCodecWrites)
{
    for (const PeerMessage& message : examples())
        BOOST_TEST(encodedSize(message) == encode(message).size());
}

BOOST_AUTO_TEST_CASE(malformedAndTruncatedMessagesAreRefused)
{
    RecordDecoder decoder;
    BOOST_TEST(!decoder.decode<PeerMessage>("garbage").has_value());
    BOOST_TEST((decoder.lastError().kind != ErrorKind::None));
    BOOST_TEST(!decoder.decode<PeerMessage>("").has_value());
    for (const PeerMessage& message : examples()) {
        const std::string bytes = encode(message);
        for (size_t length = 0; length < bytes.size(); ++length)
            BOOST_TEST(!decoder.decode<PeerMessage>(bytes.substr(0, length)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(anEnumeratorOutOfRangeIsRefused)
{
    RecordDecoder decoder;
    const std::string bytes = encode(ClaimResult { ClaimStatus::Unknown, UnknownReason::OwnerLost, {} });
    std::string wrong = bytes;
    wrong[1] = static_cast<char>(countOf<ClaimStatus>);
    BOOST_TEST(decoder.decode<ClaimResult>(bytes).has_value());
    BOOST_TEST(!decoder.decode<ClaimResult>(wrong).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
