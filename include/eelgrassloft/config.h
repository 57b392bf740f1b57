#pragma once

#include "eelgrassloft/time.h"

#include <cstddef>
#include <cstdint>

/// Compile-time limits, timeouts and periods.
namespace eelgrassloft::config {

using namespace std::chrono_literals;

// Requests.
inline constexpr size_t maxHeaderBytes = 8UL * 1024; ///< Of one HTTP request.
inline constexpr size_t maxBodyBytes = 1024UL * 1024; ///< Of a caller's request and of an upstream's response.
inline constexpr size_t maxRecordedAnswerBytes = 64UL * 1024; ///< Larger answers are not kept with their idempotency key.
inline constexpr size_t maxKeyBytes = 128; ///< Of an idempotency key.
inline constexpr size_t maxNameBytes = 64; ///< Of the name of a service, upstream, worker, job or team.
inline constexpr size_t maxQueuedRequests = 4096; ///< Per service and entry host.
inline constexpr size_t maxCallerConnections = 1024; ///< Open at a time on one host.
inline constexpr Duration defaultRequestTimeout = 10s;
inline constexpr Duration maxRequestTimeout = 10min;
inline constexpr Duration callerReadTimeout = 10s; ///< For a complete request to arrive.
inline constexpr Duration httpStallTimeout = 10s; ///< A request or response of which nothing moves for this long ends its connection.
inline constexpr Duration callerIdleTimeout = 60s; ///< Between two requests on one connection.
inline constexpr Duration claimSettleGrace = 500ms; ///< Time after a request's deadline before its unsettled claim expires.

// Clients that nobody controls.
inline constexpr uint64_t defaultConnectionMemory = 64UL * 1024 * 1024; ///< Bytes that all connections of a process buffer, if its machine's memory is not known.
inline constexpr uint64_t connectionMemoryDivisor = 4; ///< Otherwise this part of it; as much again may lie in the sockets' receive buffers.
inline constexpr uint64_t defaultMaxConnections = 1024; ///< Of all listeners together, if the machine's descriptors are not known; otherwise half of them.
inline constexpr uint32_t reservedDescriptors = 200; ///< For files, which connections never use.
inline constexpr int minReceiveBufferBytes = 16 * 1024; ///< Set on a listener's sockets; holds an ordinary request. Half of it made loopback transfers of 4 MiB slower.
inline constexpr int maxReceiveBufferBytes = 64 * 1024;
inline constexpr size_t smallRequestBytes = 16UL * 1024; ///< Body up to which a request is small, as workers' reports are.
inline constexpr uint64_t smallRequestDivisor = 4; ///< This part of a listener's bytes is kept for small requests and responses.
inline constexpr size_t maxHeaderFields = 128; ///< Of one request. Each takes some 80 bytes, so that 16 KiB of short ones would take 20 times their size.
inline constexpr size_t headerFieldBytes = 80; ///< Counted for each.
inline constexpr size_t smallReadBytes = 1024; ///< Read at once, or more if the buffer has room; holds an ordinary header.
inline constexpr size_t keptReadBufferBytes = 2048; ///< An idle connection keeps no larger read buffer.
inline constexpr Duration requestHeaderTimeout = 10s; ///< From a header's first byte to its last. Clients are told 3 s.
inline constexpr uint64_t minTransferBytesPerSecond = 256; ///< On average over a body or a response; a thousandth of a link of 2 Mbit/s.
inline constexpr Duration minTransferRateGrace = 10s; ///< Until that average counts.
inline constexpr Duration refusalDrainTime = 1s; ///< For which a refused client is read on, as a reset could overtake the response.
inline constexpr size_t refusalDrainBytes = 256UL * 1024; ///< Likewise.
inline constexpr Duration acceptRetryDelay = 50ms; ///< After an accept that failed for lack of descriptors or memory.

// JSON from outside.
inline constexpr uint32_t maxJsonDepth = 32; ///< A job nests 5 levels, a configuration 4.
inline constexpr uint64_t maxJobJsonValues = 65536; ///< 64 steps of 20 fields and their dependencies are below 6,000.
inline constexpr uint64_t maxReportJsonValues = 4096; ///< A worker's report has some 20 and up to 64 labels.
inline constexpr uint64_t maxConfigJsonValues = 1000000; ///< 10,000 queues of 20 fields are 200,000.
inline constexpr uint64_t maxAnswerJsonValues = 262144; ///< Of a worker's answer: 5 for each run and end that it lists.
inline constexpr uint64_t maxDocumentJsonValues = 262144; ///< Of settings, and of what eelgrassd reads: 1 MiB holds a manifest of some 100,000.
inline constexpr uint64_t jsonValueBytes = 160; ///< A parsed value takes at most this, its key and a map's node included, in addition to its text.
inline constexpr uint64_t freeParseBytes = 4UL * 1024 * 1024; ///< A text whose values take up to this is parsed whatever the budget has left.

// Retries of requests.
inline constexpr uint32_t maxAttemptsPerRequest = 4;
inline constexpr uint32_t retryTokensPerRequest = 1; ///< Tokens that each request adds to its service's retry budget.
inline constexpr uint32_t retryTokenCost = 10; ///< Tokens for one retry.
inline constexpr uint32_t retryTokenReserve = 100; ///< Full budget, enough for ten retries without any traffic.

// Upstreams.
inline constexpr uint32_t maxUpstreams = 4096; ///< Known to one host.
inline constexpr uint32_t maxSlotsPerUpstream = 1024;
inline constexpr Duration announcementLifetime = 2s; ///< An upstream that does not renew its announcement for this long gets no more requests.
inline constexpr Duration upstreamConnectTimeout = 500ms;
inline constexpr Duration idleConnectionLifetime = 5s; ///< Idle connections to upstreams.
inline constexpr Duration atMostOnceIdleLimit = 500ms; ///< Longest idle time of a connection that an at-most-once request may reuse.
inline constexpr Duration lateAnswerTimeout = 30s; ///< Time after a request's deadline before its connection to the upstream is closed.
inline constexpr Duration tcpUserTimeout = 2s; ///< Longest time that sent bytes stay unacknowledged.
inline constexpr int tcpKeepAliveIdleSeconds = 1;
inline constexpr int tcpKeepAliveIntervalSeconds = 1;
inline constexpr int tcpKeepAliveProbes = 3;
inline constexpr uint32_t failuresToEject = 5; ///< Consecutive failures before an upstream is ejected.
inline constexpr Duration ejectionDuration = 5s; ///< Time that an ejected upstream gets no requests.
inline constexpr Duration refusalBackoff = 20ms; ///< Pause after an upstream refused a request; doubled with each consecutive refusal.
inline constexpr Duration maxRefusalBackoff = 1s;
inline constexpr int latencyWeightShift = 3; ///< Weight of a new sample in the moving average: 1/8.

// Shares of an upstream's slots.
inline constexpr Duration shareLease = 1s; ///< Validity of a host's shares, from the time that its report was sent.
inline constexpr Duration shareReportPeriod = 250ms; ///< Between full reports.
inline constexpr Duration shareDemandPeriod = 5ms; ///< Between incremental reports while requests wait for slots.
inline constexpr Duration shareRecallLifetime = 50ms; ///< Time after which an unanswered recall counts as lost.
inline constexpr Duration shareFairnessThreshold = 2ms; ///< Differences in waiting time below this do not move slots between hosts.
inline constexpr Duration maxClockDrift = 50ms; ///< Largest drift between two hosts' clocks over any lease.

// Replicated logs.
inline constexpr Duration heartbeatPeriod = 100ms; ///< Of a data centre's log.
inline constexpr Duration cellHeartbeatPeriod = 250ms; ///< Of the cell's log.
inline constexpr uint32_t electionTimeoutHeartbeats = 5; ///< Shortest election timeout, in heartbeat periods.
inline constexpr size_t maxEntriesPerAppend = 256;
inline constexpr size_t maxAppendBytes = 512UL * 1024; ///< Of the entries in one message; a larger entry goes alone.
inline constexpr size_t maxUncommittedEntries = 4096; ///< Backlog above which a leader takes no more proposals.
inline constexpr uint64_t maxInFlightEntries = 2048; ///< Sent to one member and not yet acknowledged.
inline constexpr uint64_t maxInFlightBytes = 4UL * 1024 * 1024; ///< Likewise; less than a connection queues.
inline constexpr size_t maxSnapshotPartBytes = 256UL * 1024; ///< Of a state's elements in one message; a larger element goes alone.
inline constexpr Duration snapshotPartTimeout = 2s; ///< Until a part of a snapshot that was not acknowledged is sent again.
inline constexpr Duration snapshotTransferTimeout = 10s; ///< Without an acknowledgement, after which the leader no longer keeps a snapshot for a member.
inline constexpr size_t snapshotThresholdEntries = 1024;
inline constexpr uint64_t snapshotThresholdBytes = 16UL * 1024 * 1024; ///< Of the entries since the last snapshot, after which the next one is due whatever their number.
inline constexpr uint64_t recordsPerSnapshotEntry = 8; ///< A state of more records is copied more rarely: at most once in (records / 8) entries.

// Connections and calls between hosts.
inline constexpr uint32_t peerProtocolVersion = 5;
inline constexpr size_t maxFrameBytes = 16UL * 1024 * 1024;
inline constexpr size_t largeMessageBytes = 256UL * 1024; ///< A message between hosts of at least this size gets a line in the log.
inline constexpr size_t frameReadBytes = 16UL * 1024; ///< Read at once from a connection between hosts; larger frames take more.
inline constexpr size_t peerMailboxCapacity = 8192; ///< Messages.
inline constexpr size_t maxQueuedPeerBytes = 8UL * 1024 * 1024; ///< To one host, of urgent messages and of others; a larger one is queued alone.
inline constexpr size_t peerWriteBytes = 32UL * 1024; ///< Of small messages, handed to a socket at once; urgent ones overtake only what is still queued.
inline constexpr int unsentSocketBytes = 16 * 1024; ///< Above which the socket of a connection between hosts takes no more.
inline constexpr size_t bulkMessageBytes = 64UL * 1024; ///< A message of at least this size goes in fragments, and others between them, unless it is urgent.
inline constexpr size_t bulkFragmentBytes = 16UL * 1024;
inline constexpr Duration peerReconnectDelay = 200ms;
inline constexpr Duration peerTimeout = 2s; ///< A connection on which nothing arrives for this long is closed.
inline constexpr Duration statusPeriod = 500ms; ///< Between status messages to each peer, which also keep the connection alive.
inline constexpr Duration proposalRetryInterval = 200ms; ///< Until an unanswered proposal is resent; a quarter of it without a host to send it to or after a rejection.
inline constexpr Duration claimSettleTimeout = 1min; ///< For the commit of a claimed key's outcome.
inline constexpr Duration operatorTimeout = 10s; ///< For the commit of an operator's change or cancellation.
inline constexpr Duration maxReportWait = 1s; ///< Longest wait for a command before a worker's report gets an empty reply.
inline constexpr Duration forwardedReportTimeout = 3s; ///< For a worker's report that was forwarded to the leader.

// Placement plans.
inline constexpr Duration gangReservationDelay = 5s; ///< Time that an all-at-once job waits before workers are reserved for it.
inline constexpr Duration idlePlanPeriod = 500ms; ///< Between plans while nothing changes.
inline constexpr size_t maxUnplaceableSizes = 64; ///< Task sizes that a plan remembers because they fit on no worker.
inline constexpr size_t maxTasksExamined = 4096; ///< By one plan.
inline constexpr uint32_t usageTolerancePercent = 10; ///< Use above a task's reservation that is tolerated.

// Records of idempotency keys.
inline constexpr Duration idempotencySegment = 10min; ///< Records expire together in segments of this length.
inline constexpr Duration idempotencyRecordLifetime = 24h; ///< Shortest lifetime; a record is removed with its segment.

// Configuration.
inline constexpr size_t maxOperationIdBytes = 128;
inline constexpr size_t maxRememberedOperations = 4096; ///< For deduplication of resent operations.

// Tasks.
inline constexpr Duration taskLease = 5s; ///< A worker that gets no reply to its reports for this long stops its tasks.
inline constexpr uint32_t maxTasksPerJob = 4096;
inline constexpr uint32_t maxTaskAttempts = 8; ///< Failures after which a task is not tried again; service tasks have no limit.
inline constexpr uint32_t failedJobsToQuarantine = 3; ///< Distinct jobs whose tasks failed on a worker, without a success in between.
inline constexpr Duration workerQuarantine = 5min; ///< Pause of a quarantined worker, after which it gets one task at a time.
inline constexpr Duration maxWorkerProbation = 5min; ///< Longest probation without a failure; tasks may take far longer to finish.
inline constexpr Duration serviceProof = 30s; ///< A service task that has been running for this long has succeeded, as it never ends.
inline constexpr size_t maxWorkerChanges = 8192; ///< Worker changes that the task table keeps for indexes to catch up.
inline constexpr size_t maxBestFitCandidates = 512; ///< Workers with enough free capacity that best fit compares.
inline constexpr size_t spreadCandidates = 64; ///< The search ends after this many workers in racks that the job does not use yet.
inline constexpr size_t maxSpreadCandidates = 256; ///< Workers examined at most.
inline constexpr double imbalanceWeight = 4; ///< Of the difference between free processors and free memory in the best-fit score.
inline constexpr double idleAcceleratorWeight = 4; ///< Keeps accelerators free for tasks that use them.
inline constexpr size_t maxPlacementsPerStep = 256; ///< By one plan.

// Jobs that callers submit.
inline constexpr Duration endedJobRetention = 180s; ///< Callers may ask for the state for 120 s.
inline constexpr size_t maxEarlyCancellations = 32768; ///< Jobs that were cancelled before they were submitted.
inline constexpr Duration shareWindow = 5s; ///< Over which a workspace may use its weight at any time: within a second, even steady callers send more than their mean.
inline constexpr uint32_t maxOccurrencesPerJob = 256;
inline constexpr uint32_t maxStepsPerJob = 64;
inline constexpr size_t maxWorkTextBytes = 4000; ///< Of a job's payload.
inline constexpr uint64_t maxOpenJobBytes = 32UL * 1024 * 1024; ///< Of all open jobs; others are refused. A host holds up to four copies for a while.
inline constexpr uint64_t openJobBytes = 1024; ///< Counted for each open job, in addition to its payload and its tasks.
inline constexpr uint64_t openStepBytes = 256; ///< Counted for each step of an open job.
inline constexpr uint64_t openTaskBytes = 152; ///< Counted for each task of each occurrence of an open job, and a run of it.

// Workers that the leader calls.
inline constexpr Duration pollInterval = 120ms; ///< Between two polls of one worker.
inline constexpr Duration maxPollWait = 1s; ///< Longest time that a worker may hold a poll before it answers.
inline constexpr Duration orderTimeout = 700ms; ///< For an answer to an order.
inline constexpr Duration orderRetryInterval = 150ms; ///< Until an order without a response is resent.
inline constexpr Duration startDeliveryTimeout = 3s; ///< After which a start that is sent again without a response gives way to another worker: four attempts.
inline constexpr size_t directWorkers = 100; ///< Fleet size up to which the leader makes all calls itself; see docs/CAPACITY.md.
inline constexpr Duration relayMargin = 300ms; ///< Added to the timeout of a call that another host makes.
inline constexpr Duration relayBackoff = 3s; ///< Pause before a host that did not answer is asked to relay calls again.
inline constexpr int minClockRatePercent = 98; ///< Slowest rate of a worker's clock against the leader's.
inline constexpr Duration ticketMargin = 150ms; ///< A ticket is not used within this time of its expiry.
inline constexpr Duration maxReportDelay = 30s; ///< A report of a lower number that arrives within this time was overtaken on its way.
inline constexpr uint32_t failuresToQuarantine = 2; ///< Distinct jobs that failed in a row on a worker.
inline constexpr Duration quarantineDuration = 5s; ///< Afterwards the worker is on probation: one failure quarantines it again.
inline constexpr Duration probationDuration = 10s; ///< Longest time on probation without a failure; runs may take far longer to succeed.
inline constexpr Duration lastingRunProof = 1s; ///< A long-running task that has been at work for this long has succeeded, as it never ends.
inline constexpr Duration stuckRunTimeout = 1200ms; ///< Shortest time without progress of a stuck run.
inline constexpr int stuckPercents = 3; ///< A stuck run makes no progress in the time that this many percent take.
inline constexpr uint32_t maxStuckDoublings = 20; ///< Of that time, with each stop of the task.

// Tasks that crash their workers.
inline constexpr Duration crashProofTime = 300ms; ///< A run that has been at work for this long is no likely cause of a later crash.
inline constexpr uint32_t crashesToGiveUp = 2; ///< Of workers under one task, if no other job can have caused the last one.
inline constexpr uint32_t maxCrashesPerTask = 3; ///< Of workers under one task, whatever ran beside it.
inline constexpr uint32_t maxCrashesBesideOthers = 5; ///< Of workers under one task, whenever they came: at most two starts after the third.
inline constexpr uint32_t doubtfulCrashesToSuspect = 2; ///< Of workers to which a start of the task had been sent without a response.
inline constexpr Duration crashEvidenceLifetime = 30s; ///< How long a lost worker's next incarnation is waited for, which shows that it crashed.
inline constexpr size_t minIsolatedWorkers = 2; ///< Workers that suspects may take at a time.
inline constexpr size_t workersPerIsolated = 3; ///< In larger fleets, one for this many workers, while other tasks lack room.
inline constexpr size_t maxIsolatedPercent = 75; ///< Of all workers, while other tasks have room.
inline constexpr Duration withholdingPatience = 2500ms; ///< A worker withheld for suspects is given back after this time without the end of a run there; longer than its other runs are waited for.
inline constexpr Duration maxWithholding = 10s; ///< Likewise, whatever ends there.
inline constexpr Duration withholdingPause = 2s; ///< For which a worker given back is left to other tasks, so that a query for tickets and a placement fit in.
inline constexpr Duration roomLackMemory = 1s; ///< How long suspects stay limited to these after other tasks found no room.

// Intervals between the fleet's plans.
inline constexpr Duration minPlanInterval = 5ms; ///< Between two plans.
inline constexpr int planIntervalFactor = 3; ///< Of the time that a plan takes: plans take at most a third of the leader's time.

// Gangs that wait for capacity.
inline constexpr size_t maxReservedGangs = 3; ///< Of one priority, for which workers are reserved at a time.
inline constexpr size_t workersPerReservedGang = 16; ///< In large fleets, one gang for this many workers.
inline constexpr size_t gangAdviceWorkers = 30; ///< Named in one advice request for a gang.
inline constexpr Duration preemptionPatience = 500ms; ///< Longest time that a gang waits with a reservation rather than preempt runs.
inline constexpr Duration preemptionTime = 500ms; ///< From a preemption until the run's capacity is free.
inline constexpr Duration reservationSwitchGain = 300ms; ///< A gang gives up reserved workers only to start earlier by more than this.
inline constexpr Duration gangStartTolerance = 300ms; ///< By which the expected start of a gang may be wrong.
inline constexpr Duration gangStartMargin = 100ms; ///< From a placement until the last member starts.
inline constexpr uint32_t nearlyDonePercent = 80; ///< A run with at least this progress is not preempted.

// Fleet.
inline constexpr Duration fleetStatusPeriod = 300ms; ///< Between status messages to the other hosts.
inline constexpr Duration fleetHeartbeatPeriod = 60ms; ///< Of the log; an election timeout is five to ten heartbeats.
inline constexpr Duration minFleetAppendInterval = 3ms; ///< Between messages with new entries; shorter than a disk sync.
inline constexpr Duration fleetPeerTimeout = 1200ms; ///< For connecting; a connection on which nothing arrives for this long is closed.
inline constexpr Duration leaderContactTimeout = 2s; ///< An entry host that has not heard from a leader for this long is not ready.
inline constexpr size_t maxConfigPartBytes = 16UL * 1024; ///< Keeps the link of an entry host busy for some 65 ms at 2 Mbit/s.
inline constexpr Duration configPartTimeout = 1500ms; ///< After which a part of the configuration is requested from another host.
inline constexpr Duration maxConfigPartTimeout = 12s;
inline constexpr size_t maxRemovedQueues = 4096; ///< Remembered; an entry host with an older configuration fetches all queues.
inline constexpr Duration callRetryInterval = 400ms; ///< Of a forwarded call that was refused or that no host could take.
inline constexpr Duration callResendInterval = 800ms; ///< Until a forwarded call without an answer is sent again; doubles with each attempt. Allows three attempts within `controlCallTimeout`.
inline constexpr Duration maxCallResendInterval = 5s;
inline constexpr Duration controlCallTimeout = 2500ms; ///< Timeout of a caller's call that states no deadline.
inline constexpr Duration unsentCallTimeout = 1s; ///< How long a call that a known leader refuses waits before it fails.
inline constexpr Duration maxElectionTime = 1500ms; ///< How long a call waits where a leader may be elected: 0.3 to 0.6 s, more over slow links.
inline constexpr Duration quorumWait = 500ms; ///< How long a call waits for further control hosts after one has connected: two attempts at a connection and a report.
inline constexpr Duration refusalSpread = 500ms; ///< Over which calls end that waited when the last connection to a control host broke: two attempts at a new one.
inline constexpr Duration unsettledJobLifetime = 45s; ///< How long a host remembers a job whose submission had an unknown outcome: a caller's five tries of 3 s and the times to come back between them.
inline constexpr size_t maxUnsettledJobs = 16384; ///< Remembered; 45 s of more submissions than an entry host takes in.
inline constexpr Duration controlSilenceTimeout = 500ms; ///< A period of status reports and three parts of a configuration that go before one on a full link; far below `fleetPeerTimeout`, at which the connection is closed.
inline constexpr Duration minRetryAfter = 1s; ///< Told to callers whose calls were refused for want of a leader.
inline constexpr Duration maxRetryAfter = 4s; ///< Without the spread.
inline constexpr Duration openWorkPeriod = 100ms; ///< Between two summaries of the open work, by which jobs are admitted.
inline constexpr Duration minOverloadRetryAfter = 4s; ///< A copy of a refused submission is sent for up to `controlCallTimeout` and lost with its connection after `fleetPeerTimeout`; the refusal has to outlast it.
inline constexpr Duration maxOverloadRetryAfter = 30s; ///< Without the spread. No forecast holds for longer.
inline constexpr size_t maxHeldRefusals = 16384; ///< Refused jobs that the leader remembers; others are accepted.
inline constexpr Duration voterTimeout = 3s; ///< A voter that does not answer for this long is replaced.
inline constexpr size_t maxOutgoingConnections = 4; ///< To one worker or service: a poll and three orders. A worker's limit, of 64 say, also counts connections of hosts that died.
inline constexpr Duration outgoingIdleLifetime = 3s; ///< Idle connections to workers and services.
inline constexpr Duration outgoingSurplusLifetime = 500ms; ///< Those of them that are open beside others.
inline constexpr Duration outgoingConnectTimeout = 700ms;
inline constexpr Duration outgoingRefusalPause = 1s; ///< After a server refused a connection, before another one is opened beside those that are open; doubles with each refusal.
inline constexpr Duration maxOutgoingRefusalPause = 16s;
inline constexpr size_t maxAdviceWorkers = 100; ///< Named in one advice request.
inline constexpr size_t hostsForShortAdvice = 3; ///< Hosts that make no long advice calls, so that short ones do not wait.
inline constexpr size_t hostsPerShortAdvice = 6; ///< In large fleets, one such host for this many hosts.
inline constexpr size_t hostsPerSuspectAdvice = 2; ///< One host for this many may ask for tasks that may have crashed a worker.
inline constexpr Duration adviceFailurePause = 1s; ///< For which a host whose call to the advice service failed is avoided; doubles with each failure in a row.
inline constexpr Duration maxAdviceFailurePause = 16s; ///< A host that still fails delays a query by its timeout once in this time.
inline constexpr Duration adviceRetryInterval = 500ms; ///< From a host's failure until it is asked while all hosts are avoided; waiting work starts soon after the service is back.
inline constexpr Duration longAdviceThreshold = 200ms; ///< An advice call expected to take at least this is long.
inline constexpr int longAdviceFactor = 5; ///< So is one that takes this multiple of the shortest ones.
inline constexpr size_t fleetMailboxCapacity = 65536; ///< Messages.
inline constexpr size_t maxMessagesBeforeYield = 16; ///< Handled by the core's task before it lets connections be read.
inline constexpr Duration delayToLog = 50ms; ///< A second in which something of the core's task took this long gets a line in the log.
inline constexpr Duration leaderSummaryPeriod = 1s; ///< Between two lines of the log that summarise what the leader does.
inline constexpr Duration slowStepThreshold = 20ms; ///< A longer step of the core's task is logged.
inline constexpr size_t fleetSnapshotThresholdEntries = 4096; ///< Entries between snapshots, each of which copies the whole state.

// Daemon.
inline constexpr size_t nodeMailboxCapacity = 65536; ///< Messages.
inline constexpr Duration drainNotice = 1s; ///< From the failing readiness check until new connections are refused.
inline constexpr Duration drainLimit = 30s; ///< For the requests in flight to end.
inline constexpr Duration drainFlushTime = 200ms; ///< For the last answers to be written.
inline constexpr Duration timeLeapThreshold = 500ms; ///< A longer gap between steps is reported as a time leap.

} // namespace eelgrassloft::config
