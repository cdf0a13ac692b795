#include <string.h>

#include "gate_internal.h"

/*
 * A new instance is not ready before it has a share of its own, because until
 * then it could only refuse or borrow. The max wait is the time for which its
 * predecessor may have lent, plus two intervals of heartbeats to other zones.
 */
#define SHARE_MAX_WAIT_US (DRIFT_MARGIN(LOAN_US) + 10 * US_PER_S)

/* Typical ratio of bytes to tokens, to estimate the traffic of a forward. */
#define BYTES_PER_TOKEN 4

void
gate_list_versions(const gate_t *gate, uint64_t versions[LIST_COUNT])
{
	for (int i = 0; i < LIST_COUNT; i++)
		versions[i] = lists_version(gate->lists, (list_kind_t)i);
}

bool
gate_find_key(const gate_t *gate, const uint8_t key_hash[KEY_HASH_BYTES],
    char team[NAME_LIMIT + 1], char key_id[NAME_LIMIT + 1])
{
	const key_owner_t *owner;

	if (gate->view.plans == NULL)
		return false;
	owner = plans_find_key(gate->view.plans, key_hash);
	if (owner == NULL)
		return false;
	g_strlcpy(team, owner->team->name, NAME_LIMIT + 1);
	g_strlcpy(key_id, owner->key->id, NAME_LIMIT + 1);
	return true;
}

bool
gate_team_is_local(const gate_t *gate, const char *name)
{
	const team_t *team =
	    gate->view.plans ? plans_find_team(gate->view.plans, name) : NULL;

	return team == NULL || team->home == NULL ||
	       strcmp(team->home, gate->region) == 0;
}

bool
gate_ticket(
    gate_t *gate, const char *team, int64_t wall_s, char out[TICKET_LIMIT])
{
	if (gate_is_draining(gate))
		return false;
	return order_ticket_issue(gate->orders, team, gate_random(gate),
	    wall_s + ORDER_TICKET_TTL_S, out, TICKET_LIMIT);
}

bool
gate_is_ready(gate_t *gate, time_us_t now)
{
	if (!lists_ready(gate->lists, now))
		return false;
	if (!gate->share_wait_over)
		gate->share_wait_over =
		    now - gate->started_at > SHARE_MAX_WAIT_US ||
		    (membership_share(gate->membership, now) > 0 &&
			membership_is_settled(gate->membership, LIST_PLANS,
			    lists_version(gate->lists, LIST_PLANS)));
	if (gate->share_wait_over)
		gate_sync_share(gate, now);
	return gate->share_wait_over;
}

bool
gate_is_draining(const gate_t *gate)
{
	return gate->draining || gate->leaving;
}

bool
gate_share_is_released(const gate_t *gate)
{
	const fleet_t *fleet = gate->view.fleet;
	const instance_t *self =
	    fleet ? fleet_find_instance(fleet, gate->name) : NULL;

	if (fleet == NULL)
		return true;
	return (self == NULL || self->state == MEMBER_LEAVING) &&
	       gate->progress[LIST_FLEET] == fleet->head.version;
}

void
gate_drain(gate_t *gate)
{
	gate->draining = true;
}

size_t
gate_n_requests(const gate_t *gate)
{
	return gate->n_requests;
}

static directory_state_t
instance_state(const instance_t *instance, void *context)
{
	const gate_t *gate = context;
	const peer_state_t *peer;

	if (strcmp(instance->name, gate->name) == 0)
		return gate_is_draining(gate) ? DIRECTORY_LEAVING
					      : DIRECTORY_READY;
	peer = g_hash_table_lookup(gate->peers, instance->name);
	if (peer == NULL || !peer->reachable)
		return DIRECTORY_UNREACHABLE;
	if (peer->draining)
		return DIRECTORY_LEAVING;
	return peer->ready ? DIRECTORY_READY : DIRECTORY_NOT_READY;
}

/* Returns the regions that the team's plan allows for any service,
 * NULL-terminated. */
