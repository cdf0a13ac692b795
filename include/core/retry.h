#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <stdbool.h>

#include "core/types.h"

/*
 * Decides whether a request that lost its target is sent to another one.
 * Retries and resumed streams draw on one budget: a tenth of the first tries,
 * so that a dead target raises the requests sent to targets by at most a tenth.
 */

/* Part of a retry that each first try adds, in 1/1000. */
#define RETRY_PART 100
#define RETRY_COST 1000
/* Most retries saved up. */
#define RETRY_MOST 20
/*
 * With less than one first try a second, one retry comes back in this time, so
 * that a request now and then is not refused for lack of a budget. Together
 * with the one retry that a new budget holds, it is the only way in which
 * retries can exceed a tenth.
 */
#define RETRY_FLOOR_US (10 * US_PER_S)
/* Tries of one request, the first one included. */
#define RETRY_TRIES 2
/* A retry with less time before the deadline is not started. */
#define RETRY_TIME_LEFT_US (50 * US_PER_MS)

typedef struct {
	int64_t balance;    /* 1/1000 retries */
	time_us_t floor_at; /* up to when the floor was credited */
	int64_t part;	    /* 1/1000 retries for each first try */
	int64_t most;	    /* retries saved up */
} retry_budget_t;

/* How the target was lost. */
typedef enum {
	RETRY_LOSS_CONNECT, /* no connection, or refused */
	RETRY_LOSS_CLOSED,  /* closed before the answer was whole */
	RETRY_LOSS_TIMEOUT, /* the target took too long */
} retry_loss_t;

typedef struct {
	retry_loss_t loss;
	bool idempotent;	  /* false for orders: they are never retried */
	bool resumable;		  /* the engine can go on after a given token */
	uint64_t bytes_to_target; /* request bytes written */
	uint64_t bytes_to_caller; /* answer bytes already delivered */
	unsigned tries;		  /* so far, the first one included */
	unsigned max_tries;	  /* 0: RETRY_TRIES */
	time_us_t deadline;
	/*
	 * Result of poison_lost for this loss, or 0 when it was not recorded.
	 * A target that closed the connection after bytes were written must be
	 * recorded first; otherwise a poison request would be sent on.
	 */
	uint32_t targets_lost;
} retry_facts_t;

typedef enum {
	RETRY_GRANTED,
	RETRY_RESUME, /* go on after the last delivered token */
	RETRY_NOT_IDEMPOTENT,
	RETRY_TRIES_USED,
	RETRY_LOSS_UNRECORDED, /* poison_lost was not called */
	RETRY_POISON,
	RETRY_ANSWER_STARTED,
	RETRY_DEADLINE,
	RETRY_BUDGET_EMPTY,
	RETRY_REASON_COUNT
} retry_reason_t;

/* A new budget allows one retry, and has RETRY_PART and RETRY_MOST. */
void retry_budget_init(retry_budget_t *budget, time_us_t now);

/* Changes what a first try adds, in 1/1000, and how much is saved up. */
void retry_budget_set_limits(
    retry_budget_t *budget, int64_t part, int64_t most);

/* Saves up as much as the limits allow, for a process that starts. */
void retry_budget_fill(retry_budget_t *budget);

/* Counts a request that is sent to a target for the first time. */
void retry_first_try(retry_budget_t *budget);

/*
 * Decides and, for RETRY_GRANTED and RETRY_RESUME, takes the retry from the
 * budget. All other results mean that the request is not sent again.
 */
retry_reason_t retry_decide(
    retry_budget_t *budget, const retry_facts_t *facts, time_us_t now);

/* Returns the reason's name, which is also its counter label. */
const char *retry_reason_name(retry_reason_t reason);

#endif
