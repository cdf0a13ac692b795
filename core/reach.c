#include "core/reach.h"

#include <glib.h>

/* Drops failures that are too old, or of this target. */
static void
failures_prune(reach_t *reach, uint32_t target, time_us_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < reach->n_failures; i++) {
		const reach_failure_t *failure = &reach->failures[i];

		if (failure->target != target &&
		    now - failure->at < REACH_WINDOW_US)
			reach->failures[kept++] = *failure;
	}
	reach->n_failures = kept;
}

bool
reach_note_connected(reach_t *reach, time_us_t now)
{
	bool was_lost = reach->lost;

	reach->n_failures = 0;
	reach->lost = false;
	reach->connected_at = now;
	return was_lost;
}

bool
reach_note_failed(
    reach_t *reach, uint32_t target, size_t n_targets, time_us_t now)
{
	size_t needed = MIN(REACH_FAILURES, MAX(n_targets, 1));

	if (reach->lost)
		return false;
	failures_prune(reach, target, now);
	reach->failures[reach->n_failures++] = (reach_failure_t){target, now};
	if (reach->n_failures < needed)
		return false;
	reach->lost = true;
	reach->lost_at = now;
	reach->n_failures = 0;
	return true;
}

bool
reach_is_lost(const reach_t *reach)
{
	return reach->lost;
}

static bool
is_suspected(const reach_t *reach, bool silent, time_us_t now)
{
	if (reach->n_failures > 0 &&
	    now - reach->failures[reach->n_failures - 1].at < REACH_WINDOW_US)
		return true;
	return silent && (reach->connected_at == 0 ||
			     now - reach->connected_at >= REACH_ANSWERED_US);
}

bool
reach_take_probe(reach_t *reach, bool silent, time_us_t now)
{
	time_us_t interval =
	    reach->lost ? REACH_LOST_INTERVAL_US : REACH_SUSPECT_INTERVAL_US;

	if (!reach->lost && !is_suspected(reach, silent, now))
		return false;
	if (now - reach->probed_at < interval)
		return false;
	reach->probed_at = now;
	return true;
}
