/*
 * Bounded model of the shares of one zone: core/membership*.c and core/loan.c.
 *
 * There are three instances of one zone and one witness, which stands for a
 * majority of the instances of other zones. The witness never crashes, but may
 * adopt lists late. The fleet list changes up to twice. With CRASH, one
 * instance crashes and restarts with any published list. With LOANS, one loan
 * is made. An instance that takes no step between ticks is a paused process,
 * which resumes at any time. Messages are steps, which may be lost (not
 * taken), late, or repeated; the receiver keeps their content.
 *
 * A renewal of the lease is one step: a lease counts from the time when its
 * request was sent, so a late reply only shortens it. All clocks run at the
 * same speed, so DRIFT_MARGIN is left out.
 *
 * All lists are published at the start. Each participant adopts them at any
 * time and may skip versions.
 *
 * Checked: own shares, borrowed shares and a loan in flight never add up to
 * more than SHARE_ONE.
 *
 * LISTS selects the members of each version and VERSIONS the number of
 * versions. With LISTS 1 and 2 three instances take part. With LISTS 3 two
 * take part, which keeps the state space small enough for a complete search of
 * a list that changes twice. TICKS limits the steps of the clock, so that a
 * complete search with three instances is possible.
 *
 * Each other switch removes a rule and must lead to a violation:
 * -DNO_ACK        a list counts as agreed when it is adopted
 * -DNEWER_ACK     an acknowledgement of a newer list counts for the adopted one
 * -DSHORT_FENCE   removed members count as fenced as soon as they are blocked
 * -DONE_GRANT     one other instance suffices for a lease, and the fence
 *                 depends on time alone
 * -DNO_LEASE      a share needs no lease
 * -DIGNORE_LENT   a list is acknowledged even if more than the new share is
 *                 lent
 * -DNO_HOLD       a restarted instance does not wait until its predecessor's
 *                 loans have ended
 * -DLEND_LATE     the lender does not subtract a loan that it has granted
 * -DCOUNT_TWICE   a repeated grant counts again
 */

#define N 3
#define WITNESS 3
#define NONE 255

#ifndef VERSIONS
#define VERSIONS 3
#endif

/* Divisible by the possible numbers of live members, 1 to 3. */
#define SHARE_ONE 6
#define LOAN_SHARE 2
#define LEASE 2
#define LOAN 1
#define FENCE (LEASE + LOAN)

/* Live members of a version, as a bit mask. */
#if LISTS == 1
#define MEMBERS(v) ((v) == 1 -> 3 : ((v) == 2 -> 5 : 7))
#define COUNT(v) ((v) == 3 -> 3 : 2)
#elif LISTS == 2
#define MEMBERS(v) ((v) == 1 -> 7 : ((v) == 2 -> 1 : 3))
#define COUNT(v) ((v) == 1 -> 3 : ((v) == 2 -> 1 : 2))
#else
#define MEMBERS(v) ((v) == 2 -> 1 : 3)
#define COUNT(v) ((v) == 2 -> 1 : 2)
#endif
#define LIVE(v, i) ((MEMBERS(v) >> (i)) & 1)
#define SHARE(v, i) (LIVE(v, i) -> SHARE_ONE / COUNT(v) : 0)

typedef instance {
	byte adopted;	   /* 0: no list yet */
	byte acked;
	byte agreed;	   /* 0: no share */
	byte window;	   /* bit mask of versions */
	byte former;	   /* removed members, bit mask */
	bool recovered;
	bool had_lease;
	byte held;	   /* ticks until loans_end_at */
	byte blocked;	   /* ticks until FENCE has passed; NONE: not
			    * blocked */
	byte granted[4];   /* ticks until each peer's grant expires */
	/* Reports of peers about the adopted version, until it is agreed. */
	byte same;	   /* peers that have adopted it, bit mask */
	byte seen_acked;   /* peers that have acknowledged it, bit mask */
	bool seen_agreed;  /* a peer knows that it is agreed */
	byte lent;
	byte lent_left;
	byte borrowed;
	byte borrowed_left;
};

instance m[N];
byte witness_window = 2;  /* versions that the witness has adopted, bit mask */
bool crashed;
#ifdef TICKS
byte ticks;
#endif

