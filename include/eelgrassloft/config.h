#pragma once

#include "eelgrassloft/time.h"

#include <cstddef>
#include <cstdint>

/// Limits and periods of the whole code base.
namespace eelgrassloft::config {

using namespace std::chrono_literals;

// Requests.
inline constexpr size_t maxHeaderBytes = 8UL * 1024;
inline constexpr size_t maxBodyBytes = 1024UL * 1024;
inline constexpr size_t maxRecordedAnswerBytes = 64UL * 1024;
inline constexpr size_t maxKeyBytes = 128;
inline constexpr size_t maxServiceNameBytes = 64;
inline constexpr size_t maxQueuedRequests = 4096; // per service and entry host
inline constexpr size_t maxCallerConnections = 1024;
inline constexpr Duration defaultRequestTimeout = 10s;
inline constexpr Duration maxRequestTimeout = 10min;
inline constexpr Duration callerReadTimeout = 10s;
inline constexpr Duration callerIdleTimeout = 60s;
inline constexpr Duration claimSettleGrace = 500ms;

// Retries.
inline constexpr uint32_t maxAttemptsPerRequest = 4;
inline constexpr uint32_t retryTokensPerRequest = 1; // in tenths of a retry
inline constexpr uint32_t retryTokenCost = 10;
inline constexpr uint32_t retryTokenReserve = 100; // ten retries without any traffic

// Upstreams.
inline constexpr uint32_t maxUpstreams = 4096;
inline constexpr uint32_t maxSlotsPerUpstream = 1024;
inline constexpr Duration announcementLifetime = 2s;
inline constexpr Duration upstreamConnectTimeout = 500ms;
inline constexpr Duration idleConnectionLifetime = 5s;
inline constexpr Duration idleTrustLimit = 500ms; // for work that runs at most once
inline constexpr Duration lateAnswerLimit = 30s; // after the deadline, before a connection is given up
inline constexpr Duration unconfirmedLimit = 2s; // of bytes sent without a sign of the peer
inline constexpr int keepAliveIdleSeconds = 1;
inline constexpr int keepAliveIntervalSeconds = 1;
inline constexpr int keepAliveProbes = 3;
inline constexpr uint32_t outlierFailures = 5;
inline constexpr Duration outlierPause = 5s;
inline constexpr Duration refusalPause = 20ms; // doubled with each refusal in a row
inline constexpr Duration maxRefusalPause = 1s;
inline constexpr int latencyWeightShift = 3; // weight of a new sample: 1/8

// Shares of the slots of an upstream.
inline constexpr Duration shareLease = 1s;
inline constexpr Duration shareReportPeriod = 250ms;
inline constexpr Duration shareDemandPeriod = 5ms; // between reports while requests wait
inline constexpr Duration shareRecallLifetime = 50ms;
inline constexpr Duration shareFairnessGap = 2ms; // difference of waits below which queues are left alone
inline constexpr Duration clockBound = 50ms; // clock rate error over any lease

// Replicated logs.
inline constexpr Duration heartbeatPeriod = 100ms;
inline constexpr Duration cellHeartbeatPeriod = 250ms;
inline constexpr uint32_t electionTimeoutHeartbeats = 5;
inline constexpr size_t maxEntriesPerAppend = 256;
inline constexpr size_t maxUnconfirmedEntries = 4096;
inline constexpr uint64_t maxUnackedEntries = 2048; // on their way to one member
inline constexpr size_t snapshotThresholdEntries = 1024;
inline constexpr uint64_t recordsPerSnapshotEntry = 8; // a larger state is copied after more entries

// Peer connections.
inline constexpr uint32_t peerProtocolVersion = 1;
inline constexpr size_t maxFrameBytes = 16UL * 1024 * 1024;
inline constexpr size_t maxPeerMailbox = 8192;
inline constexpr Duration peerReconnectDelay = 200ms;
inline constexpr Duration peerSilenceLimit = 2s;
inline constexpr Duration statusPeriod = 500ms;
inline constexpr Duration proposalRetry = 200ms;
inline constexpr Duration settleTimeout = 1min;
inline constexpr Duration operatorTimeout = 10s;
inline constexpr Duration workerReplyHold = 1s; // longest wait for a command before an empty reply
inline constexpr Duration workerCallTimeout = 3s; // of a forwarded report
inline constexpr Duration blockedJobPatience = 5s; // before workers are kept free for an all-at-once job
inline constexpr Duration planPeriod = 500ms; // between plans while nothing changes
inline constexpr size_t maxRefusedSizes = 64; // remembered in one plan
inline constexpr size_t maxTasksLookedAt = 4096; // per plan
inline constexpr uint32_t usageTolerancePercent = 10; // over its reservation before a task is acted on

// Records of idempotent requests.
inline constexpr Duration claimSegment = 10min;
inline constexpr Duration claimLifetime = 24h;

// Configuration.
inline constexpr size_t maxOperationIdBytes = 128;
inline constexpr size_t maxRememberedOperations = 4096;

// Tasks.
inline constexpr Duration taskLease = 5s;
inline constexpr uint32_t maxTasksPerJob = 4096;
inline constexpr uint32_t maxTaskAttempts = 8;
inline constexpr uint32_t workerFailureJobs = 3; // distinct jobs failed in a row
inline constexpr Duration workerPause = 5min;
inline constexpr size_t maxRememberedChanges = 8192; // of workers, for indexes that follow the state
inline constexpr size_t bestFitCandidates = 512;
inline constexpr size_t spreadCandidates = 64; // workers in racks that the job does not use
inline constexpr size_t maxSpreadCandidates = 256;
inline constexpr double imbalanceWeight = 4;
inline constexpr double idleAcceleratorWeight = 4; // keeps accelerators free for tasks that use them
inline constexpr size_t maxPlacementsPerStep = 256;

// Jobs that callers hand in.
inline constexpr Duration endedJobLifetime = 180s; // callers may ask for the state for 120 s
inline constexpr uint32_t maxOccurrences = 256;
inline constexpr uint32_t maxStepsPerJob = 64;
inline constexpr size_t maxWorkTextBytes = 4000;

// Workers that are called.
inline constexpr Duration lookGap = 120ms; // between two looks at one worker
inline constexpr Duration lookHold = 1s; // longest wait of a worker before it answers a look
inline constexpr Duration orderTimeout = 700ms; // without an answer
inline constexpr Duration orderRetry = 150ms;
inline constexpr size_t directWorkers = 100; // that the leader calls itself; see docs/CAPACITY.md
inline constexpr Duration relayMargin = 300ms; // for a call that another host makes, over its own timeout
inline constexpr Duration silentRelayPause = 3s; // before a host that did not answer is asked to call again
inline constexpr int slowClockPercent = 98; // a worker's clock may be this slow
inline constexpr Duration ticketMargin = 150ms; // before its end a ticket is no longer used
inline constexpr uint32_t failuresToSetAside = 2; // distinct jobs failed in a row on a worker
inline constexpr Duration setAsidePause = 5s;
inline constexpr Duration stuckRunLimit = 1200ms; // without progress; a percent of the longest runs takes less

inline constexpr Duration planGap = 5ms; // between two plans
inline constexpr Duration planGapUnit = 300us; // more for each 1,000 pairs of a step that waits and a worker

// Gangs that wait for room.
inline constexpr size_t maxHeldGangs = 3; // of a priority, for which workers are kept free at a time
inline constexpr size_t workersPerHeldGang = 16; // in large fleets, of all workers
inline constexpr size_t gangAdviceWorkers = 30; // named in one question for a gang
inline constexpr uint32_t nearlyDonePercent = 80; // a run beyond this is not stopped for another

// Fleet.
inline constexpr Duration fleetStatusPeriod = 300ms;
inline constexpr Duration fleetHeartbeat = 60ms; // of the log; elections take five to ten of them
inline constexpr Duration fleetAppendGap = 3ms; // between messages with new entries, below the time of a sync
inline constexpr Duration fleetLinkSilence = 1200ms;
inline constexpr Duration leaderContactLimit = 2s; // an entry host without it is not ready
inline constexpr Duration configResend = 1500ms; // to an entry host that has not confirmed it
inline constexpr Duration callRetry = 400ms; // of a call that was passed on
inline constexpr Duration controlCallTimeout = 2500ms;
inline constexpr Duration unsentCallPatience = 1s; // for a leader to be known
inline constexpr Duration voterSilence = 3s; // before a voter is replaced
inline constexpr Duration callerConnectionLifetime = 20s; // idle, to workers and services
inline constexpr size_t maxAdviceWorkers = 100; // that one call may name
inline constexpr size_t hostsForShortAdvice = 3; // kept free of long calls
inline constexpr Duration longAdvice = 200ms;
inline constexpr size_t maxFleetMailbox = 65536;
inline constexpr size_t maxMessagesInARow = 16; // that the core takes before the links are read again
inline constexpr size_t fleetSnapshotEntries = 4096; // between snapshots, which copy the whole state

// Daemon.
inline constexpr size_t maxNodeMailbox = 65536;
inline constexpr Duration drainNotice = 1s; // readiness fails this long before accepting ends
inline constexpr Duration drainLimit = 30s;
inline constexpr Duration drainFlush = 200ms;
inline constexpr Duration timeLeapLimit = 500ms; // a longer gap between steps is reported as a leap

} // namespace eelgrassloft::config
