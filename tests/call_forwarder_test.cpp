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

/// A forwarder without a target, and what it does with the calls that are added.
template <OutagePolicy Policy = WaitForLeader>
struct Outage {
    Outage() { step.now = Time(1h); }

    void add(ControlRequest request, Duration timeout)
    {
        status.reset();
        forwarder.add(step, { CallId { ++calls }, std::move(request), step.now + timeout });
        collect();
    }

    /// Notes the calls that were sent and the latest reply.
    void collect()
    {
        for (const FleetEffect& effect : std::exchange(step.effects, {})) {
            if (const auto* message = std::get_if<SendFleetMessage>(&effect))
                sent.push_back(std::get<ForwardedCall>(message->message).number);
            if (const auto* reply = std::get_if<SendControlReply>(&effect))
                status = reply->reply.status;
        }
    }

    void run(Duration duration)
    {
        for (const Time end = step.now + duration; step.now < end; step.now += 10ms) {
            forwarder.tick(step);
            collect();
        }
    }

    /// Returns the time until a call has a reply, of 5 s at most.
    Duration waitForReply()
    {
        const Time begin = step.now;
        for (; step.now < begin + 5s; step.now += 10ms) {
            forwarder.tick(step);
            collect();
            if (status)
                break;
        }
        return step.now - begin;
    }

    FleetStep step;
    BasicCallForwarder<Policy> forwarder { HostId { 9 } };
    uint64_t calls = 0;
    std::vector<uint64_t> sent; ///< Calls in the order of their sending.
    std::optional<ControlStatus> status; ///< Of the latest reply.
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
    forwarder.add(step, { CallId { 1 }, SubmitJob {}, step.now + 1s });
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
    forwarder.add(step, { CallId { 1 }, SubmitJob {}, step.now + 1s });
    BOOST_TEST(!forwarder.takeAll().front().mayHaveRun);
    forwarder.setTarget(step, HostId { 1 });
    forwarder.add(step, { CallId { 2 }, SubmitJob {}, step.now + 1s });
    forwarder.add(step, { CallId { 3 }, SubmitJob {}, step.now + 1s });
    forwarder.add(step, { CallId { 4 }, GetJobState {}, step.now + 1s });
    forwarder.receive(step, { 3, HostId { 9 }, { ControlStatus::NotAccepted, {}, 0, {} } });
    const std::vector<ControlCallReceived> calls = forwarder.takeAll();
    BOOST_REQUIRE(calls.size() == 3U);
    BOOST_TEST(calls[0].mayHaveRun);
    BOOST_TEST(!calls[1].mayHaveRun);
    BOOST_TEST(!calls[2].mayHaveRun); // The outcome of a read is never uncertain.
}

/// A submission that was sent to a host which was then cut off would be refused at once without a control host, or
/// after another host refused it, and run later.
BOOST_AUTO_TEST_CASE(submissionThatMayStillArriveIsNeverRefused)
{
    Outage test;
    test.forwarder.setTarget(test.step, leader);
    test.add(SubmitJob {}, 2s);
    test.forwarder.didDisconnect(leader);
    test.forwarder.setReach(test.step.now, LeaderReach::Electing, 1);
    test.forwarder.setTarget(test.step, other, false);
    test.forwarder.receive(test.step, { 1, HostId { 9 }, { ControlStatus::NotAccepted, {}, 0, {} } });
    test.forwarder.didDisconnect(other);
    test.forwarder.setReach(test.step.now, LeaderReach::Unreachable, 0);
    BOOST_TEST(test.waitForReply() == 2s);
    BOOST_TEST((test.status == ControlStatus::Unavailable));
}

