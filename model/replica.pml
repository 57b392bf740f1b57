/*
 * Model of the replicated log of src/replica.h, reduced to what its safety depends on: terms and
 * votes, leases, commitment, diskless voters that rejoin under a new incarnation, and the replacement
 * of a voter's incarnation.
 *
 * Hosts act in atomic steps that interleave freely; a vote or an acknowledgement may be used long
 * after it was given. A host may lose its state at any time, but only one host at a time: the next
 * loss happens only once the host of the previous one votes again.
 *
 * Safety properties, named as in the code:
 *   - a committed entry is never removed (leader completeness, checked at every election)
 *   - all members apply the same command at an index (checked at every commit)
 *   - at most one member holds a lease
 *   - one leader in a term
 *
 * Each of these macros removes one guard; model/run checks that a violation is then found:
 *   NO_INCARNATION  a host that lost its state keeps its incarnation and its vote
 *   NO_CATCHUP      a learner becomes a voter before it holds what its leader has committed
 *   NO_LEASE_ORDER  a follower may vote for another host before the leader's lease ends
 *   NO_OWN_TERM     an entry of an earlier term is committed by counting replicas
 *   NO_UP_TO_DATE   votes are granted without comparing the logs
 */

#define HOSTS 3
#define QUORUM 2
#ifndef LENGTH
#define LENGTH 3          /* entries in a log */
#endif
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#define NOBODY 7

/* An entry encodes its term and its kind: 0 a command, 1 + h a new incarnation of host h. */
#define ENTRY(t, what) ((t) * 8 + (what))
#define TERM_OF(e) ((e) / 8)
#define KIND_OF(e) ((e) % 8)
#ifdef NO_UP_TO_DATE
#define IS_UP_TO_DATE true
#else
#define IS_UP_TO_DATE (a > b || (a == b && length[i] >= length[j]))
#endif
#ifdef NO_CATCHUP
#define IS_CAUGHT_UP true
#else
/* The learner holds an entry that the leader has committed in its own term, and so all before it. */
#define IS_CAUGHT_UP ((MATCH(i, j, incarnation[j]) > 0 && MATCH(i, j, incarnation[j]) <= commitLength[i] && TERM_OF(AT(i, MATCH(i, j, incarnation[j]) - 1)) == term[i]) \
    || (MATCH(i, j, incarnation[j]) > commitLength[i] && commitLength[i] > 0 && TERM_OF(AT(i, commitLength[i] - 1)) == term[i]))
#endif
#ifdef NO_OWN_TERM
#define IS_OWN_TERM true
#else
#define IS_OWN_TERM (TERM_OF(AT(i, n - 1)) == term[i])
#endif
#ifdef NO_LEASE_ORDER
#define IS_NOT_COUNTED_ON true
#else
#define IS_NOT_COUNTED_ON (!(isLeader[i] && (acks[i] & (1 << j))))
#endif

#define AT(h, i) log[(h) * LENGTH + (i)]
#define MATCH(l, f, id) match[((l) * HOSTS + (f)) * 3 + (id)]

byte term[HOSTS];
byte votedFor[HOSTS];
byte log[HOSTS * LENGTH];
byte length[HOSTS];
byte commitLength[HOSTS];
bool isLeader[HOSTS];
bool isCandidate[HOSTS];  /* in its current term */
byte votes[HOSTS];        /* bit set of the votes received in the host's current term */
byte match[27];           /* entries acknowledged to a leader, by host and incarnation */
byte incarnation[HOSTS];  /* current incarnation of each host */
byte promise[HOSTS];      /* leader that a follower has promised to vote for no other host */
byte acks[HOSTS];         /* bit set of the promises that a leader's lease relies on */
byte committed[LENGTH];   /* entries that any leader has committed */
byte committedIn[LENGTH]; /* term of the leader that committed each entry */
byte committedLength;
byte losses;
byte leaderOfTerm[5];

/* The incarnation under which `subject` votes according to the log of `viewer`. */
inline viewOf(viewer, subject, result)
{
    d_step {
        result = 0;
        k = 0;
        do
        :: k < length[viewer] ->
            if
            :: KIND_OF(AT(viewer, k)) == 1 + subject -> result++
            :: else
            fi;
            k++
        :: else -> break
        od
    }
}

inline lastTerm(h, result)
{
    if
    :: length[h] > 0 -> result = TERM_OF(AT(h, length[h] - 1))
    :: else -> result = 0
    fi
}

inline countBits(set, result)
{
    result = (set & 1) + ((set >> 1) & 1) + ((set >> 2) & 1)
}

