#ifndef CORE_ALLOTMENT_H
#define CORE_ALLOTMENT_H

#include "core/bucket.h"
#include "core/loan.h"
#include "core/membership.h"

/*
 * What an instance may admit for each team: its own share less what it has
 * lent, plus what it has borrowed, with a bucket and a demand estimate for each
 * active team. Tokens are whole tokens here, rates and bursts come from the
 * lists that the membership has adopted.
 */
typedef struct allotment allotment_t;

/* Time constant of the demand estimate. */
#define DEMAND_TAU_US (5 * US_PER_S)
/* Least time between two asks of a team that brought nothing. */
#define LOAN_RETRY_US (250 * US_PER_MS)
/* An ask without an answer is given up after this long (peer timeout). */
#define LOAN_TIMEOUT_US US_PER_S
/* A borrowed loan is renewed when less than this is left of it. */
#define LOAN_RENEW_US (4 * US_PER_S)
/* A team without requests for this long may lose its entry. */
#define ALLOTMENT_IDLE_US (2 * LOAN_US)

typedef enum {
	ALLOTMENT_ADMITTED,
	ALLOTMENT_WAIT,	 /* short of tokens now; see ready_at, needs_loan */
	ALLOTMENT_NEVER, /* costs more than the burst, or unknown team */
} allotment_verdict_t;

typedef struct {
	allotment_verdict_t verdict;
	reservation_t reservation; /* ALLOTMENT_ADMITTED */
	/* ALLOTMENT_ADMITTED: the bucket was low before, see bucket_is_low() */
	bool above_rate;
	/* ALLOTMENT_WAIT: earliest time at which a retry can succeed, without a
	 * loan if the instance's own share ever suffices. */
	time_us_t ready_at;
	bool needs_loan; /* ALLOTMENT_WAIT: a loan can make it earlier */
} allotment_result_t;

/*
 * What to ask of a peer next. lender is the peer whose loan is renewed or that
 * has borrowed from here, or empty: any other peer of a zone with a part of the
 * team, each in turn.
 */
typedef struct {
	char lender[NAME_LIMIT + 1];
	loan_request_t request;
} loan_ask_t;

/* Borrows the membership and becomes its source of the lent share. */
allotment_t *allotment_create(
    membership_t *m, const char *name, incarnation_t incarnation);
void allotment_destroy(allotment_t *a);

/* Calls membership_adopt() and applies the new shares to all buckets. */
void allotment_adopt(allotment_t *a, fleet_t *fleet, plans_t *plans,
    allowances_t *allowances, time_us_t now);

/*
 * Reserves tokens. first is true for the first try of a request, so that a
 * request that waits counts once as demand.
 */
allotment_result_t allotment_reserve(allotment_t *a, const char *team,
    int64_t tokens, bool first, time_us_t now);

/* Ends a reservation with the tokens that were used. */
void allotment_settle(allotment_t *a, const char *team,
    reservation_t *reservation, int64_t used, time_us_t now);

/*
 * Tells whether to ask a peer for a loan now, and what for. A true result
 * counts as asked: answer it with allotment_on_grant().
 */
bool allotment_wants_loan(
    allotment_t *a, const char *team, time_us_t now, loan_ask_t *ask);

/* Answers a request. grant->loan_id is 0 when nothing is spare. */
void allotment_lend(allotment_t *a, const loan_request_t *request,
    time_us_t now, loan_grant_t *grant);

/* Takes the answer to a request. */
void allotment_on_grant(
    allotment_t *a, const loan_grant_t *grant, time_us_t now);

/*
 * Gives back one borrowed loan that the team no longer needs, if there is one.
 * A loan of the named lender goes back also when only that lender's demand asks
 * for it; NULL: none. Returns whether message was filled.
 */
bool allotment_return(allotment_t *a, const char *team, const char *lender,
    time_us_t now, loan_return_t *message);

/* Takes a RETURN. */
void allotment_on_return(
    allotment_t *a, const loan_return_t *message, time_us_t now);

/*
 * Applies ended loans and drops entries of idle teams; about once a second.
 * Cost: O(active teams).
 */
void allotment_sweep(allotment_t *a, time_us_t now);

/* The shares of a team in use here, lent, and borrowed (part of in use). */
share_t allotment_in_use(allotment_t *a, const char *team, time_us_t now);
share_t allotment_lent(allotment_t *a, const char *team, time_us_t now);
share_t allotment_borrowed(allotment_t *a, const char *team, time_us_t now);

/* Smoothed demand of a team here, in tokens a second. */
double allotment_demand(allotment_t *a, const char *team, time_us_t now);

size_t allotment_n_teams(const allotment_t *a);

/* Calls visit for each active team. It must not add or drop teams. */
void allotment_each(
    allotment_t *a, void (*visit)(const char *team, void *data), void *data);

#endif
