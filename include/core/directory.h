#ifndef CORE_DIRECTORY_H
#define CORE_DIRECTORY_H

#include <stddef.h>

#include "core/snapshot.h"

/*
 * Ranks the instances that a caller should use. The index is immutable, built
 * for one fleet list and one version of the allowances, and holds references to
 * both.
 */

typedef enum {
	DIRECTORY_READY,
	DIRECTORY_NOT_READY, /* reachable, but /readyz returns 503 */
	DIRECTORY_UNREACHABLE,
	DIRECTORY_LEAVING /* draining: never listed */
} directory_state_t;

/* Callback that returns the state of an instance. */
typedef directory_state_t (*directory_state_of_t)(
    const instance_t *instance, void *context);

typedef struct {
	const char *team;
	const char *home;	       /* region of the team, or NULL */
	char *const *regions;	       /* allowed by its plan, NULL-terminated;
					  NULL: all */
	const char *preferred_region;  /* of the caller, or NULL */
	directory_state_of_t state_of; /* NULL: all instances are ready */
	void *context;
} directory_query_t;

typedef struct directory directory_t;

directory_t *directory_create(fleet_t *fleet, allowances_t *allowances);
void directory_destroy(directory_t *directory);

/*
 * Writes at most limit instances to out, best first, and returns how many. They
 * are owned by the fleet list. Only instances in allowed regions are listed
 * and, for a team with a home, only those of its home region; leaving instances
 * never are.
 *
 * Sort order: state (ready, not ready, unreachable); region, the preferred one
 * first and the others in an order fixed for each team; zone, by weighted
 * rendezvous hash of the team; instance, by rendezvous hash of the team.
 * Thereby the callers of one team use the same instance, and the teams are
 * distributed over all instances.
 */
size_t directory_order(const directory_t *directory,
    const directory_query_t *query, const instance_t **out, size_t limit);

/* Memory used by the index in bytes, without the lists. */
size_t directory_bytes(const directory_t *directory);

#endif
