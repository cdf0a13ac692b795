#ifndef CORE_DIRECTORY_H
#define CORE_DIRECTORY_H

#include <stddef.h>

#include "core/snapshot.h"

/*
 * Which instances a caller should use, in order. The index is built once for
 * each pair of lists, is immutable and keeps references to both.
 */

typedef enum {
	DIRECTORY_READY,
	DIRECTORY_NOT_READY, /* answers, but readyz is 503 */
	DIRECTORY_UNREACHABLE,
	DIRECTORY_LEAVING /* draining: never named */
} directory_state_t;

/* Returns what the caller of directory_order knows about an instance. */
typedef directory_state_t (*directory_state_of_t)(
    const instance_t *instance, void *context);

typedef struct {
	const char *team;
	const char *home;     /* region of the team, or NULL */
	char *const *regions; /* NULL-terminated that its plan allows; NULL: all
			       */
	const char *asked;    /* region that the caller prefers, or NULL */
	directory_state_of_t state_of; /* NULL: all are ready */
	void *context;
} directory_query_t;

typedef struct directory directory_t;

directory_t *directory_create(fleet_t *fleet, allowances_t *allowances);
void directory_destroy(directory_t *directory);

/*
 * Writes at most limit instances to out, best first, and returns how many. They
 * belong to the fleet list. Only instances of the home region are named for a
 * team with a home, else only those of the allowed regions; leaving ones never.
 *
 * Order: ready, not ready, unreachable; within these the asked-for region first
 * and the others in an order that is fixed for a team; within a region zones,
 * and within a zone instances, by rendezvous hash of the team, zones in
 * proportion to their weight. The callers of a team so meet at the same
 * instance, and teams spread over all.
 */
size_t directory_order(const directory_t *directory,
    const directory_query_t *query, const instance_t **out, size_t limit);

/* Bytes of the index, without the lists. */
size_t directory_bytes(const directory_t *directory);

#endif
