#ifndef CORE_MEMBERSHIP_PROGRESS_H
#define CORE_MEMBERSHIP_PROGRESS_H

#include "core/membership.h"

#define MEMBERSHIP_PROGRESS (2 * LIST_COUNT)

/*
 * Tells whether the versions that this instance has acknowledged or knows to be
 * agreed differ from those in progress, and stores them there. The others wait
 * for them, so a change is worth a heartbeat at once.
 */
bool membership_progressed(
    const membership_t *m, uint64_t progress[MEMBERSHIP_PROGRESS]);

#endif
