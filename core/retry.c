#include "core/retry.h"

#include <glib.h>

#include "core/poison.h"

/* Time in which the floor credits 1/1000 retry. */
#define FLOOR_STEP_US (RETRY_FLOOR_US / RETRY_COST)

void
retry_budget_init(retry_budget_t *budget, time_us_t now)
{
	budget->balance = RETRY_COST;
	budget->floor_at = now;
	budget->part = RETRY_PART;
	budget->most = RETRY_MOST;
}

void
retry_budget_set_limits(retry_budget_t *budget, int64_t part, int64_t most)
{
	budget->part = part;
	budget->most = most;
	budget->balance = MIN(budget->balance, most * RETRY_COST);
}

void
retry_budget_fill(retry_budget_t *budget)
{
	budget->balance = budget->most * RETRY_COST;
}

void
retry_first_try(retry_budget_t *budget)
{
	budget->balance =
	    MIN(budget->balance + budget->part, budget->most * RETRY_COST);
	/* The floor must not add to the credit of first attempts. */
	budget->floor_at += budget->part * FLOOR_STEP_US;
}

/* Credits the floor, which never raises the balance above one retry. */
static void
budget_refill(retry_budget_t *budget, time_us_t now)
{
	int64_t credit = (now - budget->floor_at) / FLOOR_STEP_US;

	if (budget->balance >= RETRY_COST || budget->floor_at > now) {
		budget->floor_at = now;
		return;
	}
	budget->balance = MIN(budget->balance + credit, RETRY_COST);
	budget->floor_at += credit * FLOOR_STEP_US;
}

static retry_reason_t
facts_judge(const retry_facts_t *facts, time_us_t now)
{
	bool closed =
	    facts->loss == RETRY_LOSS_CLOSED && facts->bytes_to_target > 0;

	if (!facts->idempotent)
		return RETRY_NOT_IDEMPOTENT;
	if (facts->tries >=
	    (facts->max_tries > 0 ? facts->max_tries : RETRY_TRIES))
		return RETRY_TRIES_USED;
	if (closed && facts->targets_lost == 0)
		return RETRY_LOSS_UNRECORDED;
	if (facts->targets_lost >= POISON_LIMIT)
		return RETRY_POISON;
	if (facts->bytes_to_caller > 0 && !facts->resumable)
		return RETRY_ANSWER_STARTED;
	if (now + RETRY_TIME_LEFT_US > facts->deadline)
		return RETRY_DEADLINE;
	return facts->bytes_to_caller > 0 ? RETRY_RESUME : RETRY_GRANTED;
}

retry_reason_t
retry_decide(retry_budget_t *budget, const retry_facts_t *facts, time_us_t now)
{
	retry_reason_t reason = facts_judge(facts, now);

	if (reason != RETRY_GRANTED && reason != RETRY_RESUME)
		return reason;
	budget_refill(budget, now);
	if (budget->balance < RETRY_COST)
		return RETRY_BUDGET_EMPTY;
	budget->balance -= RETRY_COST;
	return reason;
}

const char *
retry_reason_name(retry_reason_t reason)
{
	static const char *const names[RETRY_REASON_COUNT] = {
	    [RETRY_GRANTED] = "granted",
	    [RETRY_RESUME] = "resumed",
	    [RETRY_NOT_IDEMPOTENT] = "not_idempotent",
	    [RETRY_TRIES_USED] = "tries_used",
	    [RETRY_LOSS_UNRECORDED] = "loss_unrecorded",
	    [RETRY_POISON] = "poison_request",
	    [RETRY_ANSWER_STARTED] = "answer_started",
	    [RETRY_DEADLINE] = "deadline",
	    [RETRY_BUDGET_EMPTY] = "budget_empty",
	};

	return names[reason];
}
