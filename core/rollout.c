#include "core/rollout.h"

#include <glib.h>

static bool
is_current(const rollout_t *rollout, time_us_t now)
{
	return *rollout->wanted != '\0' &&
	       now - rollout->reported_at <= ROLLOUT_REPORT_MAX_AGE_US;
}

void
rollout_note(
    rollout_t *rollout, const char *own, const char *version, time_us_t now)
{
	if (version_compare(version, own) <= 0)
		return;
	/*
	 * With frequent changes an instance always lacks the newest version,
	 * but never the same one for long.
	 */
	if (!is_current(rollout, now) ||
	    version_compare(own, rollout->wanted) >= 0) {
		g_strlcpy(rollout->wanted, version, sizeof(rollout->wanted));
		rollout->wanted_since = now;
	}
	rollout->reported_at = now;
}

time_us_t
rollout_note_own(rollout_t *rollout, const char *own, time_us_t now)
{
	time_us_t lag = rollout_lag(rollout, now);

	if (!is_current(rollout, now) ||
	    version_compare(own, rollout->wanted) < 0)
		return -1;
	*rollout->wanted = '\0';
	return lag;
}

time_us_t
rollout_lag(const rollout_t *rollout, time_us_t now)
{
	return is_current(rollout, now) ? now - rollout->wanted_since : 0;
}
