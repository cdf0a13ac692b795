#include "core/lag.h"

#include <glib.h>

time_us_t
lag_note(lag_t *lag, revision_t own, revision_t reported, time_us_t now)
{
	if (revision_compare(reported, own) > 0)
		lag->reported_at = now;
	else if (now - lag->reported_at > LAG_REPORT_MAX_AGE_US)
		lag->newest = (revision_t){0};
	if (revision_compare(reported, lag->newest) > 0)
		lag->newest = reported;
	if (revision_compare(own, lag->newest) >= 0) {
		lag->since = 0;
		return 0;
	}
	/*
	 * With frequent changes an instance that keeps up always lacks the
	 * newest one, but never the same one for long.
	 */
	if (lag->since == 0 || revision_compare(own, lag->wanted) >= 0) {
		lag->wanted = lag->newest;
		lag->since = now;
	}
	return now - lag->since;
}

time_us_t
lag_time(const lag_t *lag, time_us_t now)
{
	return lag->since == 0 ? 0 : now - lag->since;
}

void
lag_restart(lag_t *lag, time_us_t now)
{
	if (lag->since != 0)
		lag->since = now;
}
