#include <string.h>

#include "core/membership_private.h"
#include "core/membership_progress.h"

bool
membership_progressed(
    const membership_t *m, uint64_t progress[MEMBERSHIP_PROGRESS])
{
	bool changed = memcmp(progress, m->acked, sizeof(m->acked)) != 0 ||
	    memcmp(progress + LIST_COUNT, m->agreed, sizeof(m->agreed)) != 0;

	memcpy(progress, m->acked, sizeof(m->acked));
	memcpy(progress + LIST_COUNT, m->agreed, sizeof(m->agreed));
	return changed;
}
