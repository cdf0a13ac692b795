#ifndef CORE_MEMORY_H
#define CORE_MEMORY_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Memory that others make this instance hold: a pool with a limit, and claims
 * on it that grow and shrink.
 *
 * Load pattern: thousands of small holders at a time, and a few that a faulty
 * sender lets grow at the speed of its link until they are cut. The first bytes
 * of a holder need no claim, so that the large ones can't take the room of the
 * small ones.
 */

/* Bytes that a holder may have without a claim. */
#define MEMORY_UNCLAIMED_BYTES 16384

typedef struct {
	size_t limit;
	size_t claimed; /* over all claims */
} memory_pool_t;

/* One holder's part of the pool. Initialized with zeros. */
typedef struct {
	size_t bytes;
} memory_claim_t;

/*
 * Changes a claim to what its holder needs for held bytes. Returns false if the
 * pool lacks the room; the claim stays as it was. Shrinking never fails.
 */
bool memory_claim(memory_pool_t *pool, memory_claim_t *claim, size_t held);

/* Returns whether the pool has room for this many bytes more. */
bool memory_has_room(const memory_pool_t *pool, size_t bytes);

void memory_release(memory_pool_t *pool, memory_claim_t *claim);

#endif