/// A caller submitted a job again after a reply without an outcome. The second call was refused, as nothing of it had been
/// sent, and the first one ran when its host went on.
BOOST_AUTO_TEST_CASE(jobWithAnUnknownOutcomeIsNotRefusedLater)
{
    Outage test;
    const auto submit = [&](uint64_t key) { return SubmitJob { { JobKey { key }, "queue", {}, {} }, {} }; };
    test.forwarder.setTarget(test.step, leader);
    test.add(submit(7), 2s);
    test.forwarder.didDisconnect(leader);
    test.forwarder.setReach(test.step.now, LeaderReach::Unreachable, 0);
    BOOST_TEST(test.waitForReply() == 2s);
    test.add(submit(7), 2s);
    BOOST_TEST(test.waitForReply() == 2s);
    BOOST_TEST((test.status == ControlStatus::Unavailable));
    test.add(submit(8), 2s); // Another job.
    BOOST_TEST(test.waitForReply() == 0s);
    BOOST_TEST((test.status == ControlStatus::NotAccepted));
    // The next leader has the job in the log, or takes it, so the outcome is known from then on.
    test.add(submit(7), 2s);
    test.forwarder.setTarget(test.step, other);
    test.forwarder.receive(test.step, { test.calls, HostId { 9 }, {} });
    test.forwarder.didDisconnect(other);
    test.add(submit(7), 2s);
    BOOST_TEST(test.waitForReply() == 0s);
    BOOST_TEST((test.status == ControlStatus::NotAccepted));
}

/// What a host remembers of jobs with an unknown outcome is bounded in time and number.
BOOST_AUTO_TEST_CASE(unsettledJobsAreForgotten)
{
    UnsettledJobs jobs;
    const Time begin(1h);
    for (uint64_t key = 1; key <= config::maxUnsettledJobs + 1; ++key)
        jobs.add(JobKey { key }, begin);
    BOOST_TEST(!jobs.contains(JobKey { 1 }, begin));
    BOOST_TEST(jobs.contains(JobKey { 2 }, begin + config::unsettledJobLifetime - 1ms));
    BOOST_TEST(!jobs.contains(JobKey { 2 }, begin + config::unsettledJobLifetime));
    jobs.settle(JobKey { 3 });
    jobs.add(JobKey { 3 }, begin + 1s);
    jobs.dropExpired(begin + config::unsettledJobLifetime);
    BOOST_TEST(!jobs.contains(JobKey { 4 }, begin));
    BOOST_TEST(jobs.contains(JobKey { 3 }, begin + config::unsettledJobLifetime));
}

/// Calls waited for a second although no control host was connected, and callers lost that time in an outage.
BOOST_AUTO_TEST_CASE(callThatWasNotSentIsRefusedAtOnceWithoutAControlHost)
{
    Outage test;
    test.forwarder.setReach(test.step.now, LeaderReach::Unreachable, 0);
    test.add(SubmitJob {}, 2s);
    BOOST_TEST(test.waitForReply() == 0s);
    BOOST_TEST((test.status == ControlStatus::NotAccepted));
}

/// Calls that had waited for a leader all ended when the last connection broke, and their callers came back together.
BOOST_AUTO_TEST_CASE(callsThatWaitedWhenTheLastConnectionBrokeEndApart)
{
    Outage test;
    test.forwarder.setReach(test.step.now, LeaderReach::Electing, 1);
    for (int call = 0; call < 100; ++call) {
        test.add(SubmitJob {}, 2s);
        test.run(10ms);
    }
    test.forwarder.setReach(test.step.now, LeaderReach::Unreachable, 0);
    size_t most = 0;
    for (size_t before = test.forwarder.size(); before; before = test.forwarder.size()) {
        test.run(50ms);
        most = std::max(most, before - test.forwarder.size());
    }
    BOOST_TEST(most <= 100U / 8);
}

/// Sends to a connection that was lost a moment ago made calls uncertain that were never written to it.
BOOST_AUTO_TEST_CASE(nothingIsSentToAHostWhoseConnectionIsLost)
{
    Outage test;
    test.forwarder.setTarget(test.step, leader);
    test.forwarder.didDisconnect(leader);
    test.add(SubmitJob {}, 2s);
    test.forwarder.setReach(test.step.now, LeaderReach::Unreachable, 0);
    BOOST_TEST(test.waitForReply() == 0s);
    BOOST_TEST((test.status == ControlStatus::NotAccepted));
    BOOST_TEST(test.sent.empty());
}

