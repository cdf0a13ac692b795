#ifndef CORE_REVISION_H
#define CORE_REVISION_H

#include <stdint.h>

/*
 * Position in the publisher's history. The store counts revisions anew from a
 * lower one when it comes back from an older copy, and raises its era.
 */
typedef struct {
	int64_t era; /* 0: unknown, or what is counted has no eras */
	int64_t number;
} revision_t;

/* Negative, 0 or positive like strcmp(3): a is before, equal to or after b. */
static inline int
revision_compare(revision_t a, revision_t b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.number > b.number) - (a.number < b.number);
}

#endif
