#include "core/lag.h"

#include <glib.h>

time_us_t
lag_note(lag_t *lag, int64_t own, int64_t reported, time_us_t now)
{
	if (reported > own)
		lag->reported_at = now;
	else if (now - lag->reported_at > LAG_REPORT_MAX_AGE_US)
		lag->newest = 0;
	lag->newest = MAX(lag->newest, reported);
	if (own >= lag->newest) {
		lag->since = 0;
		return 0;
	}
	/*
	 * With frequent changes an instance that keeps up always lacks the
	 * newest one, but never the same one for long.
	 */
	if (lag->since == 0 || own >= lag->wanted) {
		lag->wanted = lag->newest;
		lag->since = now;
	}
	return now - lag->since;
}

void
lag_restart(lag_t *lag, time_us_t now)
{
	if (lag->since != 0)
		lag->since = now;
}
