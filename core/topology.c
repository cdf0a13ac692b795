#include "core/topology.h"

#include <glib.h>
#include <string.h>

typedef struct {
	char name[NAME_LIMIT + 1];
	char region[NAME_LIMIT + 1];
	int region_index;
} zone_t;

struct topology {
	zone_t zones[TOPOLOGY_ZONE_LIMIT];
	int n_zones;
	char regions[TOPOLOGY_REGION_LIMIT][NAME_LIMIT + 1];
	int n_regions;
};

topology_t *
topology_create(void)
{
	return g_new0(topology_t, 1);
}

void
topology_destroy(topology_t *topology)
{
	g_free(topology);
}

static int
zone_compare(const void *a, const void *b)
{
	return strcmp(((const zone_t *)a)->name, ((const zone_t *)b)->name);
}

static int
region_compare(const void *a, const void *b)
{
	return strcmp(a, b);
}

bool
topology_add(topology_t *topology, const char *zone, const char *region)
{
	zone_t *added = &topology->zones[topology->n_zones];

	if (topology->n_zones == TOPOLOGY_ZONE_LIMIT ||
	    topology_zone(topology, zone) != TOPOLOGY_NONE ||
	    strlen(zone) > NAME_LIMIT || strlen(region) > NAME_LIMIT)
		return false;
	if (topology_region(topology, region) == TOPOLOGY_NONE) {
		if (topology->n_regions == TOPOLOGY_REGION_LIMIT)
			return false;
		g_strlcpy(topology->regions[topology->n_regions++], region,
		    NAME_LIMIT + 1);
		qsort(topology->regions, (size_t)topology->n_regions,
		    sizeof(topology->regions[0]), region_compare);
	}
	g_strlcpy(added->name, zone, sizeof(added->name));
	g_strlcpy(added->region, region, sizeof(added->region));
	topology->n_zones++;
	qsort(topology->zones, (size_t)topology->n_zones, sizeof(zone_t),
	    zone_compare);
	for (int i = 0; i < topology->n_zones; i++)
		topology->zones[i].region_index =
		    topology_region(topology, topology->zones[i].region);
	return true;
}

int
topology_zone(const topology_t *topology, const char *zone)
{
	for (int i = 0; i < topology->n_zones; i++) {
		if (strcmp(topology->zones[i].name, zone) == 0)
			return i;
	}
	return TOPOLOGY_NONE;
}

int
topology_region(const topology_t *topology, const char *region)
{
	for (int i = 0; i < topology->n_regions; i++) {
		if (strcmp(topology->regions[i], region) == 0)
			return i;
	}
	return TOPOLOGY_NONE;
}

int
topology_region_of(const topology_t *topology, int zone)
{
	if (zone < 0 || zone >= topology->n_zones)
		return TOPOLOGY_NONE;
	return topology->zones[zone].region_index;
}

const char *
topology_zone_name(const topology_t *topology, int zone)
{
	if (zone < 0 || zone >= topology->n_zones)
		return "";
	return topology->zones[zone].name;
}

const char *
topology_region_name(const topology_t *topology, int region)
{
	if (region < 0 || region >= topology->n_regions)
		return "";
	return topology->regions[region];
}

int
topology_n_zones(const topology_t *topology)
{
	return topology->n_zones;
}

int
topology_n_regions(const topology_t *topology)
{
	return topology->n_regions;
}
