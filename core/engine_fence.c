#include "core/engine_private.h"

/* engine.h explains why these numbers increase from owner to owner. */
uint64_t
engine_next_fence(const engines_t *engines, const engine_target_t *t)
{
	uint64_t start = (uint64_t)engines->process_start_s %
			 ((uint64_t)1 << FENCE_VERSION_SHIFT);
	uint64_t reported = t->state.fence;
	uint64_t version = t->owned_version;

	if (engines->faults.constant_fence)
		return 1;
	if (t->last_fence != 0)
		return MAX(t->last_fence, reported) + 1;
	if (reported >> FENCE_VERSION_SHIFT > version)
		version += reported >> FENCE_VERSION_SHIFT;
	return MAX(version << FENCE_VERSION_SHIFT | start, reported + 1);
}
