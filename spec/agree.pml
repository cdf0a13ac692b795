/*
 * Bounded model of the agreement on the pair of lists in
 * core/membership_pair.c.
 *
 * Two zones have two instances each: 0 and 1, 2 and 3. All start with version
 * 1 of the pair, which is agreed. Version 2 moves rate from the second zone to
 * the first. One instance restarts once, with version 1, or with version 2 if
 * an instance has adopted it by then. The fleet list is agreed throughout, and
 * a restarted instance has its share as soon as a pair is agreed, which is the
 * worst case.
 *
 * An exchange is a request and its reply. Most exchanges are one step. One at
 * a time is delayed: its reply is made and received at any later time. A lost
 * exchange is a step that isn't taken. Dates are modelled as the time that is
 * left until they expire, which each tick of the clock reduces. An instance
 * that takes no step between ticks is a paused process. All clocks run at the
 * same speed.
 *
 * Checked: the shares in use never add up to more than SHARE_ONE.
 *
 * Each switch removes a rule and must lead to a violation:
 * -DANY_AGE       reports and statements of any age count
 * -DANY_LISTS     statements about the other version of the pair count
 * -DEARLY_REPLY   a new process counts replies to requests that it sent before
 *                 loans_end_at, when acknowledgements of its predecessor may
 *                 still count
 */

#define N 4
#define NONE 255
/* LOAN_US in ticks; also the time from a start until loans_end_at. */
#ifndef LIFE
#define LIFE 1
#endif

/* Share of each member, in units of 1/8. Two zones of two members add up to
 * SHARE_ONE under both versions. */
#define SHARE_ONE 8
#define ZONE(i) ((i) / 2)
#define PART(v, i) ((v) == 1 + ZONE(i) -> 1 : 3)

typedef instance {
	byte adopted = 1;
	byte acked = 1;
	byte agreed = 1; /* 0: no share */
	byte hold;	 /* ticks until loans_end_at */
	byte seen;	 /* ticks until applied_at of the zone's other member
			  * expires */
	byte stated[2];	 /* ticks until stated_at of each zone expires */
}

instance m[N];
bool restarted;

/* The delayed exchange; at most one is open. */
byte asker = NONE;
byte asked;
byte left;	  /* ticks until the date of the request expires */
bool counts;	  /* the request was sent after loans_end_at */
bool answered;
byte version;	  /* acknowledged version in the reply; 0: none */
byte other_version;
bool agreement;
byte stated0, stated1;

/* zone_shares_lowest(): the lower share of the two pairs until the adopted one
 * is agreed. */
#define IN_USE(i) (m[i].agreed == 0 -> 0 : (m[i].agreed == m[i].adopted -> \
	PART(m[i].adopted, i) : 1))
#define SAFE (IN_USE(0) + IN_USE(1) + IN_USE(2) + IN_USE(3) <= SHARE_ONE)

#define SETTLED(i) (m[i].agreed == m[i].adopted)
#define HIGHER(a, b) ((a) > (b) -> (a) : (b))
/* Ticks until a statement expires at the receiver: q ticks are left at the
 * sender, and r ticks until the date of the request expires. */
#define DATED(r, q) ((r) + (q) > LIFE -> (r) + (q) - LIFE : 0)

#ifdef EARLY_REPLY
#define HOLD_IS_OVER(i) true
#else
#define HOLD_IS_OVER(i) (m[i].hold == 0)
#endif

#ifdef ANY_LISTS
#define FITS(i, v) true
#else
#define FITS(i, v) (m[i].adopted == (v))
#endif

inline forget(i)
{
	m[i].seen = 0;
	m[i].stated[0] = 0;
	m[i].stated[1] = 0
}

inline agree(i)
{
	m[i].agreed = m[i].adopted;
	forget(i)
}

/* pair_on_reply() with a reply of j, which reports the adopted version, whether
 * j has acknowledged it, and whether j knows that it is agreed. */
inline take(i, j, shown, obeys, knows, date, date0, date1)
{
	if
	:: m[i].adopted == shown && knows && m[i].acked == shown -> agree(i)
	:: else ->
		if
		:: m[i].adopted == shown && obeys && ZONE(i) == ZONE(j) ->
			m[i].seen = HIGHER(m[i].seen, date)
		:: else
		fi;
		if
		:: FITS(i, shown) ->
			m[i].stated[0] = HIGHER(m[i].stated[0], date0);
			m[i].stated[1] = HIGHER(m[i].stated[1], date1)
		:: else
		fi
	fi
}

