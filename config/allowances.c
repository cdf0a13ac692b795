#include <string.h>

#include "config/lists.h"
#include "list_head.h"

/* Names that entries below refer to. */
typedef struct {
	GHashTable *regions; /* of the zones */
	GHashTable *services;
	GHashTable *plans;
} allowances_seen_t;

static bool
zone_read(zone_t *zone, const node_t *node, GHashTable *names,
    allowances_seen_t *seen, GError **error)
{
	const node_t *name;
	const node_t *region;
	const node_t *weight;
	const map_field_t fields[] = {
	    {"name", true, &name},
	    {"region", true, &region},
	    {"weight", true, &weight},
	};
	int64_t number;

	if (!map_read(node, fields, G_N_ELEMENTS(fields), error) ||
	    !node_name(name, &zone->name, error) ||
	    !seen_add(names, name, zone->name, error) ||
	    !node_name(region, &zone->region, error) ||
	    !node_integer(weight, 1, 1000, &number, error))
		return false;
	zone->weight = (uint32_t)number;
	g_hash_table_add(seen->regions, g_strdup(zone->region));
	return true;
}

static bool
zones_read(allowances_t *allowances, const node_t *node,
    allowances_seen_t *seen, GError **error)
{
	g_autoptr(GHashTable) names = seen_create();

	if (!node_list(node, 0, error))
		return false;
	allowances->zones = g_new0(zone_t, node->n_children);
	allowances->n_zones = node->n_children;
	for (const node_t *item = node->first; item; item = item->next) {
		if (!zone_read(&allowances->zones[item->index], item, names,
			seen, error))
			return false;
	}
	return true;
}

/*
 * Checks one path under which POST is an order. Only bytes that need no
 * encoding are accepted, because requests are compared byte by byte.
 */
static bool
order_path_check(const node_t *node, char **path, GError **error)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789-._~/";

	if (!node_text(node, path, error))
		return false;
	if (**path != '/' || (*path)[strspn(*path, allowed)] != '\0' ||
	    strlen(*path) > 255 || strstr(*path, "//") != NULL ||
	    strstr(*path, "/.") != NULL)
		return node_refuse(node, error, CS_ERROR_INVALID,
		    "is not a plain path; write at most 255 bytes such as "
		    "/orders, without empty segments, leading dots, query or "
		    "escapes");
	return true;
}

static bool
orders_read(service_t *service, const node_t *node, GError **error)
{
	g_autoptr(GHashTable) seen = seen_create();

	if (!node_list(node, 0, error))
		return false;
	service->orders = g_new0(char *, node->n_children + 1);
	for (const node_t *item = node->first; item; item = item->next) {
		char **path = &service->orders[item->index];

		if (!order_path_check(item, path, error) ||
		    !seen_add(seen, item, *path, error))
			return false;
	}
	if (service->kind == SERVICE_ENGINE && node->n_children > 0)
		return node_refuse(node, error, CS_ERROR_CONFLICT,
		    "engines take no orders; remove the key or write kind: "
		    "plain");
	return true;
}

/* The region of each entry needs a zone and occurs once. */
static bool
desired_entry_read(desired_t *desired, const node_t *node, GHashTable *used,
    const allowances_seen_t *seen, GError **error)
{
	const node_t *region;
	const node_t *model;
	const node_t *version;
	const node_t *adapters;
	const node_t *role;
	const map_field_t fields[] = {
	    {"region", true, &region},
	    {"model", true, &model},
	    {"version", true, &version},
	    {"adapters", false, &adapters},
	    {"role", true, &role},
	};

	if (!map_read(node, fields, G_N_ELEMENTS(fields), error) ||
	    !node_name(region, &desired->region, error) ||
	    !seen_add(used, region, desired->region, error) ||
	    !node_name(model, &desired->model, error) ||
	    !node_name(version, &desired->version, error) ||
	    !node_name(role, &desired->role, error))
		return false;
	if (!g_hash_table_contains(seen->regions, desired->region))
		return node_refuse(region, error, CS_ERROR_CONFLICT,
		    "no zone is in region %s; add a zone or write another "
		    "region",
		    desired->region);
	if (adapters == NULL) {
		desired->adapters = g_new0(char *, 1);
		return true;
	}
	if (!node_names(adapters, &desired->adapters, error))
		return false;
	if (adapters->n_children > DESIRED_ADAPTER_LIMIT)
		return node_refuse(adapters, error, CS_ERROR_INVALID,
		    "has %u items; write at most %d", adapters->n_children,
		    DESIRED_ADAPTER_LIMIT);
	return true;
}

