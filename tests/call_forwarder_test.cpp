#include "call_forwarder.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrassloft;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(CallForwarderTests)

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
