#ifndef CORE_TOPOLOGY_H
#define CORE_TOPOLOGY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/types.h"

/*
 * Topology of the deployment: its zones and the region of each, from the
 * settings. Sorted by name, so that an index means the same at every instance.
 * Does not change while the process runs.
 */
#define TOPOLOGY_ZONE_LIMIT 64
#define TOPOLOGY_REGION_LIMIT 32

#define TOPOLOGY_NONE (-1)

typedef struct topology topology_t;

/* A set of regions: bit i is region i. */
typedef uint32_t region_set_t;

#define REGION_SET_ALL UINT32_MAX

topology_t *topology_create(void);
void topology_destroy(topology_t *topology);

/* Returns false when a limit is exceeded or the zone exists already. */
bool topology_add(topology_t *topology, const char *zone, const char *region);

/* Return the index, or TOPOLOGY_NONE for an unknown name. */
int topology_zone(const topology_t *topology, const char *zone);
int topology_region(const topology_t *topology, const char *region);

int topology_region_of(const topology_t *topology, int zone);
const char *topology_zone_name(const topology_t *topology, int zone);
const char *topology_region_name(const topology_t *topology, int region);
int topology_n_zones(const topology_t *topology);
int topology_n_regions(const topology_t *topology);

static inline bool
region_set_has(region_set_t set, int region)
{
	return region >= 0 && (set >> region & 1) != 0;
}

#endif