static bool
desired_read(service_t *service, const node_t *node,
    const allowances_seen_t *seen, GError **error)
{
	g_autoptr(GHashTable) used = seen_create();

	if (!node_list(node, 0, error))
		return false;
	if (service->kind != SERVICE_ENGINE)
		return node_refuse(node, error, CS_ERROR_CONFLICT,
		    "only engines take commands; remove the key or write "
		    "kind: engine");
	service->desired = g_new0(desired_t, node->n_children);
	service->n_desired = node->n_children;
	for (const node_t *item = node->first; item; item = item->next) {
		if (!desired_entry_read(&service->desired[item->index], item,
			used, seen, error))
			return false;
	}
	return true;
}

static bool
fencing_read(service_t *service, const node_t *node, GError **error)
{
	static const char *const ways[] = {"ignore", "refuse", NULL};
	int choice;

	if (!node_choice(node, ways, &choice, error))
		return false;
	if (service->kind != SERVICE_ENGINE)
		return node_refuse(node, error, CS_ERROR_CONFLICT,
		    "only engines take commands; remove the key or write "
		    "kind: engine");
	service->refuses_fences = choice == 1;
	return true;
}

static bool
service_read(service_t *service, const node_t *node, allowances_seen_t *seen,
    GError **error)
{
	static const char *const kinds[] = {"engine", "plain", NULL};
	const node_t *name;
	const node_t *kind;
	const node_t *orders;
	const node_t *open;
	const node_t *desired;
	const node_t *fencing;
	const map_field_t fields[] = {
	    {"name", true, &name},
	    {"kind", true, &kind},
	    {"orders", false, &orders},
	    {"open", false, &open},
	    {"desired", false, &desired},
	    {"fencing", false, &fencing},
	};
	int choice;

	if (!map_read(node, fields, G_N_ELEMENTS(fields), error) ||
	    !node_name(name, &service->name, error) ||
	    !seen_add(seen->services, name, service->name, error) ||
	    !node_choice(kind, kinds, &choice, error))
		return false;
	service->kind = choice == 0 ? SERVICE_ENGINE : SERVICE_PLAIN;
	if (orders == NULL)
		service->orders = g_new0(char *, 1);
	else if (!orders_read(service, orders, error))
		return false;
	if ((open != NULL && !node_bool(open, &service->open, error)) ||
	    (desired != NULL && !desired_read(service, desired, seen, error)) ||
	    (fencing != NULL && !fencing_read(service, fencing, error)))
		return false;
	/* A ticket belongs to a team, and an open service has none. */
	if (service->open && service->orders[0] != NULL)
		return node_refuse(open, error, CS_ERROR_CONFLICT,
		    "a service with orders asks for keys; write false or "
		    "remove the orders");
	return true;
}

static bool
services_read(allowances_t *allowances, const node_t *node,
    allowances_seen_t *seen, GError **error)
{
	if (!node_list(node, 0, error))
		return false;
	allowances->services = g_new0(service_t, node->n_children);
	allowances->n_services = node->n_children;
	for (const node_t *item = node->first; item; item = item->next) {
		if (!service_read(
			&allowances->services[item->index], item, seen, error))
			return false;
	}
	return true;
}

static bool
use_read(plan_use_t *use, const node_t *node, GHashTable *used,
    allowances_seen_t *seen, GError **error)
{
	const node_t *service;
	const node_t *regions;
	const map_field_t fields[] = {
	    {"service", true, &service},
	    {"regions", true, &regions},
	};

	if (!map_read(node, fields, G_N_ELEMENTS(fields), error) ||
	    !node_name(service, &use->service, error) ||
	    !seen_add(used, service, use->service, error))
		return false;
	if (!g_hash_table_contains(seen->services, use->service))
		return node_refuse(service, error, CS_ERROR_CONFLICT,
		    "%s is not under services; add it there or write another "
		    "service",
		    use->service);
	/* Without a region the zone parts of the plan's teams would be 0/0. */
	if (!node_list(regions, 1, error) ||
	    !node_names(regions, &use->regions, error))
		return false;
	for (const node_t *item = regions->first; item; item = item->next) {
		if (!g_hash_table_contains(seen->regions, item->text))
			return node_refuse(item, error, CS_ERROR_CONFLICT,
			    "no zone is in region %s; add a zone or write "
			    "another region",
			    item->text);
	}
	return true;
}

static bool
uses_read(
    plan_t *plan, const node_t *node, allowances_seen_t *seen, GError **error)
{
	g_autoptr(GHashTable) used = seen_create();

	if (!node_list(node, 1, error))
		return false;
	plan->use = g_new0(plan_use_t, node->n_children);
	plan->n_use = node->n_children;
	for (const node_t *item = node->first; item; item = item->next) {
		if (!use_read(&plan->use[item->index], item, used, seen, error))
			return false;
	}
	return true;
}

