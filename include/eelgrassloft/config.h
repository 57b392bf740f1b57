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
inline constexpr Duration atMostOnceIdleLimit = 500ms; // for work that runs at most once
inline constexpr Duration lateAnswerTimeout = 30s; // after the deadline, before a connection is given up
inline constexpr Duration tcpUserTimeout = 2s; // of bytes sent without a sign of the peer
inline constexpr int tcpKeepAliveIdleSeconds = 1;
inline constexpr int tcpKeepAliveIntervalSeconds = 1;
inline constexpr int tcpKeepAliveProbes = 3;
inline constexpr uint32_t failuresToEject = 5;
inline constexpr Duration ejectionDuration = 5s;
inline constexpr Duration refusalBackoff = 20ms; // doubled with each refusal in a row
inline constexpr Duration maxRefusalBackoff = 1s;
inline constexpr int latencyWeightShift = 3; // weight of a new sample: 1/8

// Shares of the slots of an upstream.
inline constexpr Duration shareLease = 1s;
inline constexpr Duration shareReportPeriod = 250ms;
inline constexpr Duration shareDemandPeriod = 5ms; // between reports while requests wait
inline constexpr Duration shareRecallLifetime = 50ms;
inline constexpr Duration shareFairnessThreshold = 2ms; // difference of waits below which queues are left alone
inline constexpr Duration maxClockDrift = 50ms; // clock rate error over any lease

// Replicated logs.
inline constexpr Duration heartbeatPeriod = 100ms;
inline constexpr Duration cellHeartbeatPeriod = 250ms;
inline constexpr uint32_t electionTimeoutHeartbeats = 5;
inline constexpr size_t maxEntriesPerAppend = 256;
inline constexpr size_t maxUncommittedEntries = 4096;
inline constexpr uint64_t maxInFlightEntries = 2048; // on their way to one member
inline constexpr size_t snapshotThresholdEntries = 1024;
inline constexpr uint64_t recordsPerSnapshotEntry = 8; // a larger state is copied after more entries

// Peer connections.
inline constexpr uint32_t peerProtocolVersion = 1;
inline constexpr size_t maxFrameBytes = 16UL * 1024 * 1024;
inline constexpr size_t peerMailboxCapacity = 8192;
inline constexpr Duration peerReconnectDelay = 200ms;
inline constexpr Duration peerTimeout = 2s;
inline constexpr Duration statusPeriod = 500ms;
inline constexpr Duration proposalRetryInterval = 200ms;
inline constexpr Duration claimSettleTimeout = 1min;
inline constexpr Duration operatorTimeout = 10s;
inline constexpr Duration maxReportWait = 1s; // longest wait for a command before an empty reply
inline constexpr Duration forwardedReportTimeout = 3s; // of a forwarded report
inline constexpr Duration gangReservationDelay = 5s; // before workers are kept free for an all-at-once job
inline constexpr Duration idlePlanPeriod = 500ms; // between plans while nothing changes
inline constexpr size_t maxUnplaceableSizes = 64; // remembered in one plan
inline constexpr size_t maxTasksExamined = 4096; // per plan
inline constexpr uint32_t usageTolerancePercent = 10; // over its reservation before a task is acted on

// Records of idempotent requests.
inline constexpr Duration idempotencySegment = 10min;
inline constexpr Duration idempotencyRecordLifetime = 24h;

// Configuration.
inline constexpr size_t maxOperationIdBytes = 128;
inline constexpr size_t maxRememberedOperations = 4096;

// Tasks.
inline constexpr Duration taskLease = 5s;
inline constexpr uint32_t maxTasksPerJob = 4096;
inline constexpr uint32_t maxTaskAttempts = 8;
inline constexpr uint32_t failedJobsToQuarantine = 3; // distinct jobs failed in a row
inline constexpr Duration workerQuarantine = 5min;
inline constexpr size_t maxWorkerChanges = 8192; // of workers, for indexes that follow the state
inline constexpr size_t maxBestFitCandidates = 512;
inline constexpr size_t spreadCandidates = 64; // workers in racks that the job does not use
inline constexpr size_t maxSpreadCandidates = 256;
inline constexpr double imbalanceWeight = 4;
inline constexpr double idleAcceleratorWeight = 4; // keeps accelerators free for tasks that use them
inline constexpr size_t maxPlacementsPerStep = 256;

