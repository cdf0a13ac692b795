#include "core/catalog.h"

#include <string.h>
#include <strings.h>

struct catalog {
	gint refs;
	GRefString *version;
	GPtrArray *services; /* catalog_service_t, and so on */
	GPtrArray *routes;
	GPtrArray *teams;
	GHashTable *keys; /* char * -> team index + 1 */
	caller_limits_t limits;
	bool requires_key;
	bool incomplete;
	GPtrArray *problems;
	size_t n_problems;
};

static void
service_clear(gpointer data)
{
	catalog_service_t *service = data;

	g_free(service->name);
	g_free(service->health_path);
}

static void
service_unref(gpointer service)
{
	g_rc_box_release_full(service, service_clear);
}

static void
route_clear(gpointer data)
{
	catalog_route_t *route = data;

	for (size_t i = 0; i < route->n_backends; i++)
		service_unref((gpointer)route->backends[i].service);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
}

static void
route_unref(gpointer route)
{
	g_rc_box_release_full(route, route_clear);
}

static void
team_clear(gpointer data)
{
	g_free(((catalog_team_t *)data)->name);
}

static void
team_unref(gpointer team)
{
	g_rc_box_release_full(team, team_clear);
}

catalog_t *
catalog_create(const char *version)
{
	catalog_t *catalog = g_new0(catalog_t, 1);

	catalog->refs = 1;
	catalog->version = g_ref_string_new(version);
	catalog->services = g_ptr_array_new_with_free_func(service_unref);
	catalog->routes = g_ptr_array_new_with_free_func(route_unref);
	catalog->teams = g_ptr_array_new_with_free_func(team_unref);
	catalog->problems = g_ptr_array_new_with_free_func(g_free);
	catalog->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return catalog;
}

catalog_t *
catalog_ref(catalog_t *catalog)
{
	catalog->refs++;
	return catalog;
}

void
catalog_unref(catalog_t *catalog)
{
	if (catalog == NULL || --catalog->refs > 0)
		return;
	g_ptr_array_unref(catalog->services);
	g_ptr_array_unref(catalog->routes);
	g_ptr_array_unref(catalog->teams);
	g_hash_table_destroy(catalog->keys);
	g_ptr_array_unref(catalog->problems);
	g_ref_string_release(catalog->version);
	g_free(catalog);
}

int
catalog_add_service(catalog_t *catalog, const catalog_service_t *service)
{
	g_ptr_array_add(catalog->services,
	    (gpointer)g_rc_box_dup(sizeof(*service), service));
	return (int)catalog->services->len - 1;
}

void
catalog_add_route(catalog_t *catalog, const catalog_route_t *route)
{
	for (size_t i = 0; i < route->n_backends; i++)
		g_rc_box_acquire((gpointer)route->backends[i].service);
	g_ptr_array_add(
	    catalog->routes, (gpointer)g_rc_box_dup(sizeof(*route), route));
}

int
catalog_add_team(catalog_t *catalog, const catalog_team_t *team)
{
	g_ptr_array_add(
	    catalog->teams, (gpointer)g_rc_box_dup(sizeof(*team), team));
	return (int)catalog->teams->len - 1;
}

bool
catalog_add_key(catalog_t *catalog, const char *key, int team)
{
	if (g_hash_table_contains(catalog->keys, key))
		return false;
	g_hash_table_insert(
	    catalog->keys, g_strdup(key), GINT_TO_POINTER(team + 1));
	return true;
}

void
catalog_move_key(catalog_t *catalog, const char *key, int team)
{
	g_hash_table_replace(
	    catalog->keys, g_strdup(key), GINT_TO_POINTER(team + 1));
}

void
catalog_set_limits(catalog_t *catalog, const caller_limits_t *limits)
{
	catalog->limits = *limits;
}

void
catalog_set_requires_key(catalog_t *catalog, bool requires_key)
{
	catalog->requires_key = requires_key;
}

const char *
catalog_version(const catalog_t *catalog)
{
	return catalog->version;
}

void
catalog_add_problem(catalog_t *catalog, const char *text)
{
	catalog->n_problems++;
	if (catalog->problems->len < CATALOG_PROBLEM_LIMIT)
		g_ptr_array_add(catalog->problems, g_strdup(text));
}

size_t
catalog_n_problems(const catalog_t *catalog)
{
	return catalog->n_problems;
}

const char *
catalog_problem(const catalog_t *catalog, size_t i)
{
	return i < catalog->problems->len
		   ? g_ptr_array_index(catalog->problems, i)
		   : NULL;
}

void
catalog_set_incomplete(catalog_t *catalog)
{
	catalog->incomplete = true;
}

