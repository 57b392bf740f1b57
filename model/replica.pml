/*
 * The replicated log of src/replica.h, reduced to what its safety rests on: terms and votes,
 * leases, commitment, memory voters that return under a new identity, and the change of a voter.
 *
 * Each host acts in atomic steps on what it has been told; steps interleave freely, so a vote or
 * an acknowledgement may be used long after it was given. A host may lose its memory at any time,
 * one at a time: the next one only after the last one votes again.
 *
 * Safety properties, named as in the code:
 *   - a committed entry is never removed (leader completeness, at every election)
 *   - all members apply the same command at an index (at every commitment)
 *   - at most one member holds a lease
 *   - one leader in a term
 *
 * Guards that a second run removes, one at a time:
 *   NO_INCARNATION  a returning host keeps its identity and its vote
 *   NO_CATCHUP      a learner votes before it holds everything committed
 *   NO_LEASE_ORDER  a follower's promise may end before the leader's lease does
 *   NO_OWN_TERM     an entry of a former term is committed by counting copies
 *   NO_UP_TO_DATE   votes are given without comparing logs
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

/* An entry is its term and what it does: 0 a command, 1 + h a new identity for host h. */
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
#define IS_CAUGHT_UP (MATCH(i, j, identity[j]) >= commitLength[i])
#endif
#ifdef NO_OWN_TERM
#define IS_OWN_TERM true
#else
#define IS_OWN_TERM (TERM_OF(AT(i, n - 1)) == term[i])
#endif
#ifdef NO_LEASE_ORDER
#define IS_NOT_COUNTED_ON true
#else
#define IS_NOT_COUNTED_ON (!(leads[i] && (acks[i] & (1 << j))))
#endif

#define AT(h, i) log[(h) * LENGTH + (i)]
#define MATCH(l, f, id) match[((l) * HOSTS + (f)) * 3 + (id)]

byte term[HOSTS];
byte votedFor[HOSTS];
byte log[HOSTS * LENGTH];
byte length[HOSTS];
byte commitLength[HOSTS];
bool leads[HOSTS];
bool stands[HOSTS];       /* is a candidate in its present term */
byte votes[HOSTS];        /* bit set of the votes for the host's present term */
byte match[27];           /* entries acknowledged to a leader, by host and identity */
byte identity[HOSTS];     /* present incarnation of each host */
byte promise[HOSTS];      /* leader that a follower promised to vote for nobody else */
byte acks[HOSTS];         /* bit set of promises that a leader counts on */
byte committed[LENGTH];   /* what any leader has committed */
byte committedIn[LENGTH]; /* term of the leader that committed the entry */
byte committedLength;
byte losses;
byte leaderOfTerm[5];

/* The identity of a host that votes, in the view of another. */
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
    leads[h] = false;
    stands[h] = false;
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
        if :: leads[0] && k >= QUORUM -> n++ :: else fi;
        countBits(acks[1], k);
        if :: leads[1] && k >= QUORUM -> n++ :: else fi;
        countBits(acks[2], k);
        if :: leads[2] && k >= QUORUM -> n++ :: else fi;
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
            /* A voter whose promise has ended stands for election. */
            :: i == j && term[i] < TERMS && !leads[i] && promise[i] == NOBODY ->
                viewOf(i, i, v);
                if
                :: v == identity[i] ->
                    term[i]++;
                    votedFor[i] = i;
                    stepDown(i);
                    stands[i] = true;
                    votes[i] = 1 << i
                :: else
                fi

            /* Host j votes for candidate i. */
            :: i != j && stands[i] && term[j] <= term[i] &&
                (promise[j] == NOBODY || promise[j] == i) && !leads[j] ->
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
                    :: v == identity[j] -> votes[i] = votes[i] | (1 << j)
                    :: else /* A learner's vote is not counted. */
                    fi
                :: else
                fi

            /* Candidate i has a quorum. */
            :: i == j && stands[i] ->
                countBits(votes[i], a);
                if
                :: a >= QUORUM ->
                    assert(leaderOfTerm[term[i]] == NOBODY); /* one leader in a term */
                    leaderOfTerm[term[i]] = i;
                    leads[i] = true;
                    stands[i] = false;
                    promise[i] = i;
                    acks[i] = 1 << i;
                    MATCH(i, i, identity[i]) = length[i];
                    k = 0;
                    do
                    :: k < committedLength ->
                        /* A committed entry is never removed: later leaders hold it. */
                        assert(committedIn[k] >= term[i] || (k < length[i] && AT(i, k) == committed[k]));
                        k++
                    :: else -> break
                    od
                :: else
                fi

            /* Leader i appends a command. */
            :: i == j && leads[i] && length[i] < LENGTH ->
                AT(i, length[i]) = ENTRY(term[i], 0);
                length[i]++;
                MATCH(i, i, identity[i]) = length[i]

            /* Leader i appends a new identity of voter j that holds everything committed. */
            :: i != j && leads[i] && length[i] < LENGTH && commitLength[i] > 0 &&
                TERM_OF(AT(i, commitLength[i] - 1)) == term[i] ->
                viewOf(i, j, v);
                a = 0; /* Is the last change of identities committed? */
                k = commitLength[i];
                do
                :: k < length[i] ->
                    if :: KIND_OF(AT(i, k)) != 0 -> a = 1 :: else fi;
                    k++
                :: else -> break
                od;
                if
                :: a == 0 && identity[j] > v && IS_CAUGHT_UP ->
                    AT(i, length[i]) = ENTRY(term[i], 1 + j);
                    length[i]++;
                    MATCH(i, i, identity[i]) = length[i]
                :: else
                fi

            /* Follower j takes the first entry that it lacks from leader i, and renews its promise. */
            :: i != j && leads[i] && term[j] <= term[i] ->
                assert(!(leads[j] && term[j] == term[i]));
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
                MATCH(i, j, identity[j]) = k;
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
                :: v == identity[j] -> acks[i] = acks[i] | (1 << j)
                :: else
                fi;
                checkLeases()

            /* Leader i commits its next entry. */
            :: i == j && leads[i] && commitLength[i] < length[i] ->
                /* The longest length that a quorum of the voters in its view holds. */
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

            /* Leader i no longer counts on the promise of j; its lease may end with that. */
            :: leads[i] && (acks[i] & (1 << j)) ->
                acks[i] = acks[i] & (7 - (1 << j));
                countBits(acks[i], a);
                if
                :: a < QUORUM -> stepDown(i); promise[i] = NOBODY
                :: else
                fi

            /* The promise of j to i ends: only after the leader has stopped counting on it. */
            :: promise[j] == i && i != j && IS_NOT_COUNTED_ON ->
                promise[j] = NOBODY

            /* Host j loses its memory and returns with a new identity. */
            :: i == j && losses < LOSSES ->
                a = 0; /* Does every other host vote under its present identity, as far as any leader has committed? */
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
                    if :: v != identity[b] -> a++ :: else fi;
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
                    identity[j]++;
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