// Jobs that callers hand in.
inline constexpr Duration endedJobRetention = 180s; // callers may ask for the state for 120 s
inline constexpr uint32_t maxOccurrencesPerJob = 256;
inline constexpr uint32_t maxStepsPerJob = 64;
inline constexpr size_t maxWorkTextBytes = 4000;

// Workers that are called.
inline constexpr Duration pollInterval = 120ms; // between two looks at one worker
inline constexpr Duration maxPollWait = 1s; // longest wait of a worker before it answers a look
inline constexpr Duration orderTimeout = 700ms; // without an answer
inline constexpr Duration orderRetryInterval = 150ms;
inline constexpr size_t directWorkers = 100; // that the leader calls itself; see docs/CAPACITY.md
inline constexpr Duration relayMargin = 300ms; // for a call that another host makes, over its own timeout
inline constexpr Duration relayBackoff = 3s; // before a host that did not answer is asked to call again
inline constexpr int minClockRatePercent = 98; // a worker's clock may be this slow
inline constexpr Duration ticketMargin = 150ms; // before its end a ticket is no longer used
inline constexpr uint32_t failuresToQuarantine = 2; // distinct jobs failed in a row on a worker
inline constexpr Duration quarantineDuration = 5s;
inline constexpr Duration stuckRunTimeout = 1200ms; // without progress; a percent of the longest runs takes less

inline constexpr Duration minPlanInterval = 5ms; // between two plans
inline constexpr Duration planIntervalPerThousandPairs = 300us; // more for each 1,000 pairs of a step that waits and a worker

// Gangs that wait for room.
inline constexpr size_t maxReservedGangs = 3; // of a priority, for which workers are kept free at a time
inline constexpr size_t workersPerReservedGang = 16; // in large fleets, of all workers
inline constexpr size_t gangAdviceWorkers = 30; // named in one question for a gang
inline constexpr uint32_t nearlyDonePercent = 80; // a run beyond this is not stopped for another

// Fleet.
inline constexpr Duration fleetStatusPeriod = 300ms;
inline constexpr Duration fleetHeartbeat = 60ms; // of the log; elections take five to ten of them
inline constexpr Duration minFleetAppendInterval = 3ms; // between messages with new entries, below the time of a sync
inline constexpr Duration fleetLinkTimeout = 1200ms;
inline constexpr Duration leaderContactTimeout = 2s; // an entry host without it is not ready
inline constexpr Duration configResendInterval = 1500ms; // to an entry host that has not confirmed it
inline constexpr Duration callRetryInterval = 400ms; // of a call that was passed on
inline constexpr Duration controlCallTimeout = 2500ms;
inline constexpr Duration unsentCallTimeout = 1s; // for a leader to be known
inline constexpr Duration voterTimeout = 3s; // before a voter is replaced
inline constexpr Duration outgoingIdleLifetime = 20s; // idle, to workers and services
inline constexpr size_t maxAdviceWorkers = 100; // that one call may name
inline constexpr size_t hostsForShortAdvice = 3; // kept free of long calls
inline constexpr Duration longAdvice = 200ms;
inline constexpr size_t fleetMailboxCapacity = 65536;
inline constexpr size_t maxMessagesBeforeYield = 16; // that the core takes before the links are read again
inline constexpr size_t fleetSnapshotEntries = 4096; // between snapshots, which copy the whole state

// Daemon.
inline constexpr size_t nodeMailboxCapacity = 65536;
inline constexpr Duration drainNotice = 1s; // readiness fails this long before accepting ends
inline constexpr Duration drainLimit = 30s;
inline constexpr Duration drainFlushTime = 200ms;
inline constexpr Duration timeLeapThreshold = 500ms; // a longer gap between steps is reported as a leap

} // namespace eelgrassloft::config