/* The loan: lender, borrower, and the messages that have been sent. */
byte lender = NONE;
byte borrower = NONE;
byte request_left;	/* ticks until the loan ends at the borrower */
bool asked;
bool grant_sent;
bool accepted;		/* the borrower has counted this loan ID */
bool return_sent;
bool recorded;		/* the lender has a record of the loan */

#define BITS(x) (((x) & 1) + (((x) >> 1) & 1) + (((x) >> 2) & 1))
#define GRANTS(i) ((m[i].granted[0] > 0) | ((m[i].granted[1] > 0) << 1) | \
	((m[i].granted[2] > 0) << 2) | (1 << (i)))

/* zone_quorum() or witness_quorum(), as used by lease_under() */
#ifdef ONE_GRANT
#define QUORUM(i, v) ((COUNT(v) > 1 && BITS(GRANTS(i) & MEMBERS(v)) > 1) || \
	m[i].granted[WITNESS] > 0)
#else
#define QUORUM(i, v) ((COUNT(v) > 1 && \
	BITS(GRANTS(i) & MEMBERS(v)) > COUNT(v) / 2) || \
	m[i].granted[WITNESS] > 0)
#endif

#define IN_WINDOW(i, v) ((m[i].window >> (v)) & 1)
#define ONLY(i) (m[i].window == (1 << m[i].adopted))
#define LEASE_UNDER(i, v) (!IN_WINDOW(i, v) || \
	!(ONLY(i) || (v) <= m[i].acked) || (LIVE(v, i) && QUORUM(i, v)))
#ifdef NO_LEASE
#define HAS_LEASE(i) (m[i].adopted > 0)
#else
#define HAS_LEASE(i) (m[i].adopted > 0 && LEASE_UNDER(i, 1) && \
	LEASE_UNDER(i, 2) && LEASE_UNDER(i, 3))
#endif

/* window_share() */
#define LOWER(a, b) ((a) < (b) -> (a) : (b))
#define VIEW_SHARE(i, v) (IN_WINDOW(i, v) -> SHARE(v, i) : SHARE_ONE)
#define WINDOW_SHARE(i) LOWER(VIEW_SHARE(i, 1), \
	LOWER(VIEW_SHARE(i, 2), VIEW_SHARE(i, 3)))
/* membership_share() */
#define MEMBER_SHARE(i) ((HAS_LEASE(i) && m[i].agreed > 0) -> \
	WINDOW_SHARE(i) : 0)
/* limiter_in_use() */
#define OWN(i) ((MEMBER_SHARE(i) > m[i].lent) -> \
	MEMBER_SHARE(i) - m[i].lent : 0)
#define IN_USE(i) (OWN(i) + m[i].borrowed)
#define IN_FLIGHT ((grant_sent && !accepted && request_left > 0) -> \
	LOAN_SHARE : 0)

#define SAFE (IN_USE(0) + IN_USE(1) + IN_USE(2) + IN_FLIGHT <= SHARE_ONE)

inline forget(i)
{
	m[i].same = 0;
	m[i].seen_acked = 0;
	m[i].seen_agreed = false
}

/* membership_drop_share() */
inline demote(i)
{
	m[i].agreed = 0;
	m[i].window = 1 << m[i].adopted;
	m[i].blocked = NONE
}

/* lease_check(). The model calls it after each change; the code calls it at the
 * next entry point. */
inline lease_check(i)
{
	if
	:: m[i].had_lease && !HAS_LEASE(i) ->
		m[i].had_lease = false;
		if
		:: !ONLY(i) && m[i].agreed > 0 -> demote(i)
		:: else
		fi
	:: !m[i].had_lease && HAS_LEASE(i) -> m[i].had_lease = true
	:: else
	fi
}

/* fleet_adopt() */
inline adopt(i, v)
{
	if
	:: m[i].agreed > 0 && !HAS_LEASE(i) -> demote(i)
	:: else
	fi;
	if
	:: m[i].adopted > 0 ->
		m[i].former = (m[i].former | MEMBERS(m[i].adopted))
	:: else
	fi;
	m[i].former = m[i].former & (7 - MEMBERS(v)) & (7 - (1 << i));
	if
	:: m[i].agreed == 0 -> m[i].window = 0
	:: m[i].agreed > 0 && m[i].adopted > m[i].acked ->
		m[i].window = m[i].window & (15 - (1 << m[i].adopted))
	:: else
	fi;
	m[i].window = m[i].window | (1 << v);
	m[i].adopted = v;
	m[i].blocked = NONE;
	forget(i);
	lease_check(i)
}