static bool
plan_read(
    plan_t *plan, const node_t *node, allowances_seen_t *seen, GError **error)
{
	const node_t *name;
	const node_t *rate;
	const node_t *burst;
	const node_t *priority;
	const node_t *use;
	const map_field_t fields[] = {
	    {"name", true, &name},
	    {"rate", true, &rate},
	    {"burst", true, &burst},
	    {"priority", true, &priority},
	    {"use", true, &use},
	};
	int64_t level;

	if (!map_read(node, fields, G_N_ELEMENTS(fields), error) ||
	    !node_name(name, &plan->name, error) ||
	    !seen_add(seen->plans, name, plan->name, error) ||
	    !node_integer(rate, 1, 1000000000, &plan->rate, error) ||
	    !node_integer(burst, 1, 1000000000000, &plan->burst, error) ||
	    !node_integer(priority, 0, 3, &level, error))
		return false;
	plan->priority = (int)level;
	return uses_read(plan, use, seen, error);
}

static bool
plan_list_read(allowances_t *allowances, const node_t *node,
    allowances_seen_t *seen, GError **error)
{
	if (!node_list(node, 0, error))
		return false;
	allowances->plans = g_new0(plan_t, node->n_children);
	allowances->n_plans = node->n_children;
	for (const node_t *item = node->first; item; item = item->next) {
		if (!plan_read(
			&allowances->plans[item->index], item, seen, error))
			return false;
	}
	return true;
}

static uint32_t
loading_zones_count(const allowances_t *allowances)
{
	uint32_t n = 0;

	for (size_t i = 0; i < allowances->n_zones; i++)
		n += allowances_zone_has_desired(
		    allowances, &allowances->zones[i]);
	return n;
}

static bool
store_read(allowances_t *allowances, const node_t *node,
    const allowances_seen_t *seen, GError **error)
{
	const node_t *region;
	const node_t *loads;
	const map_field_t fields[] = {
	    {"region", true, &region},
	    {"loads_at_a_time", true, &loads},
	};
	uint32_t least = loading_zones_count(allowances);
	int64_t number;

	if (!map_read(node, fields, G_N_ELEMENTS(fields), error) ||
	    !node_name(region, &allowances->store_region, error) ||
	    !node_integer(loads, 1, 10000, &number, error))
		return false;
	if (!g_hash_table_contains(seen->regions, allowances->store_region))
		return node_refuse(region, error, CS_ERROR_CONFLICT,
		    "no zone is in region %s; add a zone or write another "
		    "region",
		    allowances->store_region);
	/* A zone without a permit could never load what is desired there. */
	if (number < least)
		return node_refuse(loads, error, CS_ERROR_CONFLICT,
		    "is lower than the number of zones whose engines have a "
		    "desired state; write at least %u or remove entries of "
		    "desired",
		    least);
	allowances->store_loads = (uint32_t)number;
	return true;
}

static bool
allowances_read(allowances_t *allowances, const node_t *root, const char *text,
    size_t len, GError **error)
{
	const node_t *version;
	const node_t *zones;
	const node_t *services;
	const node_t *plans;
	const node_t *retired;
	const node_t *store;
	const node_t *parts;
	const map_field_t fields[] = {
	    {"version", true, &version},
	    {"zones", true, &zones},
	    {"services", true, &services},
	    {"plans", true, &plans},
	    {"retired", false, &retired},
	    {"weight_store", false, &store},
	    {"plans_parts", false, &parts},
	};
	int64_t n_parts = 1;
	g_autoptr(GHashTable) region_names = seen_create();
	g_autoptr(GHashTable) service_names = seen_create();
	g_autoptr(GHashTable) plan_names = seen_create();
	allowances_seen_t seen = {region_names, service_names, plan_names};

	if (!map_read(root, fields, G_N_ELEMENTS(fields), error) ||
	    !list_head_read(&allowances->head, version, text, len, error) ||
	    !zones_read(allowances, zones, &seen, error) ||
	    !services_read(allowances, services, &seen, error) ||
	    !plan_list_read(allowances, plans, &seen, error) ||
	    (store != NULL && !store_read(allowances, store, &seen, error)) ||
	    (parts != NULL &&
		!node_integer(parts, 1, PLANS_PART_LIMIT, &n_parts, error)))
		return false;
	allowances->plans_parts = (uint32_t)n_parts;
	if (retired == NULL) {
		allowances->retired = g_new0(char *, 1);
		return true;
	}
	return node_names(retired, &allowances->retired, error);
}

allowances_t *
allowances_parse(const char *file, const char *text, size_t len, GError **error)
{
	g_autoptr(yaml_doc_t) doc = yaml_doc_read(file, text, len, error);
	allowances_t *allowances;

	if (doc == NULL)
		return NULL;
	allowances = g_new0(allowances_t, 1);
	allowances->head.refs = 1;
	if (!allowances_read(allowances, doc->root, text, len, error)) {
		allowances_unref(allowances);
		return NULL;
	}
	return allowances;
}
