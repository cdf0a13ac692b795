#include "core/rollout.h"

#include <glib.h>

bool
rollout_is_behind(const rollout_t *rollout, time_us_t now)
{
	return *rollout->wanted != '\0' &&
	       now - rollout->reported_at <= ROLLOUT_REPORT_MAX_AGE_US;
}

/*
 * The holder's own entry, else an unused one, else the one that was reported
 * least recently.
 */
static rollout_holder_t *
holder_slot(rollout_t *rollout, uint32_t ip)
{
	rollout_holder_t *slot = NULL;

	for (size_t i = 0; i < ROLLOUT_HOLDERS; i++) {
		rollout_holder_t *holder = &rollout->holders[i];

		if (holder->ip == ip)
			return holder;
		if (slot == NULL ||
		    (slot->ip != 0 &&
			(holder->ip == 0 ||
			    holder->reported_at < slot->reported_at)))
			slot = holder;
	}
	return slot;
}

static void
holder_note(rollout_t *rollout, const rollout_report_t *report, time_us_t now)
{
	rollout_holder_t *holder = holder_slot(rollout, report->ip);

	if (holder->ip != report->ip)
		*holder = (rollout_holder_t){.ip = report->ip};
	holder->place = report->place;
	g_strlcpy(holder->version, report->version, sizeof(holder->version));
	holder->reported_at = now;
}

void
rollout_note(rollout_t *rollout, const char *own,
    const rollout_report_t *report, time_us_t now)
{
	if (version_compare(report->version, own) <= 0)
		return;
	/*
	 * With frequent changes an instance always lacks the newest version,
	 * but never the same one for long.
	 */
	if (!rollout_is_behind(rollout, now) ||
	    version_compare(own, rollout->wanted) >= 0) {
		g_strlcpy(
		    rollout->wanted, report->version, sizeof(rollout->wanted));
		rollout->wanted_since = now;
	}
	rollout->reported_at = now;
	holder_note(rollout, report, now);
}

time_us_t
rollout_note_own(rollout_t *rollout, const char *own, time_us_t now)
{
	time_us_t lag = rollout_lag(rollout, now);

	if (!rollout_is_behind(rollout, now) ||
	    version_compare(own, rollout->wanted) < 0)
		return -1;
	*rollout->wanted = '\0';
	return lag;
}

time_us_t
rollout_lag(const rollout_t *rollout, time_us_t now)
{
	return rollout_is_behind(rollout, now) ? now - rollout->wanted_since
					       : 0;
}

static bool
holder_is_usable(const rollout_holder_t *holder, const char *own, time_us_t now)
{
	return holder->ip != 0 && now >= holder->avoided_until &&
	       now - holder->reported_at <= ROLLOUT_REPORT_MAX_AGE_US &&
	       version_compare(holder->version, own) > 0;
}

/* Negative if a is to be asked rather than b: it is nearer, or has a later
 * version. */
static int
holder_compare(const rollout_holder_t *a, const rollout_holder_t *b)
{
	if (a->place != b->place)
		return a->place < b->place ? -1 : 1;
	return version_compare(b->version, a->version);
}

uint32_t
rollout_pick(const rollout_t *rollout, const char *own, bool far,
    uint32_t except, uint64_t random, time_us_t now)
{
	const rollout_holder_t *best[ROLLOUT_HOLDERS];
	size_t n = 0;

	far = far || rollout_lag(rollout, now) >= ROLLOUT_FAR_US;
	for (size_t i = 0; i < ROLLOUT_HOLDERS; i++) {
		const rollout_holder_t *holder = &rollout->holders[i];
		int order;

		if (!holder_is_usable(holder, own, now) ||
		    holder->ip == except ||
		    (holder->place == MEMBER_OTHER_REGION && !far))
			continue;
		order = n == 0 ? -1 : holder_compare(holder, best[0]);
		if (order < 0)
			n = 0;
		if (order <= 0)
			best[n++] = holder;
	}
	return n == 0 ? 0 : best[random % n]->ip;
}

void
rollout_note_failed(rollout_t *rollout, uint32_t ip, bool busy, time_us_t now)
{
	for (size_t i = 0; i < ROLLOUT_HOLDERS; i++) {
		if (rollout->holders[i].ip == ip)
			rollout->holders[i].avoided_until =
			    now + (busy ? ROLLOUT_BUSY_US : ROLLOUT_FAILED_US);
	}
}

time_us_t
rollout_wait_end(const rollout_t *rollout, time_us_t arrived_at,
    time_us_t time_left, time_us_t now)
{
	if (!rollout_is_behind(rollout, now))
		return 0;
	return arrived_at +
	       (time_left < 0
		       ? ROLLOUT_WAIT_US
		       : MIN(ROLLOUT_WAIT_US, time_left / ROLLOUT_WAIT_SHARE));
}