/* lease_is_due() at a member of the zone, and at the witness. */
#define DUE_UNDER(g, i, v) (!IN_WINDOW(g, v) || \
	!((v) >= m[i].adopted || (v) == m[g].adopted) || LIVE(v, i))
#define LEASE_DUE(g, i) (m[g].recovered && m[i].adopted > 0 && \
	DUE_UNDER(g, i, 1) && DUE_UNDER(g, i, 2) && DUE_UNDER(g, i, 3) && \
	m[i].adopted >= (m[g].agreed > 0 -> m[g].agreed : m[g].adopted))
#define WITNESS_AT(v) ((witness_window >> (v)) & 1)
#define WITNESS_DUE_UNDER(i, v) (!WITNESS_AT(v) || \
	!((v) >= m[i].adopted || witness_window < (2 << (v))) || LIVE(v, i))
#define WITNESS_DUE(i) (m[i].adopted > 0 && WITNESS_DUE_UNDER(i, 1) && \
	WITNESS_DUE_UNDER(i, 2) && WITNESS_DUE_UNDER(i, 3))
#define WITNESS_SAME(v) (WITNESS_AT(v) && witness_window < (2 << (v)))

/* lists_ack() and fleet_may_ack() */
#ifdef IGNORE_LENT
#define LENT_FITS(i) true
#else
#define LENT_FITS(i) (m[i].lent <= WINDOW_SHARE(i))
#endif
#define MAY_ACK(i) (m[i].adopted > m[i].acked && m[i].held == 0 && \
	LENT_FITS(i) && (!LIVE(m[i].adopted, i) || QUORUM(i, m[i].adopted)))

/* zone_acked() */
#define PEER_ACKED(i, j) ((m[i].seen_acked >> (j)) & 1)
#define ACKED_OR_OUT(i, j) ((i) == (j) || !LIVE(m[i].adopted, j) || \
	PEER_ACKED(i, j))
#define ZONE_ACKED(i) (ACKED_OR_OUT(i, 0) && ACKED_OR_OUT(i, 1) && \
	ACKED_OR_OUT(i, 2))

/* removed_blocked() */
#ifdef ONE_GRANT
#define VIEW_BLOCKED(i, v) true
#else
#define VIEW_BLOCKED(i, v) (!IN_WINDOW(i, v) || (v) == m[i].adopted || \
	(BITS((m[i].seen_acked | (1 << (i))) & MEMBERS(v)) >= \
	COUNT(v) - COUNT(v) / 2 && (m[i].same >> WITNESS)))
#endif
#define BLOCKED(i) (!ONLY(i) && VIEW_BLOCKED(i, 1) && \
	VIEW_BLOCKED(i, 2) && VIEW_BLOCKED(i, 3))

/* fleet_is_agreed(). Not modelled: a zone with only new members, which wait. */
#define RELEASED(i) (m[i].former == 0 || m[i].blocked == 0)
#ifdef NO_ACK
#define AGREED(i) (m[i].adopted > 0)
#else
#define AGREED(i) (m[i].acked == m[i].adopted && m[i].recovered && \
	m[i].adopted > 0 && (m[i].seen_agreed || \
	(m[i].agreed > 0 && LIVE(m[i].adopted, i) && ZONE_ACKED(i) && \
	RELEASED(i))))
#endif

/* fleet_agree() */
inline agree(i)
{
	m[i].window = 1 << m[i].adopted;
	m[i].former = 0;
	m[i].agreed = m[i].adopted;
	m[i].blocked = NONE;
	forget(i);
	lease_check(i)
}

#define UNSETTLED(i) (m[i].agreed < m[i].adopted || !m[i].recovered)

/* i receives a heartbeat from j: peer_on_message(), and the renewal of the
 * lease in the reply of j. */
