#ifndef CORE_HANDLE_H
#define CORE_HANDLE_H

#include <stdint.h>

/*
 * Identifies a table entry by index and generation. The handle of a freed entry
 * is detected as stale even after its index is reused. The generation of an
 * entry in use is never 0, so 0 is never a valid handle.
 */
typedef uint64_t handle_t;

#define HANDLE_NONE ((handle_t)0)

static inline handle_t
handle_make(uint32_t index, uint32_t generation)
{
	return (handle_t)generation << 32 | index;
}

static inline uint32_t
handle_index(handle_t handle)
{
	return (uint32_t)handle;
}

static inline uint32_t
handle_generation(handle_t handle)
{
	return (uint32_t)(handle >> 32);
}

/* Returns the next generation, skipping 0. */
static inline uint32_t
generation_next(uint32_t generation)
{
	return generation == UINT32_MAX ? 1 : generation + 1;
}

#endif
