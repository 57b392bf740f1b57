#include "io/peer_network.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <thread>

using namespace eelgrassloft;
using namespace eelgrassloft::io;
using namespace std::chrono_literals;

namespace {

constexpr Duration timeout = 50ms;

/// A listener whose queue is full, so that the system drops further attempts without an answer.
class FullListener {
public:
    explicit FullListener(asio::io_context& context)
        : m_acceptor(context)
        , m_queued(context)
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.bind({ asio::ip::make_address("127.0.0.2"), 0 });
        m_acceptor.listen(0);
        m_queued.connect(m_acceptor.local_endpoint());
    }

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// The local port of an attempt that has not been answered, or 0.
    uint16_t portOfAttempt() const
    {
        constexpr std::string_view sent = "02";
        std::ifstream table("/proc/self/net/tcp");
        std::string number, local, remote, state, rest;
        std::getline(table, rest);
        while (table >> number >> local >> remote >> state && std::getline(table, rest)) {
            if (state == sent && portOf(remote) == port())
                return portOf(local);
        }
        return 0;
    }

private:
    static uint16_t portOf(const std::string& address) { return static_cast<uint16_t>(std::stoul(address.substr(address.find(':') + 1), nullptr, 16)); }

    tcp::acceptor m_acceptor;
    tcp::socket m_queued;
};

NodeSettings settingsFor(uint16_t port)
{
    NodeSettingsBuilder builder;
    builder.cluster("cluster").self(1);
    for (uint32_t id = 1; id <= 2; ++id) {
        HostSettings host;
        host.id = HostId { id };
        host.dataCentre = "data-centre";
        host.address = "127.0.0." + std::to_string(id);
        host.peerPort = port;
        builder.host(std::move(host));
    }
    return builder.build();
}

template <typename Condition>
bool runUntil(asio::io_context& context, Condition holds)
{
    for (int i = 0; i < 5000 && !holds(); ++i) {
        context.poll();
        std::this_thread::sleep_for(1ms);
    }
    return holds();
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnansweredPeerConnect)

/// A host that lost power while another one connected to it was tried again only after the system's own
/// limit of some minutes.
BOOST_AUTO_TEST_CASE(anAttemptWithoutAnAnswerIsReplaced)
{
    asio::io_context context;
    FullListener listener(context);
    EventLog log("", "OFF");
    NodeMailbox mailbox(context.get_executor(), config::nodeMailboxCapacity);
    const NodeSettings settings = settingsFor(listener.port());
    PeerNetwork network(context, settings, mailbox, log, timeout);
    BOOST_REQUIRE(!network.start());
    BOOST_REQUIRE(runUntil(context, [&] { return listener.portOfAttempt() != 0; }));
    const uint16_t first = listener.portOfAttempt();
    BOOST_TEST(runUntil(context, [&] { return listener.portOfAttempt() != 0 && listener.portOfAttempt() != first; }));
}

BOOST_AUTO_TEST_SUITE_END()