/* A request and its reply in one step. */
#define MAY_ASK(i) (!SETTLED(i) && HOLD_IS_OVER(i))
inline exchange(i, j)
{
	take(i, j, m[j].adopted, m[j].acked == m[j].adopted, SETTLED(j), LIFE,
	    m[j].stated[0], m[j].stated[1])
}

inline close()
{
	asker = NONE;
	asked = 0;
	left = 0;
	counts = false;
	answered = false;
	version = 0;
	other_version = 0;
	agreement = false;
	stated0 = 0;
	stated1 = 0
}

inline restart(i, list)
{
	restarted = true;
	m[i].adopted = list;
	m[i].acked = 0;
	m[i].agreed = 0;
	m[i].hold = LIFE;
	forget(i);
	/* A new process receives no replies to requests of its predecessor. */
	if
	:: asker == i -> close()
	:: else
	fi
}

inline open(i, j)
{
	asker = i;
	asked = j;
	left = LIFE;
	counts = HOLD_IS_OVER(i)
}

inline answer()
{
	answered = true;
	other_version = m[asked].adopted;
	version = (m[asked].acked == m[asked].adopted -> m[asked].adopted : 0);
	agreement = SETTLED(asked);
	stated0 = DATED(left, m[asked].stated[0]);
	stated1 = DATED(left, m[asked].stated[1])
}

inline arrive(i)
{
	if
	:: counts && !SETTLED(i) ->
		take(i, asked, other_version, version > 0, agreement, left,
		    stated0, stated1)
	:: else
	fi;
	close()
}

/* pair_advance(), run after each step as in the code. */
#define OBEYS(i) (!SETTLED(i) && m[i].acked == m[i].adopted)
inline advance(i)
{
	if
	:: OBEYS(i) && m[i].seen > m[i].stated[ZONE(i)] ->
		m[i].stated[ZONE(i)] = m[i].seen
	:: else
	fi;
	if
	:: OBEYS(i) && m[i].hold == 0 && m[i].stated[0] > 0 &&
	    m[i].stated[1] > 0 -> agree(i)
	:: else
	fi
}

inline step(i)
{
	if
	:: m[i].adopted == 1 ->
		m[i].adopted = 2;
		forget(i)
	:: m[i].acked < m[i].adopted && m[i].hold == 0 ->
		m[i].acked = m[i].adopted
	:: MAY_ASK(i) && i != 0 -> exchange(i, 0)
	:: MAY_ASK(i) && i != 1 -> exchange(i, 1)
	:: MAY_ASK(i) && i != 2 -> exchange(i, 2)
	:: MAY_ASK(i) && i != 3 -> exchange(i, 3)
	:: asker == NONE && !SETTLED(i) && i != 0 -> open(i, 0)
	:: asker == NONE && !SETTLED(i) && i != 1 -> open(i, 1)
	:: asker == NONE && !SETTLED(i) && i != 2 -> open(i, 2)
	:: asker == NONE && !SETTLED(i) && i != 3 -> open(i, 3)
	:: asker != NONE && asked == i && !answered -> answer()
	:: asker == i && answered -> arrive(i)
	:: !restarted -> restart(i, 1)
	:: !restarted && (m[0].adopted == 2 || m[1].adopted == 2 ||
	    m[2].adopted == 2 || m[3].adopted == 2) -> restart(i, 2)
	fi
}

inline count_down(x)
{
	if
	:: x > 0 -> x--
	:: else
	fi
}

#ifdef ANY_AGE
#define AGE(x) skip
#else
#define AGE(x) count_down(x)
#endif

inline tick_instance(i)
{
	count_down(m[i].hold);
	AGE(m[i].seen);
	AGE(m[i].stated[0]);
	AGE(m[i].stated[1])
}

active proctype fleet()
{
end:	do
	:: atomic { step(0); advance(0); assert(SAFE) }
	:: atomic { step(1); advance(1); assert(SAFE) }
	:: atomic { step(2); advance(2); assert(SAFE) }
	:: atomic { step(3); advance(3); assert(SAFE) }
	:: d_step {
		tick_instance(0);
		tick_instance(1);
		tick_instance(2);
		tick_instance(3);
		AGE(left);
		AGE(stated0);
		AGE(stated1)
	}
	od
}
