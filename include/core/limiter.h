#ifndef CORE_LIMITER_H
#define CORE_LIMITER_H

#include "core/bucket.h"
#include "core/loan.h"
#include "core/membership.h"

/*
 * Rate limiter of one instance. For each team it admits the instance's own
 * share of the rate, less what it has lent, plus what it has borrowed. Each
 * active team has a token bucket and a demand estimate. This interface counts
 * whole tokens; rates and bursts come from the lists that the membership has
 * adopted.
 */
typedef struct limiter limiter_t;

/* Max wait of a request for tokens, by refill or loan, before it is refused. */
#define TOKEN_MAX_WAIT_US (500 * US_PER_MS)
/* Time constant of the demand estimate. */
#define DEMAND_TAU_US (5 * US_PER_S)
/* Pause after a loan request for which the lender granted nothing. */
#define LOAN_RETRY_US (250 * US_PER_MS)
/* A loan request without a reply is given up after this (peer timeout). */
#define LOAN_TIMEOUT_US US_PER_S
/* A borrowed loan is renewed when less than this is left until it ends. */
#define LOAN_RENEW_US (4 * US_PER_S)
/* The entry of a team without requests for this long may be dropped. */
#define LIMITER_IDLE_US (2 * LOAN_US)

typedef enum {
	LIMITER_ADMITTED,
	LIMITER_WAIT,  /* too few tokens now; see ready_at, needs_loan */
	LIMITER_NEVER, /* costs more than the burst, or unknown team */
} limiter_verdict_t;

typedef struct {
	limiter_verdict_t verdict;
	reservation_t reservation; /* LIMITER_ADMITTED */
	/* LIMITER_ADMITTED: the bucket was low before, see bucket_is_low() */
	bool above_rate;
	/* LIMITER_WAIT: earliest time at which a retry can succeed. Assumes a
	 * loan only when the instance's own share can never suffice. */
	time_us_t ready_at;
	bool needs_loan; /* LIMITER_WAIT: a loan can shorten the wait */
} limiter_result_t;

/*
 * A loan request to send and the peer to send it to. lender is the peer whose
 * loan is renewed or that has borrowed from this instance. When it is empty,
 * the caller picks the next ready peer, in the team's home region if it has
 * one.
 */
typedef struct {
	char lender[NAME_LIMIT + 1];
	loan_request_t request;
} outgoing_loan_request_t;

/*
 * Keeps a pointer to the membership, which must outlive the result, and sets
 * the callback that returns the largest lent share.
 */
limiter_t *limiter_create(
    membership_t *m, const char *name, incarnation_t incarnation);
void limiter_destroy(limiter_t *a);

/* Calls membership_adopt() and applies the new shares to all buckets. */
void limiter_adopt(limiter_t *a, fleet_t *fleet, plans_t *plans,
    allowances_t *allowances, time_us_t now);

/*
 * Reserves tokens. first is true for the first try of a request, so that a
 * request that waits and retries counts as demand only once.
 */
limiter_result_t limiter_reserve(
    limiter_t *a, const char *team, int64_t tokens, bool first, time_us_t now);

/* Settles a reservation: unused tokens go back to the bucket. */
void limiter_settle(limiter_t *a, const char *team, reservation_t *reservation,
    int64_t used, time_us_t now);

/*
 * Decides whether to request a loan from a peer now and fills the request.
 * When it returns true, the request counts as sent and the caller passes the
 * reply to limiter_on_grant().
 */
bool limiter_wants_loan(limiter_t *a, const char *team, time_us_t now,
    outgoing_loan_request_t *outgoing);

/* Answers a loan request. grant->loan_id is 0 when there is no spare share. */
void limiter_lend(limiter_t *a, const loan_request_t *request, time_us_t now,
    loan_grant_t *grant);

/* Handles the reply to a loan request. */
void limiter_on_grant(limiter_t *a, const loan_grant_t *grant, time_us_t now);

/*
 * Returns one borrowed loan that the team no longer needs, if there is one.
 * lender, which may be NULL, names a peer that needs its share itself: its loan
 * is returned even if it is still in use here. Returns whether message was
 * filled.
 */
bool limiter_return(limiter_t *a, const char *team, const char *lender,
    time_us_t now, loan_return_t *message);

/* Handles a RETURN message. */
void limiter_on_return(
    limiter_t *a, const loan_return_t *message, time_us_t now);

/*
 * Ends expired loans and drops entries of idle teams. Called about once a
 * second. Cost: O(active teams).
 */
void limiter_sweep(limiter_t *a, time_us_t now);

/*
 * Shares of a team at this instance: in use, lent, and borrowed. The share in
 * use includes the borrowed one.
 */
share_t limiter_in_use(limiter_t *a, const char *team, time_us_t now);
share_t limiter_lent(limiter_t *a, const char *team, time_us_t now);
share_t limiter_borrowed(limiter_t *a, const char *team, time_us_t now);

/* Smoothed demand of a team at this instance, in tokens a second. */
double limiter_demand(limiter_t *a, const char *team, time_us_t now);

size_t limiter_n_teams(const limiter_t *a);

/* Calls visit for each active team. visit must not add or drop teams. */
void limiter_each(
    limiter_t *a, void (*visit)(const char *team, void *data), void *data);

#endif
