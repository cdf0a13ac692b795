#include <string.h>
#include <xxhash.h>

#include "route_table.h"

/* Estimate per target: three short strings and two hash table entries. */
#define STRINGS_BYTES ((size_t)144)

static void
service_entry_free(gpointer data)
{
	service_entry_t *service = data;

	g_array_free(service->target_indexes, TRUE);
	g_free(service);
}

route_t *
route_create(route_settings_t settings)
{
	route_t *route = g_new0(route_t, 1);

	route->settings = settings;
	route->entries = g_array_new(FALSE, TRUE, sizeof(entry_t));
	route->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	route->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, service_entry_free);
	route->candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	return route;
}

static entry_t *
entry_find(const route_t *route, handle_t handle)
{
	entry_t *entry;

	if (handle == HANDLE_NONE ||
	    handle_index(handle) >= route->entries->len)
		return NULL;
	entry = entry_at(route, handle_index(handle));
	if (entry->name == NULL ||
	    entry->generation != handle_generation(handle))
		return NULL;
	return entry;
}

static void
entry_clear(entry_t *entry)
{
	uint32_t generation = entry->generation;

	g_free(entry->name);
	g_free(entry->service);
	g_free(entry->url);
	*entry = (entry_t){.generation = generation};
}

void
route_destroy(route_t *route)
{
	if (route == NULL)
		return;
	for (uint32_t i = 0; i < route->entries->len; i++)
		entry_clear(entry_at(route, i));
	g_array_free(route->entries, TRUE);
	g_array_free(route->candidates, TRUE);
	g_hash_table_destroy(route->by_name);
	g_hash_table_destroy(route->services);
	g_free(route);
}

/* Updates from a fleet list. */

static uint32_t
entry_alloc(route_t *route, const char *name)
{
	uint32_t index;
	entry_t *entry;

	for (index = 0; index < route->entries->len; index++) {
		if (entry_at(route, index)->name == NULL)
			break;
	}
	if (index == route->entries->len)
		g_array_set_size(route->entries, index + 1);
	entry = entry_at(route, index);
	entry->generation = generation_next(entry->generation);
	entry->name = g_strdup(name);
	entry->name_hash = XXH3_64bits(name, strlen(name));
	g_hash_table_insert(
	    route->by_name, entry->name, GUINT_TO_POINTER(index + 1));
	return index;
}

static void
entry_free(route_t *route, entry_t *entry)
{
	g_hash_table_remove(route->by_name, entry->name);
	entry_clear(entry);
}

/* Resets health and cache state, as a new process now serves the name. */
static void
entry_reset(entry_t *entry, const char *url, time_us_t warm_up_started_at)
{
	g_free(entry->url);
	entry->url = g_strdup(url);
	entry->warm_up_started_at = warm_up_started_at;
	entry->ejected_until = 0;
	entry->failures = 0;
	entry->probing = false;
	entry->others_in_flight = 0;
}

static void
entry_update(
    route_t *route, const target_t *target, uint32_t slots, time_us_t now)
{
	uint32_t index_plus_one =
	    GPOINTER_TO_UINT(g_hash_table_lookup(route->by_name, target->name));
	uint32_t index = index_plus_one > 0 ? index_plus_one - 1
					    : entry_alloc(route, target->name);
	entry_t *entry = entry_at(route, index);
	bool url_changed =
	    entry->url == NULL || strcmp(entry->url, target->url) != 0;

	if (url_changed && !route->has_synced)
		entry_reset(entry, target->url, now - ROUTE_WARM_UP_US);
	else if (url_changed)
		entry_reset(entry, target->url, now);
	else if (entry->leaving && target->state == MEMBER_LIVE)
		entry->warm_up_started_at = now;
	g_free(entry->service);
	entry->service = g_strdup(target->service);
	entry->slots = slots;
	entry->total_slots = target->slots;
	entry->listed = true;
	entry->leaving = target->state == MEMBER_LEAVING;
}

static void
service_add(route_t *route, const char *name, uint32_t index)
{
	service_entry_t *service = g_hash_table_lookup(route->services, name);

	if (service == NULL) {
		service = g_new0(service_entry_t, 1);
		service->target_indexes =
		    g_array_new(FALSE, FALSE, sizeof(uint32_t));
		g_hash_table_insert(route->services, g_strdup(name), service);
	}
	g_array_append_val(service->target_indexes, index);
}

