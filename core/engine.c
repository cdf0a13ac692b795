#include <string.h>

#include "core/engine_private.h"

engines_t *
engines_create(
    membership_t *membership, const char *zone, int64_t process_start_s)
{
	engines_t *engines = g_new0(engines_t, 1);

	engines->membership = membership;
	engines->process_start_s = process_start_s;
	g_strlcpy(engines->zone, zone, sizeof(engines->zone));
	engines->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return engines;
}

void
engines_destroy(engines_t *engines)
{
	if (engines == NULL)
		return;
	g_hash_table_destroy(engines->targets);
	fleet_unref(engines->fleet);
	allowances_unref(engines->allowances);
	g_free(engines);
}

void
engines_set_in_flight(
    engines_t *engines, engine_in_flight_t in_flight, void *context)
{
	engines->in_flight = in_flight;
	engines->in_flight_context = context;
}

void
engines_set_faults(engines_t *engines, engine_faults_t faults)
{
	engines->faults = faults;
}

const char *
command_result_name(command_result_t result)
{
	static const char *const names[] = {
	    "done", "fenced", "failed", "unsent", "unknown"};

	return names[result];
}

static void
config_set(engine_config_t *config, const desired_t *desired)
{
	memset(config, 0, sizeof(*config));
	g_strlcpy(config->model, desired->model, sizeof(config->model));
	g_strlcpy(config->version, desired->version, sizeof(config->version));
	g_strlcpy(config->role, desired->role, sizeof(config->role));
	while (desired->adapters[config->n_adapters] != NULL &&
	       config->n_adapters < DESIRED_ADAPTER_LIMIT) {
		g_strlcpy(config->adapters[config->n_adapters],
		    desired->adapters[config->n_adapters],
		    sizeof(config->adapters[0]));
		config->n_adapters++;
	}
}

static void
target_update(engines_t *engines, const target_t *target, const char *region)
{
	const service_t *service =
	    allowances_find_service(engines->allowances, target->service);
	const desired_t *desired =
	    service == NULL ? NULL : service_find_desired(service, region);
	engine_target_t *t =
	    g_hash_table_lookup(engines->targets, target->name);
	engine_config_t config;

	if (desired == NULL || target->state != MEMBER_LIVE)
		return;
	if (t == NULL) {
		t = g_new0(engine_target_t, 1);
		g_strlcpy(t->name, target->name, sizeof(t->name));
		g_hash_table_insert(engines->targets, t->name, t);
	}
	config_set(&config, desired);
	if (memcmp(&config, &t->desired, sizeof(config)) != 0) {
		t->failures = 0;
		t->retry_at = 0;
	}
	t->desired = config;
	t->listed = true;
	t->refuses_fences = service->refuses_fences;
	g_strlcpy(t->url, target->url, sizeof(t->url));
	g_strlcpy(t->service, target->service, sizeof(t->service));
}

static gboolean
target_is_unused(gpointer name, gpointer target, gpointer now)
{
	const engine_target_t *t = target;

	return !t->listed &&
	       (t->running_fence == 0 || *(time_us_t *)now >= t->running_until);
}

static void
targets_update(engines_t *engines, time_us_t now)
{
	const zone_t *zone =
	    allowances_find_zone(engines->allowances, engines->zone);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engines->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((engine_target_t *)value)->listed = false;
	for (size_t i = 0; zone && i < engines->fleet->n_targets; i++) {
		const target_t *target = &engines->fleet->targets[i];

		if (strcmp(target->zone, engines->zone) == 0)
			target_update(engines, target, zone->region);
	}
	g_hash_table_foreach_remove(engines->targets, target_is_unused, &now);
}

void
engines_set_lists(
    engines_t *engines, fleet_t *fleet, allowances_t *allowances, time_us_t now)
{
	if (fleet == NULL || allowances == NULL)
		return;
	if (fleet != engines->fleet || allowances != engines->allowances) {
		fleet_ref(fleet);
		allowances_ref(allowances);
		fleet_unref(engines->fleet);
		allowances_unref(engines->allowances);
		engines->fleet = fleet;
		engines->allowances = allowances;
		targets_update(engines, now);
	}
	engines_update_ownership(engines, now);
}

static bool
adapters_differ(const engine_config_t *a, const engine_config_t *b)
{
	for (size_t i = 0; i < a->n_adapters; i++) {
		bool found = false;

		for (size_t k = 0; k < b->n_adapters; k++)
			found |= strcmp(a->adapters[i], b->adapters[k]) == 0;
		if (!found)
			return true;
	}
	return a->n_adapters != b->n_adapters;
}

/* Returns false when the engine is as desired. Weights are loaded before the
 * role changes. */
static bool
command_needed(const engine_target_t *t, command_kind_t *kind)
{
	const engine_config_t *actual = &t->state.config;
	const engine_config_t *desired = &t->desired;

	*kind = COMMAND_LOAD;
	if (strcmp(actual->model, desired->model) != 0 ||
	    strcmp(actual->version, desired->version) != 0 ||
	    adapters_differ(actual, desired))
		return true;
	*kind = COMMAND_ROLE;
	return strcmp(actual->role, desired->role) != 0;
}

