#include "core/retry.h"

#include <glib.h>

#include "core/poison.h"

/* Time in which the floor credits 1/1000 retry. */
#define FLOOR_STEP_US (RETRY_FLOOR_US / RETRY_COST)

void
retry_budget_init(retry_budget_t *budget, time_us_t now)
{
	budget->balance = RETRY_COST;
	budget->floor_credited_at = now;
	budget->credit = RETRY_CREDIT;
	budget->max_saved = RETRY_SAVED_LIMIT;
}

void
retry_budget_set_limits(
    retry_budget_t *budget, int64_t credit, int64_t max_saved)
{
	budget->credit = credit;
	budget->max_saved = max_saved;
	budget->balance = MIN(budget->balance, max_saved * RETRY_COST);
}

void
retry_budget_fill(retry_budget_t *budget)
{
	budget->balance = budget->max_saved * RETRY_COST;
}

void
retry_first_attempt(retry_budget_t *budget)
{
	budget->balance = MIN(
	    budget->balance + budget->credit, budget->max_saved * RETRY_COST);
	/* The floor must not add to the credit of first attempts. */
	budget->floor_credited_at += budget->credit * FLOOR_STEP_US;
}

/* Credits the floor, which never raises the balance above one retry. */
static void
budget_credit_floor(retry_budget_t *budget, time_us_t now)
{
	int64_t floor_credit =
	    (now - budget->floor_credited_at) / FLOOR_STEP_US;

	if (budget->balance >= RETRY_COST || budget->floor_credited_at > now) {
		budget->floor_credited_at = now;
		return;
	}
	budget->balance = MIN(budget->balance + floor_credit, RETRY_COST);
	budget->floor_credited_at += floor_credit * FLOOR_STEP_US;
}

static retry_reason_t
facts_check(const retry_facts_t *facts, time_us_t now)
{
	bool closed =
	    facts->loss == RETRY_LOSS_CLOSED && facts->bytes_to_target > 0;

	if (!facts->idempotent)
		return RETRY_NOT_IDEMPOTENT;
	if (facts->attempts >= (facts->max_attempts > 0 ? facts->max_attempts
							: RETRY_MAX_ATTEMPTS))
		return RETRY_ATTEMPTS_USED;
	if (closed && facts->targets_lost == 0)
		return RETRY_LOSS_UNRECORDED;
	if (facts->targets_lost >= POISON_LIMIT)
		return RETRY_POISON;
	if (facts->bytes_to_caller > 0 && !facts->resumable)
		return RETRY_ANSWER_STARTED;
	if (now + RETRY_MIN_TIME_LEFT_US > facts->deadline)
		return RETRY_DEADLINE;
	return facts->bytes_to_caller > 0 ? RETRY_RESUME : RETRY_GRANTED;
}

retry_reason_t
retry_decide(retry_budget_t *budget, const retry_facts_t *facts, time_us_t now)
{
	retry_reason_t reason = facts_check(facts, now);

	if (reason != RETRY_GRANTED && reason != RETRY_RESUME)
		return reason;
	budget_credit_floor(budget, now);
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
	    [RETRY_ATTEMPTS_USED] = "tries_used",
	    [RETRY_LOSS_UNRECORDED] = "loss_unrecorded",
	    [RETRY_POISON] = "poison_request",
	    [RETRY_ANSWER_STARTED] = "answer_started",
	    [RETRY_DEADLINE] = "deadline",
	    [RETRY_BUDGET_EMPTY] = "budget_empty",
	};

	return names[reason];
}
