/*
 * Model of core/lists.c for one list kind. Heartbeats and fetches are lost or
 * late. Reads of the platform may be stale, revert to an older version, or
 * return other content under version 1. Any instance may restart; RESTARTS
 * bounds the total.
 *
 * A list is encoded as version * 2 + content (0 or 1), so that one version can
 * have two contents.
 *
 * Checked:
 * - The version in force in an incarnation never falls, and its content never
 *   changes.
 * - When an instance becomes ready, its version is no lower than that of any
 *   reachable peer from which it has received a heartbeat.
 * - After a fetched list is received, the receiver has at least its version.
 *
 * Not modelled: pairs of plans and allowances, and fetch times;
 * tests/test_lists.c covers them. Time is reduced to two events: exchange_over
 * (LISTS_STARTUP_WAIT_US, 2 s, have passed) and the loss of contact with a
 * peer, which makes it unreachable.
 *
 * Each switch removes a rule and must lead to a violation:
 * -DANY_VERSION    lists_offer() also adopts a lower version
 * -DANY_CONTENT    lists_offer() also adopts other content of a known version
 * -DNO_EXCHANGE    lists_ready() neither waits for heartbeats of peers nor
 *                  compares their versions
 */

#define INSTANCES 2
#define VERSIONS 3
#define RESTARTS 2

mtype = { LISTS_ADOPT, LISTS_SAME, LISTS_BEHIND, LISTS_CONFLICT };

byte published = 1;		 /* newest version on the platform */
byte in_force[INSTANCES];	 /* list; 0: none */
bool ready[INSTANCES];
bool exchange_over[INSTANCES];
byte heard[INSTANCES * INSTANCES]; /* [to * INSTANCES + from]: list; 0: none */
bool exchanged[INSTANCES * INSTANCES]; /* received since the start */
byte restarts = 0;

#define VERSION(list) ((list) / 2)
#define LIST(version, content) ((version) * 2 + (content))
#if defined(ANY_VERSION)
#define ALSO_ADOPTED LISTS_BEHIND
#elif defined(ANY_CONTENT)
#define ALSO_ADOPTED LISTS_CONFLICT
#else
#define ALSO_ADOPTED LISTS_ADOPT
#endif
#define PAIR(to, from) ((to) * INSTANCES + (from))

inline lists_compare(i, list, verdict)
{
	if
	:: VERSION(list) < VERSION(in_force[i]) -> verdict = LISTS_BEHIND
	:: list == in_force[i] -> verdict = LISTS_SAME
	:: VERSION(list) == VERSION(in_force[i]) && list != in_force[i] ->
		verdict = LISTS_CONFLICT
	:: VERSION(list) > VERSION(in_force[i]) -> verdict = LISTS_ADOPT
	fi
}

inline lists_offer(i, list, verdict)
{
	lists_compare(i, list, verdict);
	if
	:: verdict == LISTS_ADOPT || verdict == ALSO_ADOPTED ->
		assert(VERSION(list) > VERSION(in_force[i]));
		in_force[i] = list
	:: else
	fi;
	verdict = 0
}

/* lists_ready(): a heartbeat of each peer was received or LISTS_STARTUP_WAIT_US
 * has passed, and no reachable peer has a newer version. */
inline lists_ready(i, p, blocked)
{
	blocked = (in_force[i] == 0);
#ifndef NO_EXCHANGE
	p = 0;
	do
	:: p < INSTANCES ->
		if
		:: p != i && !exchanged[PAIR(i, p)] && !exchange_over[i] ->
			blocked = true
		:: p != i && VERSION(heard[PAIR(i, p)]) >
		    VERSION(in_force[i]) ->
			blocked = true
		:: else
		fi;
		p++
	:: else -> break
	od;
#endif
	if
	:: !blocked ->
		ready[i] = true;
		p = 0;
		do
		:: p < INSTANCES ->
			assert(p == i || VERSION(heard[PAIR(i, p)]) <=
			    VERSION(in_force[i]));
			/* Only after LISTS_STARTUP_WAIT_US may a peer be
			 * skipped. */
			assert(p == i || exchanged[PAIR(i, p)] ||
			    exchange_over[i]);
			p++
		:: else -> break
		od
	:: else
	fi;
	blocked = false;
	p = 0
}

inline any_peer(i, p)
{
	p = (i + 1) % INSTANCES;
	if
	:: skip
	:: INSTANCES > 2 -> p = (i + 2) % INSTANCES
	fi
}

proctype instance(byte i)
{
	mtype verdict = 0;
	byte p = 0;
	byte version = 0;
	byte fetched = 0; /* list being fetched from a peer; 0: none */
	bool blocked = false;

end:	do
	:: atomic { /* read of the platform: any version published so far */
		version = 1;
		do
		:: version < published -> version++
		:: break
		od;
		if
		:: lists_offer(i, LIST(version, 0), verdict)
		:: lists_offer(i, LIST(version, version == 1), verdict)
		fi;
		version = 0
	}
	:: atomic { /* lists_on_heartbeat(), which may start a fetch */
		fetched == 0 ->
		any_peer(i, p);
		if
		:: in_force[p] != 0 ->
			heard[PAIR(i, p)] = in_force[p];
			exchanged[PAIR(i, p)] = true;
			lists_compare(i, in_force[p], verdict);
			if
			:: verdict == LISTS_ADOPT ->
				if
				:: fetched = in_force[p]
				:: fetched = 0 /* lost */
				fi
			:: else
			fi;
			verdict = 0
		:: else -> exchanged[PAIR(i, p)] = true
		fi;
		p = 0
	}
	:: atomic { /* a fetched list is received, at any later time */
		fetched != 0 ->
		lists_offer(i, fetched, verdict);
		assert(VERSION(in_force[i]) >= VERSION(fetched));
		fetched = 0
	}
	:: atomic { /* no heartbeat of a peer for LISTS_REACHABLE_US */
		any_peer(i, p);
		heard[PAIR(i, p)] = 0;
		p = 0
	}
	:: atomic { in_force[i] != 0 -> exchange_over[i] = true }
	:: atomic { !ready[i] -> lists_ready(i, p, blocked) }
	:: atomic { /* restart as a new incarnation */
		restarts < RESTARTS ->
		restarts++;
		in_force[i] = 0;
		ready[i] = false;
		exchange_over[i] = false;
		fetched = 0;
		do
		:: p < INSTANCES ->
			exchanged[PAIR(i, p)] = false;
			heard[PAIR(i, p)] = 0;
			p++
		:: else -> break
		od;
		p = 0
	}
	od
}

active proctype operators()
{
	do
	:: published < VERSIONS -> published++
	:: break
	od
}

init
{
	byte i = 0;

	atomic {
		do
		:: i < INSTANCES -> run instance(i); i++
		:: else -> break
		od
	}
}