static GPtrArray *
plan_regions(const gate_t *gate, const team_t *team)
{
	const plan_t *plan =
	    allowances_find_plan(gate->view.allowances, team->plan);
	GPtrArray *regions = g_ptr_array_new();

	for (size_t i = 0; plan != NULL && i < plan->n_use; i++) {
		for (char **region = plan->use[i].regions; *region; region++)
			g_ptr_array_add(regions, *region);
	}
	g_ptr_array_add(regions, NULL);
	return regions;
}

size_t
gate_directory(gate_t *gate, const char *team_name, const char *region,
    time_us_t now, gate_endpoint_t *endpoints, size_t limit)
{
	const instance_t **found = g_newa(const instance_t *, limit);
	directory_query_t query = {.team = team_name ? team_name : "",
	    .preferred_region = region ? region : gate->region,
	    .state_of = instance_state,
	    .context = gate};
	g_autoptr(GPtrArray) regions = NULL;
	const team_t *team = NULL;
	size_t n;

	if (gate->directory == NULL || gate->view.plans == NULL)
		return 0;
	if (team_name != NULL)
		team = plans_find_team(gate->view.plans, team_name);
	if (team != NULL) {
		regions = plan_regions(gate, team);
		query.home = team->home;
		query.regions = (char *const *)regions->pdata;
	}
	n = directory_order(gate->directory, &query, found, limit);
	for (size_t i = 0; i < n; i++) {
		g_strlcpy(endpoints[i].name, found[i]->name, NAME_LIMIT + 1);
		g_strlcpy(endpoints[i].zone, found[i]->zone, NAME_LIMIT + 1);
		g_strlcpy(endpoints[i].http, found[i]->http, NAME_LIMIT + 1);
		g_strlcpy(endpoints[i].region,
		    gate_zone_region(gate, found[i]->zone), NAME_LIMIT + 1);
	}
	return n;
}

bool
gate_spill(gate_t *gate, const gate_request_t *request, bool local,
    time_us_t now, char instance[NAME_LIMIT + 1])
{
	const team_t *team = plans_find_team(gate->view.plans, request->team);
	const plan_t *plan = NULL;
	const plan_use_t *use = NULL;
	queue_request_t entry = gate_queue_request(gate, request);
	spill_query_t query = {.service = request->service,
	    .zone = gate->zone,
	    .bytes = request->body.cost * BYTES_PER_TOKEN,
	    .local_wait = INT64_MAX};
	spill_choice_t choice;

	if (team != NULL)
		plan = allowances_find_plan(gate->view.allowances, team->plan);
	if (plan != NULL)
		use = plan_find_use(plan, request->service);
	if (use == NULL)
		return false;
	query.home = team->home;
	query.regions = use->regions;
	if (local)
		query.local_wait = queue_expected_wait(
		    gate_queue(gate, request->service), &entry, now);
	choice = spill_decide(
	    gate->spill, gate->view.allowances, &query, gate_random(gate), now);
	if (choice.verdict == SPILL_LOCAL ||
	    fleet_find_instance(gate->view.fleet, choice.instance) == NULL)
		return false;
	g_strlcpy(instance, choice.instance, NAME_LIMIT + 1);
	return true;
}

bool
gate_choose_lender(
    gate_t *gate, const char *team_name, char lender[NAME_LIMIT + 1])
{
	const fleet_t *fleet = gate->view.fleet;
	const team_t *team = plans_find_team(gate->view.plans, team_name);

	if (fleet == NULL || team == NULL)
		return false;
	for (size_t i = 0; i < fleet->n_instances; i++) {
		const instance_t *instance =
		    &fleet->instances[gate->next_lender++ % fleet->n_instances];
		const char *region = gate_zone_region(gate, instance->zone);

		if (instance_state(instance, gate) != DIRECTORY_READY ||
		    strcmp(instance->name, gate->name) == 0 ||
		    (team->home != NULL && strcmp(team->home, region) != 0))
			continue;
		g_strlcpy(lender, instance->name, NAME_LIMIT + 1);
		return true;
	}
	return false;
}

