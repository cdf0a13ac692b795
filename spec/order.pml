/*
 * Model of core/order.c: one ticket, issued by the first incarnation of
 * instance A. A caller sends the order to A or to instance B, which forwards it
 * to A once. Messages between caller, B and A are lost, duplicated and delayed.
 * A crashes and starts as a new incarnation with an empty table, and its wall
 * clock can be set back. The target may close the connection before or after it
 * executed the order.
 *
 * Checked: the order is executed at most once, and when "not_run" is stated, it
 * has not been executed and no dispatch of it is under way.
 *
 * Not modelled: body digests, the mac, the table limit, and ORDER_FROM_ISSUER;
 * tests/test_order.c covers them.
 *
 * Each switch removes a rule and must give a counterexample:
 * -DANY_INCARNATION   tickets of an earlier incarnation are accepted
 * -DENTER_LATE        the ticket is entered after the bytes were written
 * -DUNSENT_ON_CLOSE   a connection closed by the target counts as unsent
 * -DCLOCK_ALONE       expiry is judged by the clock, not by the highest time
 * -DFIXED_RAN         a drain refusal says "not_run" without order_ran
 */

#define COPIES 4  /* requests that the caller sends */
#define CRASHES 2 /* restarts of A */

mtype = { ORDER_UNUSED, ORDER_RUNNING, ORDER_COMPLETED, ORDER_UNKNOWN };
mtype = { RAN_NOT_RUN, RAN_COMPLETED, RAN_UNKNOWN };
mtype = { TARGET_ANSWERED, TARGET_CLOSED };

chan to_a = [2] of { bit };  /* requests at A, from the caller or from B */
chan to_b = [2] of { bit };
chan to_target = [2] of { byte }; /* bytes of an order, with A's incarnation */
chan from_target = [2] of { byte, mtype };

byte incarnation = 1; /* of A now; the ticket names incarnation 1 */
mtype state = ORDER_UNUSED;
bool clock_past_expiry = false; /* what A's wall clock shows now */
bool expired = false;		/* what the highest time seen shows */
byte written = 0;		/* dispatches whose bytes were written */
byte executed = 0;

#ifdef CLOCK_ALONE
#define EXPIRED clock_past_expiry
#else
#define EXPIRED expired
#endif

/* A full channel stands for a loss. */
inline send_message(channel)
{
	if
	:: skip
	:: nfull(channel) -> channel!0
	:: nfull(channel) -> channel!0;
		if
		:: nfull(channel) -> channel!0
		:: full(channel)
		fi
	fi
}

/* A statement about the execution of the order, at the time it is made. */
inline answer(ran)
{
	assert(ran != RAN_NOT_RUN || (executed == 0 && written == 0))
}

/* order_ran() at the issuer */
inline order_ran()
{
	if
#ifndef ANY_INCARNATION
	:: incarnation != 1 -> answer(RAN_UNKNOWN)
#endif
	:: else ->
		if
		:: EXPIRED -> answer(RAN_UNKNOWN)
		:: !EXPIRED && state == ORDER_UNUSED -> answer(RAN_NOT_RUN)
		:: !EXPIRED && state != ORDER_UNUSED -> answer(RAN_UNKNOWN)
		fi
	fi
}

inline settle(from, to)
{
	if
	:: incarnation == from && state == ORDER_RUNNING -> state = to
	:: else
	fi
}

/* The one dispatch of a running order by incarnation `mine` of A. */
proctype dispatch(byte mine)
{
	if
	:: atomic {
		/* connection refused, or order_may_dispatch() says no */
		incarnation == mine -> settle(mine, ORDER_UNUSED);
		answer(RAN_NOT_RUN)
	}
	:: atomic {
		incarnation == mine && !EXPIRED ->
		written++;
		to_target!mine;
#ifdef ENTER_LATE
		if
		:: state == ORDER_UNUSED -> state = ORDER_RUNNING
		:: else
		fi
#endif
	}
	:: incarnation != mine /* crashed before the dispatch */
	fi
}

/* order_complete() and order_unknown() when the connection ends */
active proctype transfer()
{
	byte mine;

end:	do
	:: atomic { from_target?mine, TARGET_ANSWERED ->
		settle(mine, ORDER_COMPLETED) }
	:: atomic { from_target?mine, TARGET_CLOSED ->
#ifdef UNSENT_ON_CLOSE
		settle(mine, ORDER_UNUSED)
#else
		settle(mine, ORDER_UNKNOWN)
#endif
	}
	od
}

active proctype target()
{
	byte from;

end:	do
	:: atomic { to_target?from ->
		if
		:: executed++; assert(executed <= 1);
			if
			:: from_target!from, TARGET_ANSWERED
			:: from_target!from, TARGET_CLOSED
			fi
		:: from_target!from, TARGET_CLOSED
		fi
	}
	od
}

/* order_begin() at the issuer */
inline order_begin()
{
	if
#ifndef ANY_INCARNATION
	:: incarnation != 1 -> answer(RAN_UNKNOWN) /* TICKET_UNKNOWN */
#endif
	:: else ->
		if
		:: EXPIRED -> answer(RAN_UNKNOWN)
		:: !EXPIRED && state == ORDER_UNUSED -> /* ORDER_RUN */
#ifndef ENTER_LATE
			state = ORDER_RUNNING;
#endif
			run dispatch(incarnation)
		:: !EXPIRED && state == ORDER_RUNNING -> answer(RAN_UNKNOWN)
		:: !EXPIRED && state == ORDER_COMPLETED -> answer(RAN_COMPLETED)
		:: !EXPIRED && state == ORDER_UNKNOWN -> answer(RAN_UNKNOWN)
		fi
	fi
}

active proctype instance_a()
{
	bit message;

end:	do
	:: atomic { to_a?message -> order_begin() }
	:: atomic { to_a?message -> /* refused while draining */
#ifdef FIXED_RAN
		answer(RAN_NOT_RUN)
#else
		order_ran()
#endif
	}
	od
}

/* ORDER_FORWARD; whatever B says by itself is RAN_UNKNOWN. */
active proctype instance_b()
{
	bit message;

end:	do
	:: atomic { to_b?message -> send_message(to_a) }
	:: atomic { to_b?message -> answer(RAN_UNKNOWN) }
	od
}

active proctype caller()
{
	byte sent = 0;

	do
	:: atomic { sent < COPIES -> sent++;
		if
		:: send_message(to_a)
		:: send_message(to_b)
		fi
	}
	:: break
	od
}

/* Crashes of A, its clock, and order_expire(). */
active proctype surroundings()
{
	byte crashes = 0;

end:	do
	:: atomic { crashes < CRASHES ->
		crashes++;
		incarnation++;
		state = ORDER_UNUSED;
	}
	:: atomic { !clock_past_expiry ->
		clock_past_expiry = true; expired = true }
	:: clock_past_expiry -> clock_past_expiry = false
	:: atomic { EXPIRED -> state = ORDER_UNUSED } /* order_expire() */
	od
}
