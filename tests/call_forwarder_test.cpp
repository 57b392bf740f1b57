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

BOOST_AUTO_TEST_SUITE_END()