bool
catalog_is_incomplete(const catalog_t *catalog)
{
	return catalog->incomplete;
}

const caller_limits_t *
catalog_limits(const catalog_t *catalog)
{
	return &catalog->limits;
}

bool
catalog_requires_key(const catalog_t *catalog)
{
	return catalog->requires_key;
}

static bool
host_matches(const char *host, const char *text, size_t len)
{
	const char *colon = memchr(text, ':', len);
	size_t name_len = colon ? (size_t)(colon - text) : len;

	return strlen(host) == name_len &&
	       strncasecmp(host, text, name_len) == 0;
}

const catalog_route_t *
catalog_route(const catalog_t *catalog, const char *host, size_t host_len,
    const char *path, size_t path_len)
{
	const catalog_route_t *best = NULL;
	size_t best_len = 0;

	for (guint i = 0; i < catalog->routes->len; i++) {
		const catalog_route_t *route =
		    g_ptr_array_index(catalog->routes, i);
		size_t len = strlen(route->prefix);

		if (len <= path_len && len > best_len &&
		    memcmp(route->prefix, path, len) == 0 &&
		    host_matches(route->host, host, host_len)) {
			best = route;
			best_len = len;
		}
	}
	return best;
}

int
catalog_key_team(const catalog_t *catalog, const char *key, size_t len)
{
	char text[256];

	if (len >= sizeof(text))
		return -1;
	memcpy(text, key, len);
	text[len] = '\0';
	return GPOINTER_TO_INT(g_hash_table_lookup(catalog->keys, text)) - 1;
}

int
catalog_team_index(const catalog_t *catalog, const char *name)
{
	for (guint i = 0; i < catalog->teams->len; i++) {
		if (strcmp(catalog_team(catalog, (int)i)->name, name) == 0)
			return (int)i;
	}
	return -1;
}

const catalog_team_t *
catalog_team(const catalog_t *catalog, int team)
{
	if (team < 0 || (guint)team >= catalog->teams->len)
		return NULL;
	return g_ptr_array_index(catalog->teams, team);
}

size_t
catalog_n_teams(const catalog_t *catalog)
{
	return catalog->teams->len;
}

int
catalog_service_index(const catalog_t *catalog, const char *name)
{
	for (guint i = 0; i < catalog->services->len; i++) {
		if (strcmp(catalog_service(catalog, (int)i)->name, name) == 0)
			return (int)i;
	}
	return -1;
}

const catalog_service_t *
catalog_service(const catalog_t *catalog, int service)
{
	if (service < 0 || (guint)service >= catalog->services->len)
		return NULL;
	return g_ptr_array_index(catalog->services, service);
}

size_t
catalog_n_services(const catalog_t *catalog)
{
	return catalog->services->len;
}

const catalog_service_t *
catalog_pick_service(const catalog_route_t *route, uint64_t random)
{
	uint64_t sum = 0;

	if (route->n_backends == 0)
		return NULL;
	for (size_t i = 0; i < route->n_backends; i++)
		sum += route->backends[i].weight;
	if (sum == 0)
		return route->backends[0].service;
	random %= sum;
	for (size_t i = 0; i < route->n_backends; i++) {
		if (random < route->backends[i].weight)
			return route->backends[i].service;
		random -= route->backends[i].weight;
	}
	return NULL;
}

const catalog_route_t *
catalog_route_ref(const catalog_route_t *route)
{
	return g_rc_box_acquire((gpointer)route);
}

void
catalog_route_unref(const catalog_route_t *route)
{
	if (route != NULL)
		route_unref((gpointer)route);
}

const catalog_team_t *
catalog_team_ref(const catalog_team_t *team)
{
	return g_rc_box_acquire((gpointer)team);
}

void
catalog_team_unref(const catalog_team_t *team)
{
	if (team != NULL)
		team_unref((gpointer)team);
}

region_set_t
catalog_common_regions(const catalog_t *catalog)
{
	guint most = 0;
	region_set_t set = 0;

	for (int region = 0; region < TOPOLOGY_REGION_LIMIT; region++) {
		guint n = 0;

		for (guint i = 0; i < catalog->routes->len; i++) {
			const catalog_route_t *route =
			    g_ptr_array_index(catalog->routes, i);

			n += region_set_has(route->regions, region);
		}
		for (guint i = 0; i < catalog->teams->len; i++)
			n += region_set_has(
			    catalog_team(catalog, (int)i)->regions, region);
		if (n > most) {
			most = n;
			set = 0;
		}
		if (n == most)
			set |= (region_set_t)1 << region;
	}
	return set;
}
