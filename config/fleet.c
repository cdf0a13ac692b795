#include "config/lists.h"
#include "list_head.h"

/* Values that may occur only once in the whole list. */
typedef struct {
	GHashTable *instances;
	GHashTable *targets;
	GHashTable *addresses; /* address:port of both */
} fleet_seen_t;

static bool
state_read(member_state_t *state, const node_t *node, GError **error)
{
	static const char *const states[] = {"live", "leaving", NULL};
	int choice;

	if (!node_choice(node, states, &choice, error))
		return false;
	*state = choice == 0 ? MEMBER_LIVE : MEMBER_LEAVING;
	return true;
}

static bool
instance_read(instance_t *instance, const node_t *node, fleet_seen_t *seen,
    GError **error)
{
	const node_t *name;
	const node_t *zone;
	const node_t *http;
	const node_t *peer;
	const node_t *state;
	const map_field_t fields[] = {
	    {"name", true, &name},
	    {"zone", true, &zone},
	    {"http", true, &http},
	    {"peer", true, &peer},
	    {"state", true, &state},
	};

	return map_read(node, fields, G_N_ELEMENTS(fields), error) &&
	       node_name(name, &instance->name, error) &&
	       seen_add(seen->instances, name, instance->name, error) &&
	       node_name(zone, &instance->zone, error) &&
	       node_address(http, ADDRESS_CONNECT, &instance->http, error) &&
	       seen_add(seen->addresses, http, instance->http, error) &&
	       node_address(peer, ADDRESS_CONNECT, &instance->peer, error) &&
	       seen_add(seen->addresses, peer, instance->peer, error) &&
	       state_read(&instance->state, state, error);
}

static bool
target_read(
    target_t *target, const node_t *node, fleet_seen_t *seen, GError **error)
{
	const node_t *name;
	const node_t *zone;
	const node_t *service;
	const node_t *url;
	const node_t *slots;
	const node_t *state;
	const map_field_t fields[] = {
	    {"name", true, &name},
	    {"zone", true, &zone},
	    {"service", true, &service},
	    {"url", true, &url},
	    {"slots", true, &slots},
	    {"state", true, &state},
	};
	g_autofree char *address = NULL;
	int64_t number;

	if (!map_read(node, fields, G_N_ELEMENTS(fields), error) ||
	    !node_name(name, &target->name, error) ||
	    !seen_add(seen->targets, name, target->name, error) ||
	    !node_name(zone, &target->zone, error) ||
	    !node_name(service, &target->service, error) ||
	    !node_url(url, &target->url, &address, error) ||
	    /* One process under two names would get twice its slots. */
	    !seen_add(seen->addresses, url, address, error) ||
	    !node_integer(slots, 1, 4096, &number, error))
		return false;
	target->slots = (uint32_t)number;
	return state_read(&target->state, state, error);
}

static bool
instances_read(
    fleet_t *fleet, const node_t *node, fleet_seen_t *seen, GError **error)
{
	if (!node_list(node, 0, error))
		return false;
	fleet->instances = g_new0(instance_t, node->n_children);
	fleet->n_instances = node->n_children;
	for (const node_t *item = node->first; item; item = item->next) {
		if (!instance_read(
			&fleet->instances[item->index], item, seen, error))
			return false;
	}
	return true;
}

static bool
targets_read(
    fleet_t *fleet, const node_t *node, fleet_seen_t *seen, GError **error)
{
	if (!node_list(node, 0, error))
		return false;
	fleet->targets = g_new0(target_t, node->n_children);
	fleet->n_targets = node->n_children;
	for (const node_t *item = node->first; item; item = item->next) {
		if (!target_read(
			&fleet->targets[item->index], item, seen, error))
			return false;
	}
	return true;
}

static bool
fleet_read(fleet_t *fleet, const node_t *root, const char *text, size_t len,
    GError **error)
{
	const node_t *version;
	const node_t *instances;
	const node_t *targets;
	const map_field_t fields[] = {
	    {"version", true, &version},
	    {"instances", true, &instances},
	    {"targets", true, &targets},
	};
	g_autoptr(GHashTable) instance_names = seen_create();
	g_autoptr(GHashTable) target_names = seen_create();
	g_autoptr(GHashTable) addresses = seen_create();
	fleet_seen_t seen = {instance_names, target_names, addresses};

	return map_read(root, fields, G_N_ELEMENTS(fields), error) &&
	       list_head_read(&fleet->head, version, text, len, error) &&
	       instances_read(fleet, instances, &seen, error) &&
	       targets_read(fleet, targets, &seen, error);
}

fleet_t *
fleet_parse(const char *file, const char *text, size_t len, GError **error)
{
	g_autoptr(yaml_doc_t) doc = yaml_doc_read(file, text, len, error);
	fleet_t *fleet;

	if (doc == NULL)
		return NULL;
	fleet = g_new0(fleet_t, 1);
	fleet->head.refs = 1;
	if (!fleet_read(fleet, doc->root, text, len, error)) {
		fleet_unref(fleet);
		return NULL;
	}
	return fleet;
}
