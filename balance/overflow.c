#include "balance/overflow.h"

#include <glib.h>

void
overflow_note_report(overflow_share_t *share, uint32_t room, bool engine,
    uint32_t n_instances, uint64_t random)
{
	uint32_t n = engine ? MAX(1u, n_instances) : 1;

	share->left = room / n + (random % n < room % n);
}

size_t
overflow_pick(const overflow_share_t *shares, size_t n, uint64_t random)
{
	uint64_t sum = 0;
	uint64_t at;

	for (size_t i = 0; i < n; i++)
		sum += shares[i].left;
	if (sum == 0)
		return OVERFLOW_NONE;
	at = random % sum;
	for (size_t i = 0; i < n; i++) {
		if (at < shares[i].left)
			return i;
		at -= shares[i].left;
	}
	return OVERFLOW_NONE;
}

void
overflow_note_sent(overflow_share_t *share)
{
	if (share->left > 0)
		share->left--;
}
