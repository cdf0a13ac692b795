#include "core/places.h"

#include <glib.h>
#include <string.h>

typedef struct {
	char name[NAME_LIMIT + 1];
	char region[NAME_LIMIT + 1];
	int region_index;
} zone_t;

struct places {
	zone_t zones[PLACES_ZONE_LIMIT];
	int n_zones;
	char regions[PLACES_REGION_LIMIT][NAME_LIMIT + 1];
	int n_regions;
};

places_t *
places_create(void)
{
	return g_new0(places_t, 1);
}

void
places_destroy(places_t *places)
{
	g_free(places);
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
places_add(places_t *places, const char *zone, const char *region)
{
	zone_t *added = &places->zones[places->n_zones];

	if (places->n_zones == PLACES_ZONE_LIMIT ||
	    places_zone(places, zone) != PLACE_NONE ||
	    strlen(zone) > NAME_LIMIT || strlen(region) > NAME_LIMIT)
		return false;
	if (places_region(places, region) == PLACE_NONE) {
		if (places->n_regions == PLACES_REGION_LIMIT)
			return false;
		g_strlcpy(places->regions[places->n_regions++], region,
		    NAME_LIMIT + 1);
		qsort(places->regions, (size_t)places->n_regions,
		    sizeof(places->regions[0]), region_compare);
	}
	g_strlcpy(added->name, zone, sizeof(added->name));
	g_strlcpy(added->region, region, sizeof(added->region));
	places->n_zones++;
	qsort(places->zones, (size_t)places->n_zones, sizeof(zone_t),
	    zone_compare);
	for (int i = 0; i < places->n_zones; i++)
		places->zones[i].region_index =
		    places_region(places, places->zones[i].region);
	return true;
}

int
places_zone(const places_t *places, const char *zone)
{
	for (int i = 0; i < places->n_zones; i++) {
		if (strcmp(places->zones[i].name, zone) == 0)
			return i;
	}
	return PLACE_NONE;
}

int
places_region(const places_t *places, const char *region)
{
	for (int i = 0; i < places->n_regions; i++) {
		if (strcmp(places->regions[i], region) == 0)
			return i;
	}
	return PLACE_NONE;
}

int
places_region_of(const places_t *places, int zone)
{
	if (zone < 0 || zone >= places->n_zones)
		return PLACE_NONE;
	return places->zones[zone].region_index;
}

const char *
places_zone_name(const places_t *places, int zone)
{
	if (zone < 0 || zone >= places->n_zones)
		return "";
	return places->zones[zone].name;
}

const char *
places_region_name(const places_t *places, int region)
{
	if (region < 0 || region >= places->n_regions)
		return "";
	return places->regions[region];
}

int
places_n_zones(const places_t *places)
{
	return places->n_zones;
}

int
places_n_regions(const places_t *places)
{
	return places->n_regions;
}
