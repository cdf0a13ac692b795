#include "balance/urgency.h"

#include <glib.h>
#include <math.h>

/*
 * A team's priority takes this many classes: urgent routes and the others.
 */
#define CLASSES_PER_TEAM_PRIORITY 2

/* Prompt tokens that an engine reads in the time of an output token. */
#define OUTPUT_TOKEN_WORK 10.0

/* With a larger reserve than this, no request waits at a target. */
#define WAITING_RESERVE_MAX (URGENCY_RESERVE_MAX / 2)

int
urgency_class(int team_priority, int route_priority)
{
	int class = route_priority;

	if (team_priority >= 0)
		class = CLASSES_PER_TEAM_PRIORITY * team_priority +
			MIN(route_priority, CLASSES_PER_TEAM_PRIORITY - 1);
	return CLAMP(class, 0, URGENCY_CLASSES - 1);
}

double
urgency_work(uint32_t tokens_in, uint32_t tokens_out)
{
	return MAX(1.0, tokens_in + OUTPUT_TOKEN_WORK * tokens_out);
}

void
urgency_note(urgency_t *urgency, int class, double work, time_us_t now)
{
	double decay =
	    exp(-(double)MAX(0, now - urgency->updated_at) / URGENCY_TAU_US);

	for (int i = 0; i < URGENCY_CLASSES; i++)
		urgency->work[i] *= decay;
	urgency->work[CLAMP(class, 0, URGENCY_CLASSES - 1)] += work;
	urgency->updated_at = now;
}

double
urgency_reserve(const urgency_t *urgency, int class)
{
	double more_urgent = 0;
	double all = 0;

	for (int i = 0; i < URGENCY_CLASSES; i++) {
		all += urgency->work[i];
		if (i < class)
			more_urgent += urgency->work[i];
	}
	return all > 0 ? MIN(URGENCY_RESERVE_MAX, more_urgent / all) : 0;
}

double
urgency_wait_limit_ms(double reserve, double usual_ms, int64_t objective_ms)
{
	if (reserve >= WAITING_RESERVE_MAX)
		return usual_ms;
	return MAX(usual_ms, (double)objective_ms / 2);
}
