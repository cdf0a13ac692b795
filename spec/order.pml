/*
 * Model of core/order.c for one ticket, issued by the first incarnation of
 * instance A. A caller sends the order to A, or to instance B, which forwards
 * it to A once. Messages between the caller, B and A may be lost, duplicated
 * or delayed. A may crash and restart as a new incarnation with an empty
 * table, and its wall clock may be set back. The target may close the
 * connection before or after it has executed the order.
 *
 * Checked: the order is executed at most once. When "not_run" is stated, the
 * order has not been executed and has not been sent to the target.
 *
 * Not modelled: body digests, the MAC, the limit of the table, and
 * ORDER_FROM_ISSUER; tests/test_order.c covers them.
 *
 * Each switch removes a rule and must lead to a violation:
 * -DANY_INCARNATION   tickets of an earlier incarnation are accepted
 * -DENTER_LATE        the order is entered in the table only after it was sent
 *                     to the target
 * -DUNSENT_ON_CLOSE   an order whose connection the target closed counts as
 *                     unsent
 * -DCLOCK_ALONE       expiry depends on the current wall clock, not on the
 *                     highest time seen
 * -DFIXED_RAN         a refusal while draining states "not_run" without a call
 *                     of order_execution()
 */

#define COPIES 4  /* bound on requests that the caller sends */
#define CRASHES 2 /* bound on restarts of A */

mtype = { ORDER_UNUSED, ORDER_RUNNING, ORDER_COMPLETED, ORDER_UNKNOWN };
mtype = { RAN_NOT_RUN, RAN_COMPLETED, RAN_UNKNOWN };
mtype = { TARGET_ANSWERED, TARGET_CLOSED };

chan to_a = [2] of { bit };  /* requests to A, from the caller or from B */
chan to_b = [2] of { bit };
chan to_target = [2] of { byte }; /* dispatched order: A's incarnation */
chan from_target = [2] of { byte, mtype };

byte incarnation = 1; /* current one of A; the ticket names 1 */
mtype state = ORDER_UNUSED;
bool clock_past_expiry = false; /* by A's current wall clock */
bool expired = false;		/* by the highest time seen */
byte written = 0;		/* dispatches whose bytes were written */
byte executed = 0;

#ifdef CLOCK_ALONE
#define EXPIRED clock_past_expiry
#else
#define EXPIRED expired
#endif

/* Sends no, one or two copies: a loss, a delivery or a duplicate. A full
 * channel also stands for a loss. */
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

/* Answers with a statement about the execution of the order, and checks it at
 * that time. */
inline answer(ran)
{
	assert(ran != RAN_NOT_RUN || (executed == 0 && written == 0))
}

/* order_execution() at the issuer */
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

/* The only dispatch of a running order, by incarnation `mine` of A. */
proctype dispatch(byte mine)
{
	if
	:: atomic {
		/* connection refused, or order_may_dispatch() is false */
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
	:: incarnation != mine /* A crashed before the dispatch */
	fi
}

/* order_settle_completed() and order_settle_unknown(), when the connection
 * ends */
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
	:: incarnation != 1 -> answer(RAN_UNKNOWN) /* REFUSAL_TICKET_UNKNOWN */
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

/* ORDER_FORWARD. Answers that B gives without A say EXECUTION_UNKNOWN. */
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

/* Crashes of A, changes of its wall clock, and order_expire(). */
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
