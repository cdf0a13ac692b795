#include "core/source.h"

answer_verdict_t
sources_judge(sources_t *sources, int64_t era, bool relayed, time_us_t now)
{
	/* Instances of versions without eras mix them. */
	if (era == 0)
		return relayed && sources->era != 0 ? ANSWER_OLDER
						    : ANSWER_CURRENT;
	if (era == sources->era) {
		sources->older_since = 0;
		return ANSWER_CURRENT;
	}
	if (era < sources->era) {
		if (relayed)
			return ANSWER_OLDER;
		if (sources->older_since == 0)
			sources->older_since = now;
		if (now - sources->older_since < SOURCE_ERA_FALL_US)
			return ANSWER_OLDER;
	}
	sources->older_since = 0;
	return ANSWER_NEW_ERA;
}

void
sources_leave(sources_t *sources, uint64_t relay, time_us_t now)
{
	int slot = 0;

	for (int i = 1; i < SOURCE_LEFT_LIMIT; i++) {
		if (sources->left[i].until < sources->left[slot].until)
			slot = i;
	}
	sources->left[slot].relay = relay;
	sources->left[slot].until = now + SOURCE_RELAY_PAUSE_US;
}

bool
sources_may_read(const sources_t *sources, uint64_t relay, time_us_t now)
{
	for (int i = 0; i < SOURCE_LEFT_LIMIT; i++) {
		if (sources->left[i].relay == relay &&
		    now < sources->left[i].until)
			return false;
	}
	return true;
}
