#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <stdbool.h>

#include "core/types.h"

/*
 * Decides whether a request that lost its target is sent to another one.
 * Retries and resumed streams share one budget: a tenth of the first attempts,
 * so that a dead target raises the requests sent to targets by at most a tenth.
 */

/* Credit that each first attempt adds, in 1/1000 retries. */
#define RETRY_CREDIT 100
#define RETRY_COST 1000
/* Maximum number of retries saved up. */
#define RETRY_SAVED_LIMIT 20
/*
 * With less than one first attempt a second, one retry is credited in this
 * time, so that an instance with little traffic doesn't run out of budget.
 * Retries can exceed a tenth only by this, by the one retry that a new budget
 * holds, and after retry_budget_fill() or retry_budget_set_limits().
 */
#define RETRY_FLOOR_US (10 * US_PER_S)
/* Attempts of one request, the first one included. */
#define RETRY_MAX_ATTEMPTS 2
/* A retry with less time before the deadline is not started. */
#define RETRY_MIN_TIME_LEFT_US (50 * US_PER_MS)

typedef struct {
	int64_t balance;	     /* 1/1000 retries */
	time_us_t floor_credited_at; /* floor is credited up to here */
	int64_t credit;		     /* 1/1000 retries for each first attempt */
	int64_t max_saved;	     /* maximum retries saved up */
} retry_budget_t;

/* How the target was lost. */
typedef enum {
	RETRY_LOSS_CONNECT, /* no connection, or refused */
	RETRY_LOSS_CLOSED,  /* closed before the response was complete */
	RETRY_LOSS_TIMEOUT, /* no response in time */
} retry_loss_t;

typedef struct {
	retry_loss_t loss;
	bool idempotent; /* false for orders: they are never retried */
	bool resumable;	 /* the engine can resume after a given token */
	uint64_t bytes_to_target; /* request bytes written */
	uint64_t bytes_to_caller; /* response bytes already delivered */
	unsigned attempts;	  /* so far, the first one included */
	unsigned max_attempts;	  /* 0: RETRY_MAX_ATTEMPTS */
	time_us_t deadline;
	/*
	 * Result of poison_record_loss for this loss, or 0 when it was not
	 * recorded. A target that closed the connection after bytes were
	 * written must be recorded first; otherwise a poison request would be
	 * retried.
	 */
	uint32_t targets_lost;
} retry_facts_t;

typedef enum {
	RETRY_GRANTED,
	RETRY_RESUME, /* resume after the last delivered token */
	RETRY_NOT_IDEMPOTENT,
	RETRY_ATTEMPTS_USED,
	RETRY_LOSS_UNRECORDED, /* poison_record_loss was not called */
	RETRY_POISON,
	RETRY_ANSWER_STARTED,
	RETRY_DEADLINE,
	RETRY_BUDGET_EMPTY,
	RETRY_REASON_COUNT
} retry_reason_t;

/* A new budget allows one retry, and has RETRY_CREDIT and RETRY_SAVED_LIMIT. */
void retry_budget_init(retry_budget_t *budget, time_us_t now);

/*
 * credit: 1/1000 retries for each first attempt. max_saved: maximum balance, in
 * whole retries.
 */
void retry_budget_set_limits(
    retry_budget_t *budget, int64_t credit, int64_t max_saved);

/* Fills the budget up to its maximum, when a process starts. */
void retry_budget_fill(retry_budget_t *budget);

/* Adds the credit of a request's first attempt. */
void retry_first_attempt(retry_budget_t *budget);

/*
 * Decides and, for RETRY_GRANTED and RETRY_RESUME, charges the retry to the
 * budget. All other results mean that the request is not sent again.
 */
retry_reason_t retry_decide(
    retry_budget_t *budget, const retry_facts_t *facts, time_us_t now);

/* Returns the name of the reason, which is also its metric label. */
const char *retry_reason_name(retry_reason_t reason);

#endif