static void
services_rebuild(route_t *route)
{
	g_hash_table_remove_all(route->services);
	for (uint32_t i = 0; i < route->entries->len; i++) {
		entry_t *entry = entry_at(route, i);

		if (entry->name != NULL && entry->listed && !entry->leaving)
			service_add(route, entry->service, i);
	}
}

void
route_sync(route_t *route, const fleet_t *fleet, const char *zone,
    route_slots_t slots, void *context, time_us_t now)
{
	for (uint32_t i = 0; i < route->entries->len; i++)
		entry_at(route, i)->listed = false;
	for (size_t i = 0; i < fleet->n_targets; i++) {
		const target_t *target = &fleet->targets[i];

		if (strcmp(target->zone, zone) == 0)
			entry_update(
			    route, target, slots(target, context), now);
	}
	for (uint32_t i = 0; i < route->entries->len; i++) {
		entry_t *entry = entry_at(route, i);

		if (entry->name == NULL || entry->listed)
			continue;
		entry->leaving = true;
		if (entry->in_flight == 0)
			entry_free(route, entry);
	}
	services_rebuild(route);
	route->has_synced = true;
}

/* State of one target. */

uint32_t
route_entry_warm_slots(
    const route_t *route, const entry_t *entry, uint32_t slots, time_us_t now)
{
	time_us_t elapsed = now - entry->warm_up_started_at;

	if (!route->settings.warm_up || elapsed >= ROUTE_WARM_UP_US ||
	    slots == 0)
		return slots;
	if (elapsed < 0)
		return 1;
	return MAX(1, (uint32_t)(slots * elapsed / ROUTE_WARM_UP_US));
}

int64_t
route_entry_load(const entry_t *entry, time_us_t now)
{
	time_us_t age = now - entry->reported_at;
	int64_t own_load = (int64_t)entry->in_flight * 1000;

	if (entry->others_in_flight == 0 || age >= ROUTE_REPORT_MAX_AGE_US)
		return own_load;
	if (age < 0)
		age = 0;
	return own_load + (int64_t)entry->others_in_flight * 1000 *
			      (ROUTE_REPORT_MAX_AGE_US - age) /
			      ROUTE_REPORT_MAX_AGE_US;
}

bool
route_entry_ejected(const entry_t *entry, time_us_t now)
{
	return entry->ejected_until > now;
}

bool
route_entry_in_service(const entry_t *entry, time_us_t now)
{
	return entry->listed && !entry->leaving && entry->slots > 0 &&
	       !route_entry_ejected(entry, now);
}

bool
route_entry_free_slot(
    const route_t *route, const entry_t *entry, bool warm_limit, time_us_t now)
{
	uint32_t limit = entry->slots;

	/* After an ejection, one probe at a time until one succeeds. */
	if (entry->ejected_until != 0 && entry->probing)
		return false;
	if (warm_limit)
		limit = route_entry_warm_slots(route, entry, limit, now);
	return entry->in_flight < limit;
}

/* Running requests and health. */

bool
route_start(route_t *route, handle_t target, time_us_t now)
{
	entry_t *entry = entry_find(route, target);

	if (entry == NULL || !route_entry_in_service(entry, now) ||
	    !route_entry_free_slot(route, entry, false, now))
		return false;
	if (entry->ejected_until != 0)
		entry->probing = true;
	entry->in_flight++;
	return true;
}

static void
entry_failed(entry_t *entry, time_us_t now)
{
	/* These requests were sent before the ejection: no new evidence. */
	if (route_entry_ejected(entry, now))
		return;
	entry->failures++;
	if (entry->ejected_until != 0)
		entry->eject_duration_us =
		    MIN(entry->eject_duration_us * 2, ROUTE_EJECT_MAX_US);
	else if (entry->failures >= ROUTE_EJECT_FAILURES)
		entry->eject_duration_us = ROUTE_EJECT_US;
	else
		return;
	entry->ejected_until = now + entry->eject_duration_us;
}