inline heartbeat(i, j)
{
	if
	:: m[j].adopted == m[i].adopted && UNSETTLED(i) ->
		if
		:: !m[i].recovered -> m[i].same = m[i].same | (1 << j)
		:: else
		fi;
		if
		:: m[j].acked == m[i].adopted ->
			m[i].seen_acked = m[i].seen_acked | (1 << j);
			m[i].former = m[i].former & (7 - (1 << j));
			m[i].seen_agreed = m[i].seen_agreed ||
			    m[j].agreed == m[j].adopted
		:: else
		fi
#ifdef NEWER_ACK
	:: m[j].acked > m[i].adopted && UNSETTLED(i) ->
		m[i].seen_acked = m[i].seen_acked | (1 << j);
		m[i].former = m[i].former & (7 - (1 << j))
#endif
	:: else
	fi;
	if
	:: LEASE_DUE(j, i) && m[i].granted[WITNESS] < LEASE &&
	    LIVE(m[i].adopted, i) -> m[i].granted[j] = LEASE
	:: else
	fi;
	lease_check(i)
}

/* recover() */
inline recover(i)
{
	if
	:: LIVE(m[i].adopted, i) && ((m[i].same | (1 << i)) & 7 &
	    MEMBERS(m[i].adopted)) == MEMBERS(m[i].adopted) &&
	    (m[i].same >> WITNESS) -> m[i].recovered = true
	:: else
	fi
}

inline count_down(x)
{
	if
	:: x > 0 && x != NONE -> x--
	:: else
	fi
}

inline tick_instance(i)
{
	count_down(m[i].held);
	count_down(m[i].granted[0]);
	count_down(m[i].granted[1]);
	count_down(m[i].granted[2]);
	count_down(m[i].granted[WITNESS]);
	/* removed_fenced(): at the end of FENCE the refusals are checked again,
	 * in step(). */
	if
	:: m[i].blocked == 1 -> m[i].blocked = 1
	:: else -> count_down(m[i].blocked)
	fi;
	if
	:: m[i].lent_left == 1 ->
		m[i].lent = 0;
		m[i].lent_left = 0;
		recorded = false
	:: else -> count_down(m[i].lent_left)
	fi;
	if
	:: m[i].borrowed_left == 1 ->
		m[i].borrowed = 0;
		m[i].borrowed_left = 0
	:: else -> count_down(m[i].borrowed_left)
	fi;
	lease_check(i)
}

inline crash(i)
{
	m[i].adopted = 0;
	m[i].acked = 0;
	m[i].agreed = 0;
	m[i].window = 0;
	m[i].former = 0;
	m[i].recovered = false;
	m[i].had_lease = false;
	m[i].blocked = NONE;
	m[i].granted[0] = 0;
	m[i].granted[1] = 0;
	m[i].granted[2] = 0;
	m[i].granted[WITNESS] = 0;
	forget(i);
	if
	:: i == lender && recorded ->
		m[i].lent = 0;
		m[i].lent_left = 0;
		recorded = false
	:: else
	fi;
	if
	:: i == borrower ->
		m[i].borrowed = 0;
		m[i].borrowed_left = 0;
		/* A new process receives no replies to requests of its
		 * predecessor. */
		grant_sent = false
	:: else
	fi;
#ifdef NO_HOLD
	m[i].held = 0
#else
	m[i].held = LOAN
#endif
}

#define FENCE_STARTS(i) (m[i].former != 0 && m[i].agreed > 0 && \
	m[i].blocked == NONE && ZONE_ACKED(i) && BLOCKED(i))
/* All peers that counted as blocking still have the adopted version. */
#define STILL(i, j) (!((m[i].seen_acked >> (j)) & 1) || \
	m[j].adopted == m[i].adopted)
#define STILL_BLOCKED(i) (STILL(i, 0) && STILL(i, 1) && STILL(i, 2) && \
	WITNESS_SAME(m[i].adopted))