static bool
takeover_wait_is_over(const engines_t *engines, const engine_target_t *t,
    command_kind_t kind, time_us_t now)
{
	return engines->faults.no_takeover_wait ||
	       (kind == COMMAND_ROLE && t->refuses_fences) ||
	       now >= t->owned_since + DRIFT_MARGIN(COMMAND_LIMIT_US);
}

static bool
target_is_due(const engines_t *engines, const engine_target_t *t,
    command_kind_t *kind, time_us_t now)
{
	return t->owned && t->running_fence == 0 && t->state_polled_at != 0 &&
	       now - t->state_polled_at <= 2 * ENGINE_POLL_US &&
	       !t->state.busy && now >= t->retry_at &&
	       command_needed(t, kind) &&
	       takeover_wait_is_over(engines, t, *kind, now);
}

static bool
group_is_free(const engines_t *engines, const char *group)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engines->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const engine_target_t *t = value;

		if (t->running_fence != 0 &&
		    strcmp(t->running_group, group) == 0 &&
		    !(engines->faults.no_service_limit &&
			engines->faults.no_permits))
			return false;
	}
	return true;
}

static uint32_t
target_in_flight(const engines_t *engines, const engine_target_t *t)
{
	return engines->in_flight == NULL
		   ? 0
		   : engines->in_flight(engines->in_flight_context, t->name);
}

/* Returns whether another due target of the group has fewer of this instance's
 * requests. */
static bool
other_is_preferred(
    const engines_t *engines, const engine_target_t *t, time_us_t now)
{
	uint32_t own = target_in_flight(engines, t);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engines->targets);
	while (own > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		const engine_target_t *other = value;
		command_kind_t kind;

		if (other != t && strcmp(other->group, t->group) == 0 &&
		    target_is_due(engines, other, &kind, now) &&
		    target_in_flight(engines, other) < own)
			return true;
	}
	return false;
}

static engine_action_t *
action_add(GArray *actions, const engine_target_t *t, time_us_t now)
{
	engine_action_t *action;

	g_array_set_size(actions, actions->len + 1);
	action = &g_array_index(actions, engine_action_t, actions->len - 1);
	memset(action, 0, sizeof(*action));
	g_strlcpy(action->target, t->name, sizeof(action->target));
	g_strlcpy(action->url, t->url, sizeof(action->url));
	action->decided_at = now;
	return action;
}

static void
command_start(engines_t *engines, engine_target_t *t, command_kind_t kind,
    time_us_t now, GArray *actions)
{
	engine_action_t *action = action_add(actions, t, now);

	action->kind = kind;
	action->config = t->desired;
	action->fence = engine_next_fence(engines, t);
	action->start_by = now + COMMAND_START_US;
	t->last_fence = action->fence;
	t->running_fence = action->fence;
	t->running_until = now + DRIFT_MARGIN(COMMAND_LIMIT_US);
	memcpy(t->running_group, t->group, sizeof(t->group));
}

static void
target_record_failure(
    const engines_t *engines, engine_target_t *t, time_us_t now)
{
	unsigned int doublings = MIN(t->failures, COMMAND_BACKOFF_DOUBLINGS);

	t->failures++;
	t->retry_at = engines->faults.no_retry
			  ? INT64_MAX
			  : now + (COMMAND_BACKOFF_US << doublings);
}

static void
target_poll(engine_target_t *t, time_us_t now, GArray *actions)
{
	if (!t->owned ||
	    (t->polled_at != 0 && now < t->polled_at + ENGINE_POLL_US))
		return;
	t->polled_at = now;
	action_add(actions, t, now)->poll = true;
}

void
engines_tick(engines_t *engines, time_us_t now, GArray *actions)
{
	time_us_t lease;
	GHashTableIter iter;
	gpointer value;

	engines_update_ownership(engines, now);
	lease = membership_lease_until(engines->membership, now);
	g_hash_table_iter_init(&iter, engines->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		engine_target_t *t = value;
		command_kind_t kind;

		if (t->running_fence != 0 && now >= t->running_until)
			t->running_fence = 0;
		target_poll(t, now, actions);
		if (lease - now >= DRIFT_MARGIN(COMMAND_LIMIT_US) &&
		    target_is_due(engines, t, &kind, now) &&
		    group_is_free(engines, t->group) &&
		    !other_is_preferred(engines, t, now))
			command_start(engines, t, kind, now, actions);
	}
}

void
engines_on_state(engines_t *engines, const char *target, time_us_t decided_at,
    const engine_state_t *state)
{
	engine_target_t *t = g_hash_table_lookup(engines->targets, target);

	if (t == NULL || state == NULL || t->polled_at != decided_at ||
	    state->fence > FENCE_LIMIT)
		return;
	t->state = *state;
	t->state_polled_at = decided_at;
}

void
engines_on_result(engines_t *engines, const char *target, uint64_t fence,
    command_result_t result, time_us_t now)
{
	engine_target_t *t = g_hash_table_lookup(engines->targets, target);

	if (t == NULL || t->running_fence != fence || fence == 0)
		return;
	/* The state that the engine reported before the command is outdated. */
	t->state_polled_at = 0;
	t->polled_at = 0;
	if (result != COMMAND_UNKNOWN)
		t->running_fence = 0;
	if (result == COMMAND_DONE)
		t->failures = 0;
	else
		target_record_failure(engines, t, now);
}