/// Calls that could be served were refused after a second, while the election took longer over a slow link.
BOOST_AUTO_TEST_CASE(callWaitsForAnElection)
{
    Outage<FixedWait> before;
    before.forwarder.setReach(before.step.now, LeaderReach::Electing, 2);
    before.add(SubmitJob {}, 2500ms);
    BOOST_TEST(before.waitForReply() == config::unsentCallTimeout);
    Outage test;
    test.forwarder.setReach(test.step.now, LeaderReach::Electing, 2);
    test.add(SubmitJob {}, 2500ms);
    BOOST_TEST(test.waitForReply() == config::maxElectionTime);
    BOOST_TEST((test.status == ControlStatus::NotAccepted));
}

/// Hosts that restart together connect one after the other: calls that came between the first and the second one would
/// be refused although a leader is about to come.
BOOST_AUTO_TEST_CASE(callWaitsForFurtherControlHostsToConnect)
{
    Outage test;
    test.forwarder.setReach(test.step.now, LeaderReach::NoQuorum, 1);
    test.step.now += 100ms;
    test.add(SubmitJob {}, 2500ms);
    BOOST_TEST(test.waitForReply() == config::quorumWait - 100ms);
    test.step.now += 1s;
    test.add(SubmitJob {}, 2500ms);
    BOOST_TEST(test.waitForReply() == 0s);
}

/// Reads ended without an outcome, though they have none that could be uncertain.
BOOST_AUTO_TEST_CASE(readIsNeverUncertain)
{
    for (const ControlRequest& read : { ControlRequest(GetJobState {}), ControlRequest(CountPendingJobs {}), ControlRequest(GetConfig {}), ControlRequest(FindQueueInForce {}) }) {
        Outage test;
        test.forwarder.setTarget(test.step, leader);
        test.add(read, 2s);
        test.run(100ms);
        BOOST_TEST(!test.status.has_value()); // The leader may be about to answer.
        test.forwarder.didDisconnect(leader);
        test.forwarder.setReach(test.step.now, LeaderReach::Unreachable, 0);
        BOOST_TEST(test.waitForReply() < config::refusalSpread);
        BOOST_TEST((test.status == ControlStatus::NotAccepted));
        test.forwarder.setReach(test.step.now, LeaderReach::Leading, 1);
        test.forwarder.setTarget(test.step, leader);
        test.add(read, 2s);
        BOOST_TEST(test.waitForReply() == 2s);
        BOOST_TEST((test.status == ControlStatus::NotAccepted));
    }
}

/// After a change of leader the calls were sent again as they had come, and those with little time left ended behind
/// others that could have waited.
BOOST_AUTO_TEST_CASE(nextLeaderGetsTheCallsWithTheLeastTimeLeftFirst)
{
    Outage test;
    test.forwarder.setTarget(test.step, leader);
    test.add(SubmitJob {}, 2s);
    test.add(SubmitJob {}, 1s);
    test.add(SubmitJob {}, 1500ms);
    test.sent.clear();
    test.forwarder.setTarget(test.step, other);
    test.collect();
    BOOST_TEST((test.sent == std::vector<uint64_t> { 2, 3, 1 }));
}

/// A control host that passed a call on to the former leader begins to lead itself. The call waited for its next
/// attempt, since it had not been refused.
BOOST_AUTO_TEST_CASE(hostThatBeginsToLeadGetsTheCallsThatItPassedOn)
{
    Outage test;
    test.forwarder.setTarget(test.step, other, false);
    test.add(SubmitJob {}, 2s);
    test.run(300ms);
    test.sent.clear();
    test.forwarder.setTarget(test.step, other, true);
    test.run(config::callRetryInterval - 300ms + 20ms);
    BOOST_TEST((test.sent == std::vector<uint64_t> { 1 }));
}

/// In the 1.2 s until the loss of a powerless host's connection is noticed, submissions were sent to it and ended
/// without an outcome.
BOOST_AUTO_TEST_CASE(submissionIsHeldBackWhileAllControlHostsAreSilent)
{
    Outage test;
    test.forwarder.setTarget(test.step, leader);
    test.forwarder.setHeld(test.step, true);
    test.add(SubmitJob {}, 2s);
    test.add(GetJobState {}, 2s);
    BOOST_TEST((test.sent == std::vector<uint64_t> { 2 }));
    test.run(100ms);
    test.forwarder.setHeld(test.step, false);
    test.collect();
    BOOST_TEST((test.sent == std::vector<uint64_t> { 2, 1 }));
    BOOST_TEST(!test.status.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
