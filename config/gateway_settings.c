#include "config/gateway_settings.h"

#include <string.h>
#include <syslog.h>

#include "config/file.h"
#include "yaml_reader.h"

#define ROOT_KEY "gateway"

static const number_field_t numbers[] = {
    {"memory_mb", offsetof(gateway_settings_t, memory_mb), 256, 16, 65536},
    {"descriptor_limit", offsetof(gateway_settings_t, descriptor_limit), 4096,
	64, 1 << 20},
    {"grace_s", offsetof(gateway_settings_t, grace_s), 8, 1, 3600},
    {"retry_percent", offsetof(gateway_settings_t, retry_percent), 10, 0, 100},
    {"retry_window_s", offsetof(gateway_settings_t, retry_window_s), 10, 1,
	3600},
    {"retry_slack", offsetof(gateway_settings_t, retry_slack), 10, 0, 1 << 20},
    {"directory_life_s", offsetof(gateway_settings_t, directory_life_s), 2, 1,
	3600},
};

typedef struct {
	const char *key;
	size_t offset;
} address_t;

static const address_t addresses[] = {
    {"callers", offsetof(gateway_settings_t, callers)},
    {"health", offsetof(gateway_settings_t, health)},
    {"directory", offsetof(gateway_settings_t, directory)},
    {"peer", offsetof(gateway_settings_t, peer)},
    {"metrics", offsetof(gateway_settings_t, metrics)},
    {"store", offsetof(gateway_settings_t, store)},
};

#define N_NUMBERS G_N_ELEMENTS(numbers)
#define N_ADDRESSES G_N_ELEMENTS(addresses)
#define N_OTHERS 5

typedef struct {
	const node_t *numbers[N_NUMBERS];
	const node_t *addresses[N_ADDRESSES];
	const node_t *instance;
	const node_t *zone;
	const node_t *seeds;
	const node_t *zones;
	const node_t *log_level;
} members_t;

static bool
members_read(const node_t *map, members_t *members, GError **error)
{
	map_field_t fields[N_NUMBERS + N_ADDRESSES + N_OTHERS] = {
	    {"instance", true, &members->instance},
	    {"zone", true, &members->zone},
	    {"seeds", false, &members->seeds},
	    {"zones", true, &members->zones},
	    {"log_level", false, &members->log_level},
	};
	size_t n = N_OTHERS;

	for (size_t i = 0; i < N_NUMBERS; i++)
		fields[n++] =
		    (map_field_t){numbers[i].key, false, &members->numbers[i]};
	for (size_t i = 0; i < N_ADDRESSES; i++)
		fields[n++] = (map_field_t){
		    addresses[i].key, true, &members->addresses[i]};
	return map_read(map, fields, n, error);
}

static bool
addresses_read(
    gateway_settings_t *settings, const members_t *members, GError **error)
{
	for (size_t i = 0; i < N_ADDRESSES; i++) {
		char **value =
		    &G_STRUCT_MEMBER(char *, settings, addresses[i].offset);

		if (!node_address(
			members->addresses[i], ADDRESS_CONNECT, value, error))
			return false;
		for (size_t j = 0; j < i; j++) {
			if (strcmp(*value, G_STRUCT_MEMBER(char *, settings,
					       addresses[j].offset)) == 0)
				return node_refuse(members->addresses[i], error,
				    CS_ERROR_CONFLICT,
				    "is the same as %s; write another port",
				    addresses[j].key);
		}
	}
	return true;
}

static bool
seeds_read(gateway_settings_t *settings, const node_t *node, GError **error)
{
	g_autoptr(GPtrArray) seeds = g_ptr_array_new_with_free_func(g_free);

	if (node != NULL && !node_list(node, 0, error))
		return false;
	for (const node_t *item = node ? node->first : NULL; item != NULL;
	     item = item->next) {
		char *seed = NULL;

		if (!node_address(item, ADDRESS_CONNECT, &seed, error))
			return false;
		g_ptr_array_add(seeds, seed);
	}
	g_ptr_array_add(seeds, NULL);
	settings->seeds = (char **)g_ptr_array_steal(seeds, NULL);
	return true;
}

/* A map of zone names to the region of each. */
static bool
zones_read(
    gateway_settings_t *settings, const members_t *members, GError **error)
{
	const node_t *node = members->zones;

	settings->places = topology_create();
	if (node->kind != NODE_MAP || node->first == NULL)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not a map; write ZONE: REGION for each zone");
	for (const node_t *item = node->first; item; item = item->next) {
		g_autofree char *region = NULL;

		if (!node_name(item, &region, error))
			return false;
		if (!topology_add(settings->places, item->key, region))
			return node_refuse(item, error, CS_ERROR_INVALID,
			    "is one zone too many; at most %d zones in %d "
			    "regions",
			    TOPOLOGY_ZONE_LIMIT, TOPOLOGY_REGION_LIMIT);
	}
	if (topology_zone(settings->places, settings->zone) == TOPOLOGY_NONE)
		return node_refuse(members->zone, error, CS_ERROR_CONFLICT,
		    "is not in zones; add it with its region");
	return true;
}

static bool
settings_read(gateway_settings_t *settings, const node_t *map, GError **error)
{
	members_t members = {0};

	return members_read(map, &members, error) &&
	       node_name(members.instance, &settings->instance, error) &&
	       node_name(members.zone, &settings->zone, error) &&
	       addresses_read(settings, &members, error) &&
	       numbers_read(
		   settings, numbers, members.numbers, N_NUMBERS, error) &&
	       seeds_read(settings, members.seeds, error) &&
	       zones_read(settings, &members, error) &&
	       log_level_read(members.log_level, &settings->log_level, error);
}

bool
gateway_settings_present(const char *text)
{
	return g_str_has_prefix(text, ROOT_KEY ":") ||
	       strstr(text, "\n" ROOT_KEY ":") != NULL;
}

gateway_settings_t *
gateway_settings_parse(
    const char *file, const char *text, size_t len, GError **error)
{
	g_autoptr(yaml_doc_t) doc = yaml_doc_read(file, text, len, error);
	gateway_settings_t *settings;
	const node_t *map;
	const map_field_t fields[] = {{ROOT_KEY, true, &map}};

	if (doc == NULL || !map_read(doc->root, fields, 1, error))
		return NULL;
	settings = g_new0(gateway_settings_t, 1);
	if (!settings_read(settings, map, error)) {
		gateway_settings_free(settings);
		return NULL;
	}
	return settings;
}

gateway_settings_t *
gateway_settings_load(const char *path, GError **error)
{
	g_autofree char *text = NULL;
	size_t len;

	if (!file_read(path, &text, &len, error))
		return NULL;
	return gateway_settings_parse(path, text, len, error);
}

void
gateway_settings_free(gateway_settings_t *settings)
{
	if (settings == NULL)
		return;
	g_free(settings->instance);
	g_free(settings->zone);
	for (size_t i = 0; i < N_ADDRESSES; i++)
		g_free(G_STRUCT_MEMBER(char *, settings, addresses[i].offset));
	g_strfreev(settings->seeds);
	if (settings->places != NULL)
		topology_destroy(settings->places);
	g_free(settings);
}