inline stepDown(h)
{
    isLeader[h] = false;
    isCandidate[h] = false;
    votes[h] = 0;
    acks[h] = 0;
    MATCH(h, 0, 0) = 0; MATCH(h, 0, 1) = 0; MATCH(h, 0, 2) = 0;
    MATCH(h, 1, 0) = 0; MATCH(h, 1, 1) = 0; MATCH(h, 1, 2) = 0;
    MATCH(h, 2, 0) = 0; MATCH(h, 2, 1) = 0; MATCH(h, 2, 2) = 0
}

inline checkLeases()
{
    d_step {
        n = 0;
        countBits(acks[0], k);
        if :: isLeader[0] && k >= QUORUM -> n++ :: else fi;
        countBits(acks[1], k);
        if :: isLeader[1] && k >= QUORUM -> n++ :: else fi;
        countBits(acks[2], k);
        if :: isLeader[2] && k >= QUORUM -> n++ :: else fi;
        assert(n <= 1); /* at most one member holds a lease */
        k = 0;
        n = 0
    }
}

active proctype system()
{
    byte i, j, k, n, a, b, v;
    d_step {
        votedFor[0] = NOBODY; votedFor[1] = NOBODY; votedFor[2] = NOBODY;
        promise[0] = NOBODY; promise[1] = NOBODY; promise[2] = NOBODY;
        leaderOfTerm[0] = NOBODY; leaderOfTerm[1] = NOBODY; leaderOfTerm[2] = NOBODY;
        leaderOfTerm[3] = NOBODY; leaderOfTerm[4] = NOBODY
    }
    do
    :: true ->
        atomic {
            select (i : 0 .. 2);
            select (j : 0 .. 2);
            a = 0; b = 0; v = 0; k = 0; n = 0;
            if
            /* A voter whose promise has ended becomes a candidate. */
            :: i == j && term[i] < TERMS && !isLeader[i] && promise[i] == NOBODY ->
                viewOf(i, i, v);
                if
                :: v == incarnation[i] ->
                    term[i]++;
                    votedFor[i] = i;
                    stepDown(i);
                    isCandidate[i] = true;
                    votes[i] = 1 << i
                :: else
                fi

            /* Host j votes for candidate i. */
            :: i != j && isCandidate[i] && term[j] <= term[i] &&
                (promise[j] == NOBODY || promise[j] == i) && !isLeader[j] ->
                lastTerm(i, a);
                lastTerm(j, b);
                viewOf(i, j, v);
                if
                :: term[j] < term[i] -> term[j] = term[i]; votedFor[j] = NOBODY; stepDown(j)
                :: else
                fi;
                if
                :: (votedFor[j] == NOBODY || votedFor[j] == i) && IS_UP_TO_DATE ->
                    votedFor[j] = i;
                    if
                    :: v == incarnation[j] -> votes[i] = votes[i] | (1 << j)
                    :: else /* A learner's vote is not counted. */
                    fi
                :: else
                fi

            /* Candidate i has a quorum. */
            :: i == j && isCandidate[i] ->
                countBits(votes[i], a);
                if
                :: a >= QUORUM ->
                    assert(leaderOfTerm[term[i]] == NOBODY); /* one leader in a term */
                    leaderOfTerm[term[i]] = i;
                    isLeader[i] = true;
                    isCandidate[i] = false;
                    promise[i] = i;
                    acks[i] = 1 << i;
                    MATCH(i, i, incarnation[i]) = length[i];
                    k = 0;
                    do
                    :: k < committedLength ->
                        /* a committed entry is never removed: later leaders hold it */
                        assert(committedIn[k] >= term[i] || (k < length[i] && AT(i, k) == committed[k]));
                        k++
                    :: else -> break
                    od
                :: else
                fi

            /* Leader i appends a command. */
            :: i == j && isLeader[i] && length[i] < LENGTH ->
                AT(i, length[i]) = ENTRY(term[i], 0);
                length[i]++;
                MATCH(i, i, incarnation[i]) = length[i]

            /* Leader i appends the new incarnation of voter j, which holds everything committed. */
            :: i != j && isLeader[i] && length[i] < LENGTH && commitLength[i] > 0 &&
                TERM_OF(AT(i, commitLength[i] - 1)) == term[i] ->
                viewOf(i, j, v);
                a = 0; /* 1 where a membership change is uncommitted */
                k = commitLength[i];
                do
                :: k < length[i] ->
                    if :: KIND_OF(AT(i, k)) != 0 -> a = 1 :: else fi;
                    k++
                :: else -> break
                od;
                if
                :: a == 0 && incarnation[j] > v && IS_CAUGHT_UP ->
                    AT(i, length[i]) = ENTRY(term[i], 1 + j);
                    length[i]++;
                    MATCH(i, i, incarnation[i]) = length[i]
                :: else
                fi

            /* Follower j appends the first entry of leader i that it lacks, and renews its promise. */
            :: i != j && isLeader[i] && term[j] <= term[i] ->
                assert(!(isLeader[j] && term[j] == term[i]));
                if
                :: term[j] < term[i] -> term[j] = term[i]; votedFor[j] = NOBODY
                :: else
                fi;
                stepDown(j);
                k = 0;
                do
                :: k < length[i] && k < length[j] && AT(i, k) == AT(j, k) -> k++
                :: else -> break
                od;
                if
                :: k < length[i] ->
                    assert(k >= commitLength[j]); /* a committed entry is never removed */
                    AT(j, k) = AT(i, k);
                    n = k + 1;
                    do
                    :: n < length[j] -> AT(j, n) = 0; n++
                    :: else -> break
                    od;
                    length[j] = k + 1;
                    k++
                :: else
                fi;
                MATCH(i, j, incarnation[j]) = k;
                if
                :: commitLength[i] < k -> a = commitLength[i]
                :: else -> a = k
                fi;
                if
                :: a > commitLength[j] -> commitLength[j] = a
                :: else
                fi;
                promise[j] = i;
                viewOf(i, j, v);
                if
                :: v == incarnation[j] -> acks[i] = acks[i] | (1 << j)
                :: else
                fi;
                checkLeases()

            /* Leader i commits its next entry. */
            :: i == j && isLeader[i] && commitLength[i] < length[i] ->
                /* The longest prefix that a quorum of the voters in the leader's log holds. */
                n = length[i];
                do
                :: n > commitLength[i] ->
                    a = 0;
                    b = 0;
                    do
                    :: b < HOSTS ->
                        viewOf(i, b, v);
                        if
                        :: MATCH(i, b, v) >= n -> a++
                        :: else
                        fi;
                        b++
                    :: else -> break
                    od;
                    if
                    :: a >= QUORUM -> break
                    :: else -> n--
                    fi
                :: else -> break
                od;
                if
                :: n > commitLength[i] && IS_OWN_TERM ->
                    k = 0;
                    do
                    :: k < n ->
                        if
                        :: k < committedLength -> assert(committed[k] == AT(i, k)) /* the same command at an index */
                        :: else -> committed[k] = AT(i, k); committedIn[k] = term[i]
                        fi;
                        k++
                    :: else -> break
                    od;
                    if :: n > committedLength -> committedLength = n :: else fi;
                    commitLength[i] = n
                :: else
                fi

            /* Leader i no longer relies on the promise of j, which may end its lease. */
            :: isLeader[i] && (acks[i] & (1 << j)) ->
                acks[i] = acks[i] & (7 - (1 << j));
                countBits(acks[i], a);
                if
                :: a < QUORUM -> stepDown(i); promise[i] = NOBODY
                :: else
                fi

            /* The promise of j to i ends, but only once the leader no longer relies on it. */
            :: promise[j] == i && i != j && IS_NOT_COUNTED_ON ->
                promise[j] = NOBODY

            /* Host j loses its state and restarts under a new incarnation. */
            :: i == j && losses < LOSSES ->
                a = 0; /* Number of hosts that do not vote under their current incarnation, by the committed log. */
                b = 0;
                do
                :: b < HOSTS ->
                    v = 0;
                    k = 0;
                    do
                    :: k < committedLength ->
                        if :: KIND_OF(committed[k]) == 1 + b -> v++ :: else fi;
                        k++
                    :: else -> break
                    od;
                    if :: v != incarnation[b] -> a++ :: else fi;
                    b++
                :: else -> break
                od;
                if
                :: a == 0 ->
                    losses++;
                    stepDown(j);
                    term[j] = 0;
                    votedFor[j] = NOBODY;
                    promise[j] = NOBODY;
                    commitLength[j] = 0;
                    length[j] = 0;
                    k = 0;
                    do
                    :: k < LENGTH -> AT(j, k) = 0; k++
                    :: else -> break
                    od;
#ifndef NO_INCARNATION
                    incarnation[j]++;
#endif
                    skip
                :: else
                fi
            :: else
            fi;
            a = 0; b = 0; v = 0; k = 0; n = 0; i = 0; j = 0
        }
    od
}
