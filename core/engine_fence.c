#include "core/engine_private.h"

/* engine.h explains why these numbers increase from owner to owner. */
uint64_t
engine_next_fence(const engines_t *engines, const engine_target_t *t)
{
	uint64_t start =
	    (uint64_t)engines->start_s % ((uint64_t)1 << FENCE_VERSION_SHIFT);
	uint64_t seen = t->state.fence;
	uint64_t version = t->owned_version;

	if (engines->faults.constant_fence)
		return 1;
	if (t->fence_last != 0)
		return MAX(t->fence_last, seen) + 1;
	if (seen >> FENCE_VERSION_SHIFT > version)
		version += seen >> FENCE_VERSION_SHIFT;
	return MAX(version << FENCE_VERSION_SHIFT | start, seen + 1);
}
