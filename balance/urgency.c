#include "balance/urgency.h"

#include <glib.h>
#include <math.h>

/*
 * A team's priority takes this many classes: urgent routes and the others.
 */
#define CLASSES_PER_TEAM_PRIORITY 2

int
urgency_class(int team_priority, int route_priority)
{
	int class = route_priority;

	if (team_priority >= 0)
		class = CLASSES_PER_TEAM_PRIORITY * team_priority +
			MIN(route_priority, CLASSES_PER_TEAM_PRIORITY - 1);
	return CLAMP(class, 0, URGENCY_CLASSES - 1);
}

void
urgency_note(urgency_t *urgency, int class, time_us_t now)
{
	double decay =
	    exp(-(double)MAX(0, now - urgency->updated_at) / URGENCY_TAU_US);

	for (int i = 0; i < URGENCY_CLASSES; i++)
		urgency->n[i] *= decay;
	urgency->n[CLAMP(class, 0, URGENCY_CLASSES - 1)] += 1;
	urgency->updated_at = now;
}

double
urgency_reserve(const urgency_t *urgency, int class)
{
	double more_urgent = 0;
	double all = 0;

	for (int i = 0; i < URGENCY_CLASSES; i++) {
		all += urgency->n[i];
		if (i < class)
			more_urgent += urgency->n[i];
	}
	return all > 0 ? MIN(URGENCY_RESERVE_MAX, more_urgent / all) : 0;
}
