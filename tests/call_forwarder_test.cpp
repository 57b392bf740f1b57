#include "call_forwarder.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

namespace {

constexpr HostId leader { 1 };
constexpr HostId other { 2 };

/// A forwarder with one call, made at the time 1 h.
struct Forwarding {
    Forwarding()
    {
        step.now = Time(1h);
        forwarder.setTarget(step, leader);
        forwarder.add(step, { CallId { 1 }, GetConfig {}, step.now + config::controlCallTimeout });
    }

    /// Hosts to which the call was sent since the last call of this.
    std::vector<HostId> takeSent()
    {
        std::vector<HostId> hosts;
        for (const FleetEffect& effect : std::exchange(step.effects, {})) {
            if (const auto* sent = std::get_if<SendFleetMessage>(&effect))
                hosts.push_back(sent->to);
        }
        return hosts;
    }

    void run(Duration duration)
    {
        const Time end = step.now + duration;
        for (; step.now < end; step.now += 10ms)
            forwarder.tick(step);
    }

    FleetStep step;
    CallForwarder forwarder { HostId { 9 } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(CallForwarderTests)

/// Calls of a megabyte were sent again every 400 ms over a full link, which held them up.
BOOST_AUTO_TEST_CASE(callWithoutAnAnswerIsSentAgainAfterGrowingTimes)
{
    Forwarding test;
    test.run(config::callResendInterval - 20ms);
    BOOST_TEST(test.takeSent().size() == 1U);
    test.run(config::controlCallTimeout - config::callResendInterval);
    BOOST_TEST(test.takeSent().size() == 2U);
}

BOOST_AUTO_TEST_CASE(refusedCallIsSentAgainSoon)
{
    Forwarding test;
    test.takeSent();
    test.step.now += 10ms;
    test.forwarder.receive(test.step, { 1, HostId { 9 }, { ControlStatus::NotAccepted, {}, 0, {} } });
    test.run(config::callRetryInterval - 20ms);
    BOOST_TEST(test.takeSent().empty());
    test.run(30ms);
    BOOST_TEST(test.takeSent().size() == 1U);
}

/// A connection that was replaced has lost the calls on it.
BOOST_AUTO_TEST_CASE(callIsSentAgainAtOnceOverANewConnection)
{
    Forwarding test;
    test.takeSent();
    test.forwarder.didConnect(test.step, other);
    BOOST_TEST(test.takeSent().empty());
    test.forwarder.didConnect(test.step, leader);
    BOOST_TEST((test.takeSent() == std::vector<HostId> { leader }));
    test.forwarder.setTarget(test.step, other);
    BOOST_TEST((test.takeSent() == std::vector<HostId> { other }));
}

/// Questions ended without an answer though another control host could have forwarded them.
BOOST_AUTO_TEST_CASE(callWithoutAnAnswerGoesByAnotherControlHost)
{
    Forwarding test;
    test.forwarder.setRelay(other);
    test.run(config::callResendInterval + 20ms);
    BOOST_TEST((test.takeSent() == std::vector<HostId> { leader, other }));
    test.run(config::controlCallTimeout - config::callResendInterval - 40ms);
    BOOST_TEST((test.takeSent() == std::vector<HostId> { leader }));
}

/// One of two attempts was refused without effect. The other may have taken effect, so at the
/// deadline the outcome is unknown.
BOOST_AUTO_TEST_CASE(refusedAttemptDoesNotSettleTheOtherAttempts)
{
    CallForwarder forwarder(HostId { 9 });
    FleetStep step;
    step.now = Time(1h);
    forwarder.setTarget(step, HostId { 1 });
    forwarder.add(step, { CallId { 1 }, GetConfig {}, step.now + 1s });
    forwarder.setTarget(step, HostId { 2 });
    step.effects.clear();
    step.now += 1s;
    forwarder.receive(step, { 1, HostId { 9 }, { ControlStatus::NotAccepted, {}, 0, {} } });
    forwarder.tick(step);
    BOOST_REQUIRE(step.effects.size() == 2U); // The log line that names the outcome, then the reply.
    BOOST_TEST((std::get<LogEvent>(step.effects.front()).kind == LogEventKind::CallUnanswered));
    BOOST_TEST((std::get<SendControlReply>(step.effects.back()).reply.status == ControlStatus::Unavailable));
}

/// One of two copies of a submission was refused. Its caller was told that the job never runs while the other
/// copy was on its way by another control host.
BOOST_AUTO_TEST_CASE(overloadIsReportedOnceNoOtherCopyIsOpen)
{
    Forwarding test;
    test.forwarder.setRelay(other);
    test.run(config::callResendInterval + 20ms);
    BOOST_TEST((test.takeSent() == std::vector<HostId> { leader, other }));
    ControlReply refusal { ControlStatus::Overloaded, {}, 0, {} };
    refusal.retryAfter = 7s;
    const auto replies = [&] {
        test.forwarder.receive(test.step, { 1, HostId { 9 }, refusal });
        const auto effects = std::exchange(test.step.effects, {});
        return effects.empty() ? std::optional<ControlReply> {} : std::get<SendControlReply>(effects.front()).reply;
    };
    BOOST_TEST(!replies().has_value());
    const auto last = replies();
    BOOST_REQUIRE(last.has_value());
    BOOST_TEST((last->status == ControlStatus::Overloaded));
    BOOST_TEST((last->retryAfter == 7s));
}

/// A host that became the leader said of calls that they had not run, although it had forwarded them
/// to the former leader before.
BOOST_AUTO_TEST_CASE(forwardedCallMayHaveRunWhereItsHostBecomesTheLeader)
{
    CallForwarder forwarder(HostId { 9 });
    FleetStep step;
    step.now = Time(1h);
    forwarder.add(step, { CallId { 1 }, GetConfig {}, step.now + 1s });
    BOOST_TEST(!forwarder.takeAll().front().mayHaveRun);
    forwarder.setTarget(step, HostId { 1 });
    forwarder.add(step, { CallId { 2 }, GetConfig {}, step.now + 1s });
    forwarder.add(step, { CallId { 3 }, GetConfig {}, step.now + 1s });
    forwarder.receive(step, { 3, HostId { 9 }, { ControlStatus::NotAccepted, {}, 0, {} } });
    const std::vector<ControlCallReceived> calls = forwarder.takeAll();
    BOOST_REQUIRE(calls.size() == 2U);
    BOOST_TEST(calls.front().mayHaveRun);
    BOOST_TEST(!calls.back().mayHaveRun);
}

BOOST_AUTO_TEST_SUITE_END()