static void
entry_succeeded(entry_t *entry, time_us_t now)
{
	if (route_entry_ejected(entry, now))
		return;
	entry->failures = 0;
	if (entry->ejected_until != 0)
		entry->warm_up_started_at = now;
	entry->ejected_until = 0;
}

void
route_finish(
    route_t *route, handle_t target, route_result_t result, time_us_t now)
{
	entry_t *entry = entry_find(route, target);

	if (entry == NULL || entry->in_flight == 0)
		return;
	entry->in_flight--;
	entry->probing = false;
	switch (result) {
	case ROUTE_OK:
		entry_succeeded(entry, now);
		break;
	case ROUTE_FAILED:
		entry_failed(entry, now);
		break;
	case ROUTE_CANCELLED:
		break;
	}
	if (!entry->listed && entry->in_flight == 0)
		entry_free(route, entry);
}

void
route_report(route_t *route, handle_t target, uint32_t load, time_us_t now)
{
	entry_t *entry = entry_find(route, target);

	if (entry == NULL)
		return;
	/*
	 * The report includes this instance's requests. Counting them twice
	 * would divert requests from the targets that it uses most.
	 */
	entry->others_in_flight =
	    load > entry->in_flight ? load - entry->in_flight : 0;
	entry->reported_at = now;
}

/* Queries. */

handle_t
route_find(const route_t *route, const char *name)
{
	uint32_t index_plus_one =
	    GPOINTER_TO_UINT(g_hash_table_lookup(route->by_name, name));

	if (index_plus_one == 0)
		return HANDLE_NONE;
	return handle_make(index_plus_one - 1,
	    entry_at(route, index_plus_one - 1)->generation);
}

bool
route_view(
    const route_t *route, handle_t target, time_us_t now, route_view_t *view)
{
	const entry_t *entry = entry_find(route, target);

	if (entry == NULL)
		return false;
	*view = (route_view_t){
	    .name = entry->name,
	    .service = entry->service,
	    .url = entry->url,
	    .in_flight = entry->in_flight,
	    .slots = entry->slots,
	    .usable_slots =
		route_entry_warm_slots(route, entry, entry->slots, now),
	    .load_milli = (uint32_t)route_entry_load(entry, now),
	    .listed = entry->listed,
	    .leaving = entry->leaving,
	    .ejected = route_entry_ejected(entry, now),
	};
	return true;
}

void
route_service_load(const route_t *route, const char *service,
    uint32_t *in_flight, uint32_t *slots)
{
	const service_entry_t *found =
	    g_hash_table_lookup(route->services, service);

	*in_flight = 0;
	*slots = 0;
	for (uint32_t i = 0; found != NULL && i < found->target_indexes->len;
	     i++) {
		const entry_t *entry = entry_at(
		    route, g_array_index(found->target_indexes, uint32_t, i));

		*in_flight += entry->in_flight;
		*slots += entry->slots;
	}
}

bool
route_nearly_full(const route_t *route, const char *service, time_us_t now)
{
	const service_entry_t *found =
	    g_hash_table_lookup(route->services, service);
	uint32_t running = 0;
	uint32_t slots = 0;
	uint32_t reserve;

	for (uint32_t i = 0; found != NULL && i < found->target_indexes->len;
	     i++) {
		const entry_t *entry = entry_at(
		    route, g_array_index(found->target_indexes, uint32_t, i));

		if (!route_entry_in_service(entry, now))
			continue;
		/* A new list may have lowered slots below in_flight. */
		running += MIN(entry->in_flight, entry->slots);
		slots += entry->slots;
	}
	reserve =
	    (slots + ROUTE_NEARLY_FULL_DIVISOR - 1) / ROUTE_NEARLY_FULL_DIVISOR;
	return slots >= ROUTE_NEARLY_FULL_MIN_SLOTS && running > 0 &&
	       slots - running <= reserve;
}

size_t
route_size(const route_t *route)
{
	return g_hash_table_size(route->by_name);
}

size_t
route_bytes(const route_t *route)
{
	size_t entry = sizeof(entry_t) + sizeof(candidate_t) + STRINGS_BYTES;

	return sizeof(*route) + route->entries->len * entry;
}