/* One step of an instance, including messages that it receives. */
inline step(i)
{
	if
	:: m[i].adopted < VERSIONS ->
		if
		:: m[i].adopted < 1 -> adopt(i, 1)
		:: m[i].adopted < 2 -> adopt(i, 2)
#if VERSIONS == 3
		:: adopt(i, 3)
#endif
		fi
	:: m[i].adopted > 0 && i != 0 && m[0].adopted > 0 -> heartbeat(i, 0)
	:: m[i].adopted > 0 && i != 1 && m[1].adopted > 0 -> heartbeat(i, 1)
	:: m[i].adopted > 0 && i != 2 && m[2].adopted > 0 -> heartbeat(i, 2)
	:: m[i].adopted > 0 && WITNESS_SAME(m[i].adopted) &&
	    UNSETTLED(i) && !(m[i].same >> WITNESS) ->
		m[i].same = m[i].same | (1 << WITNESS)
	:: m[i].adopted > 0 && WITNESS_DUE(i) && m[i].granted[WITNESS] < LEASE &&
	    LIVE(m[i].adopted, i) ->
		/* While it lasts, the grant of the witness is a quorum under
		 * every version. Grants of the zone expire no later, so they
		 * are not needed. */
		m[i].granted[WITNESS] = LEASE;
		m[i].granted[0] = 0;
		m[i].granted[1] = 0;
		m[i].granted[2] = 0;
		lease_check(i)
	:: m[i].adopted > 0 && !m[i].recovered -> recover(i)
	:: m[i].adopted > 0 && MAY_ACK(i) ->
		m[i].acked = m[i].adopted;
		lease_check(i)
	:: m[i].agreed < m[i].adopted && AGREED(i) -> agree(i)
#ifdef SHORT_FENCE
	:: FENCE_STARTS(i) -> m[i].blocked = 0
#else
	:: FENCE_STARTS(i) -> m[i].blocked = FENCE + 1
	:: m[i].blocked == 1 && STILL_BLOCKED(i) -> m[i].blocked = 0
#endif
#ifdef CRASH
	:: !crashed -> crashed = true; crash(i)
#endif
#ifdef LOANS
	/* limiter_wants_loan(), limiter_lend() */
	:: !asked && i != 0 ->
		asked = true;
		borrower = i;
		lender = 0;
		request_left = LOAN
	:: !asked && i == 0 ->
		asked = true;
		borrower = 0;
		lender = 1;
		request_left = LOAN
	:: asked && !grant_sent && !accepted && !recorded && i == lender &&
	    OWN(i) >= LOAN_SHARE ->
		grant_sent = true;
#ifndef LEND_LATE
		m[i].lent = LOAN_SHARE;
		m[i].lent_left = LOAN;
		recorded = true
#endif
	/* loan_accept() */
	:: grant_sent && i == borrower && request_left > 0 &&
#ifdef COUNT_TWICE
	    m[i].borrowed <= LOAN_SHARE ->
		m[i].borrowed = m[i].borrowed + LOAN_SHARE;
#else
	    !accepted ->
		m[i].borrowed = LOAN_SHARE;
#endif
		accepted = true;
		m[i].borrowed_left = request_left
	/* loan_return(): the borrower stops counting before it sends */
	:: m[i].borrowed > 0 && i == borrower ->
		m[i].borrowed = 0;
		m[i].borrowed_left = 0;
		return_sent = true
	/* loan_on_return() */
	:: return_sent && recorded && i == lender ->
		m[i].lent = 0;
		m[i].lent_left = 0;
		recorded = false
#endif
	fi
}

inline start(i)
{
	m[i].blocked = NONE;
	if
	:: LIVE(1, i) ->
		m[i].adopted = 1;
		m[i].acked = 1;
		m[i].agreed = 1;
		m[i].window = 2;
		m[i].recovered = true;
		m[i].granted[WITNESS] = LEASE;
		m[i].had_lease = true
	:: else -> m[i].held = LOAN
	fi
}

active proctype zone()
{
	d_step {
		start(0);
		start(1);
		start(2)
	}
end:	do
	:: atomic { !WITNESS_AT(2) ->
		witness_window = witness_window | 4 }
#if VERSIONS == 3
	:: atomic { !WITNESS_AT(3) ->
		witness_window = witness_window | 8 }
#endif
	:: atomic { step(0); assert(SAFE) }
	:: atomic { step(1); assert(SAFE) }
#if LISTS != 3
	:: atomic { step(2); assert(SAFE) }
#endif
	:: d_step {
#ifdef TICKS
		ticks < TICKS;
		ticks++;
#endif
		tick_instance(0);
		tick_instance(1);
		tick_instance(2);
		count_down(request_left);
		assert(SAFE)
	}
	od
}
