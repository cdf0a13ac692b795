#include "core/memory.h"

bool
memory_has_room(const memory_pool_t *pool, size_t bytes)
{
	return pool->claimed <= pool->limit &&
	       bytes <= pool->limit - pool->claimed;
}

bool
memory_claim(memory_pool_t *pool, memory_claim_t *claim, size_t held)
{
	size_t bytes =
	    held > MEMORY_UNCLAIMED_BYTES ? held - MEMORY_UNCLAIMED_BYTES : 0;
	size_t others = pool->claimed - claim->bytes;

	if (bytes > claim->bytes &&
	    (others > pool->limit || bytes > pool->limit - others))
		return false;
	pool->claimed = others + bytes;
	claim->bytes = bytes;
	return true;
}

void
memory_release(memory_pool_t *pool, memory_claim_t *claim)
{
	memory_claim(pool, claim, 0);
}