static void
explain_team(gate_t *gate, const team_t *team, time_us_t now, GString *text)
{
	const plan_t *plan =
	    allowances_find_plan(gate->view.allowances, team->plan);

	g_string_append_printf(text,
	    "plan: %s, rate %" G_GINT64_FORMAT
	    " tokens/s, burst %" G_GINT64_FORMAT " tokens, priority %d\n"
	    "home: %s\n",
	    team->plan, plan->rate, plan->burst, plan->priority,
	    team->home ? team->home : "none");
	g_string_append_printf(text,
	    "share in use here: %.4f, of it borrowed: %.4f, lent: %.4f\n"
	    "demand here: %.1f tokens/s\n",
	    (double)limiter_in_use(gate->limiter, team->name, now) / SHARE_ONE,
	    (double)limiter_borrowed(gate->limiter, team->name, now) /
		SHARE_ONE,
	    (double)limiter_lent(gate->limiter, team->name, now) / SHARE_ONE,
	    limiter_demand(gate->limiter, team->name, now));
}

static void
explain_route(gate_t *gate, const char *service, time_us_t now, GString *text)
{
	route_choice_t choice =
	    route_pick(gate->route, service, 0, HANDLE_NONE, 0, now);
	queue_t *queue = g_hash_table_lookup(gate->queues, service);
	route_view_t view;
	uint32_t in_flight;
	uint32_t slots;

	route_service_load(gate->route, service, &in_flight, &slots);
	g_string_append_printf(text,
	    "targets here: %u of %u own slots in use, %u requests wait\n",
	    in_flight, slots, queue ? queue_length(queue) : 0);
	if (choice.verdict == ROUTE_PICKED &&
	    route_view(gate->route, choice.target, now, &view))
		g_string_append_printf(
		    text, "next target: %s at %s\n", view.name, view.url);
	else
		g_string_append(text, choice.verdict == ROUTE_ALL_FULL
					  ? "next target: none, all are full\n"
					  : "next target: none in this zone\n");
}

static void
explain_agreement(gate_t *gate, time_us_t now, GString *text)
{
	g_string_append(text, "agreed by all that divide the rates:");
	for (int i = 0; i < LIST_COUNT; i++) {
		list_kind_t kind = (list_kind_t)i;
		bool settled = membership_is_settled(
		    gate->membership, kind, lists_version(gate->lists, kind));

		g_string_append_printf(text, " %s %s", list_kind_name(kind),
		    settled ? "yes" : "no");
	}
	g_string_append_printf(text, "\nown share of the zone: %.4f\n",
	    (double)membership_share(gate->membership, now) / SHARE_ONE);
}

void
gate_explain(gate_t *gate, const char *team_name, const char *service,
    time_us_t now, GString *text)
{
	gate_request_t request = {.forwarded = true};
	const team_t *team;
	refusal_t reason;

	if (!gate_is_ready(gate, now)) {
		g_string_append(text, "answer: refused (starting)\n");
		return;
	}
	g_string_append_printf(text,
	    "instance: %s, zone %s, region %s, lease: %s\n"
	    "lists: plans %" G_GUINT64_FORMAT ", allowances %" G_GUINT64_FORMAT
	    ", fleet %" G_GUINT64_FORMAT "\n",
	    gate->name, gate->zone, gate->region,
	    membership_has_lease(gate->membership, now) ? "yes" : "no",
	    lists_version(gate->lists, LIST_PLANS),
	    lists_version(gate->lists, LIST_ALLOWANCES),
	    lists_version(gate->lists, LIST_FLEET));
	explain_agreement(gate, now, text);
	team = plans_find_team(gate->view.plans, team_name);
	if (team != NULL)
		explain_team(gate, team, now, text);
	g_strlcpy(request.team, team_name, sizeof(request.team));
	g_strlcpy(request.service, service, sizeof(request.service));
	reason = gate_check_rules(gate, &request);
	if (reason != REFUSAL_NONE) {
		g_string_append_printf(text,
		    "answer: refused (%s): %s\nremedy: %s\n",
		    refusal_info(reason)->code, refusal_info(reason)->message,
		    refusal_info(reason)->remedy);
		return;
	}
	g_string_append(text, "answer: allowed by the lists\n");
	explain_route(gate, service, now, text);
}
