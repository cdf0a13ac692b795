/*
 * Agreement on the pair of lists: core/membership_pair.c in a bounded setting.
 *
 * Two zones of two instances, 0 and 1, 2 and 3. Everyone starts with version 1
 * of the pair, which is agreed; version 2 moves rate from the second zone to the
 * first. One instance starts again, with either version. The fleet list is
 * agreed all the time, and a new process gets its share as soon as a pair is
 * agreed, which is the worst case.
 *
 * An exchange is a request and its reply. Most take no time; one at a time is
 * slow, so that its reply is made and arrives at any time later. A lost one is a
 * step that doesn't happen. Dates are kept as the time that is left until they
 * no longer count, and count down with the clock; a process that takes no step
 * meanwhile is a paused one. Clocks run at one speed.
 *
 * The switches remove one rule each and must lead to a violation: ANY_AGE counts
 * what was shown at any time, ANY_LISTS counts statements about the other pair,
 * EARLY_REPLY lets a new process count replies to requests of the time in which
 * its predecessor's acknowledgement may count.
 */

#define N 4
#define NONE 255
/* LOAN_US, and the end of held_until. */
#ifndef LIFE
#define LIFE 1
#endif

/* Part of each member; two members of each zone make 8 under both versions. */
#define SHARE_ONE 8
#define ZONE(i) ((i) / 2)
#define PART(v, i) ((v) == 1 + ZONE(i) -> 1 : 3)

typedef instance {
	byte adopted = 1;
	byte acked = 1;
	byte agreed = 1; /* 0: holds nothing */
	byte hold;	 /* held_until: time left */
	byte seen;	 /* obeyed_at of the other member: time left */
	byte stated[2];	 /* stated_at: time left */
}

instance m[N];
bool restarted;

/* The slow exchange. */
byte asker = NONE;
byte asked;
byte left;	  /* of the request's date */
bool counts;	  /* the request was sent after held_until */
bool answered;
byte version;	  /* what the reply shows; 0: nothing acknowledged */
byte other_version;
bool agreement;
byte stated0, stated1;

/* parts_lowest() */
#define IN_USE(i) (m[i].agreed == 0 -> 0 : (m[i].agreed == m[i].adopted -> \
	PART(m[i].adopted, i) : 1))
#define SAFE (IN_USE(0) + IN_USE(1) + IN_USE(2) + IN_USE(3) <= SHARE_ONE)

#define SETTLED(i) (m[i].agreed == m[i].adopted)
#define HIGHER(a, b) ((a) > (b) -> (a) : (b))
/* A date that is q from its end, told in a reply to a request r from its. */
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

/* pair_take_reply() of what j shows: the version that it has adopted, whether
 * it obeys it, and whether it knows it to be agreed. */
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

/* A request and its reply without delay. */
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
	/* Answers to its earlier requests don't reach it. */
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

/* pair_advance(), after each step as there. */
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
