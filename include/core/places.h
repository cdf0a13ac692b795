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
#define PLACES_ZONE_LIMIT 64
#define PLACES_REGION_LIMIT 32

#define PLACE_NONE (-1)

typedef struct topology places_t;

/* A set of regions: bit i is region i. */
typedef uint32_t region_set_t;

#define REGION_SET_ALL UINT32_MAX

places_t *places_create(void);
void places_destroy(places_t *topology);

/* Returns false when a limit is exceeded or the zone exists already. */
bool places_add(places_t *topology, const char *zone, const char *region);

/* Return the index, or PLACE_NONE for an unknown name. */
int places_zone(const places_t *topology, const char *zone);
int places_region(const places_t *topology, const char *region);

int places_region_of(const places_t *topology, int zone);
const char *places_zone_name(const places_t *topology, int zone);
const char *places_region_name(const places_t *topology, int region);
int topology_n_zones(const places_t *topology);
int places_n_regions(const places_t *topology);

static inline bool
region_set_has(region_set_t set, int region)
{
	return region >= 0 && (set >> region & 1) != 0;
}

#endif
