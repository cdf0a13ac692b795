#include <string.h>

#include "gate_internal.h"

typedef struct {
	gate_t *gate;
	time_us_t now;
} slots_context_t;

static uint32_t
target_slots(const target_t *target, void *context)
{
	slots_context_t *slots = context;

	return membership_slots(slots->gate->membership, target, slots->now);
}

bool
gate_is_overcommitted(void *context)
{
	const gate_t *gate = context;
	const fleet_t *fleet = gate->view.fleet;

	for (size_t i = 0; fleet != NULL && i < fleet->n_targets; i++) {
		const target_t *target = &fleet->targets[i];
		route_view_t view;

		if (strcmp(target->zone, gate->zone) == 0 &&
		    route_view(gate->route,
			route_find(gate->route, target->name), 0, &view) &&
		    view.in_flight >
			membership_slots_in_window(gate->membership, target))
			return true;
	}
	return false;
}

void
gate_sync_route(gate_t *gate, time_us_t now)
{
	slots_context_t context = {gate, now};

	gate->routed_share = membership_share(gate->membership, now);
	route_sync(gate->route, gate->view.fleet, gate->zone, target_slots,
	    &context, now);
}

void
gate_sync_share(gate_t *gate, time_us_t now)
{
	if (gate->view.fleet != NULL &&
	    membership_share(gate->membership, now) != gate->routed_share)
		gate_sync_route(gate, now);
}

/* Drops the state of peers that left the fleet list. */
static void
peers_prune(gate_t *gate)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, gate->peers);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (fleet_find_instance(gate->view.fleet, name) != NULL)
			continue;
		spill_remove_instance(gate->spill, name);
		g_hash_table_iter_remove(&iter);
	}
}

static void
lists_apply(gate_t *gate, time_us_t now, GArray *actions)
{
	lists_view_clear(&gate->view);
	gate->view = lists_view(gate->lists);
	g_strlcpy(gate->region, gate_zone_region(gate, gate->zone),
	    sizeof(gate->region));
	limiter_adopt(gate->limiter, gate->view.fleet, gate->view.plans,
	    gate->view.allowances, now);
	engines_set_lists(
	    gate->engines, gate->view.fleet, gate->view.allowances, now);
	if (gate->view.fleet != NULL) {
		const instance_t *self =
		    fleet_find_instance(gate->view.fleet, gate->name);

		gate->leaving = self != NULL && self->state == MEMBER_LEAVING;
		gate_sync_route(gate, now);
		gate_count_zones(gate);
		peers_prune(gate);
	}
	if (gate->view.fleet != NULL && gate->view.allowances != NULL) {
		directory_destroy(gate->directory);
		gate->directory =
		    directory_create(gate->view.fleet, gate->view.allowances);
	}
	if (gate->view.plans != NULL && gate->view.allowances != NULL)
		gate_recheck_requests(gate, now, actions);
	/* Report it to the others at once, so that they adopt and acknowledge.
	 */
	gate->local_heartbeat_at = 0;
	gate->remote_heartbeat_at = 0;
}

lists_verdict_t
gate_list_offer(gate_t *gate, list_any_t list, time_us_t now, GArray *actions)
{
	lists_offer_t offer = lists_offer(gate->lists, list, now);
	bool changed = false;

	for (int i = 0; i < LIST_COUNT; i++)
		changed = changed || offer.changed[i];
	if (changed)
		lists_apply(gate, now, actions);
	return offer.verdict;
}

void
gate_list_refused(gate_t *gate, list_kind_t kind, const list_stamp_t *stamp)
{
	lists_mark_refused(gate->lists, kind, stamp);
}

void
gate_fetch_end(gate_t *gate, list_kind_t kind, bool got, time_us_t now)
{
	lists_fetch_end(gate->lists, kind, got, now);
}

bool
gate_list_text(const gate_t *gate, list_kind_t kind, uint64_t min_version,
    uint64_t *version, char **text, size_t *len)
{
	list_any_t list = lists_get(gate->lists, kind);
	bool found = list.head != NULL && list.head->version >= min_version;

	if (found) {
		*version = list.head->version;
		*text = g_memdup2(list.head->text, list.head->text_len + 1);
		*len = list.head->text_len;
	}
	list_any_clear(&list);
	return found;
}

void
gate_plans_held(const gate_t *gate, plans_held_t *held)
{
	lists_plans_held(gate->lists, held);
}

bool
gate_plans_missing(const gate_t *gate, const plans_held_t *held,
    plans_skip_t *part, char **text, size_t *len)
{
	const plans_t *plans = lists_plans_missing(gate->lists, held);

	if (plans == NULL)
		return false;
	*part = (plans_skip_t){
	    plans->part, plans_parts(plans), plans->head.version};
	*text = g_memdup2(plans->head.text, plans->head.text_len + 1);
	*len = plans->head.text_len;
	return true;
}

void
gate_part_refused(gate_t *gate, const plans_skip_t *part)
{
	lists_mark_part_refused(gate->lists, part);
}

static void
fetch_add(gate_t *gate, const char *peer, list_kind_t kind, uint64_t version,
    GArray *actions)
{
	gate_action_t *action = gate_action(gate, actions, ACTION_FETCH, NULL);

	g_strlcpy(action->u.fetch.peer, peer, sizeof(action->u.fetch.peer));
	action->u.fetch.list = kind;
	action->u.fetch.version = version;
}

void
gate_plans_fetch_end(gate_t *gate, const char *peer, const char *sender,
    lists_fetch_t result, time_us_t now, GArray *actions)
{
	if (lists_plans_fetch_end(gate->lists, sender, result, now))
		fetch_add(gate, peer, LIST_PLANS, 0, actions);
}

static void
peer_append(GArray *peers, const char *name, const char *address)
{
	gate_peer_t peer;

	g_strlcpy(peer.name, name, sizeof(peer.name));
	g_strlcpy(peer.address, address, sizeof(peer.address));
	g_array_append_val(peers, peer);
}

GArray *
gate_peers(const gate_t *gate)
{
	GArray *peers = g_array_new(FALSE, FALSE, sizeof(gate_peer_t));
	const fleet_t *fleet = gate->view.fleet;

	if (fleet == NULL) {
		for (char **seed = gate->seeds; seed != NULL && *seed; seed++)
			peer_append(peers, *seed, *seed);
		return peers;
	}
	for (size_t i = 0; i < fleet->n_instances; i++) {
		const instance_t *instance = &fleet->instances[i];

		if (strcmp(instance->name, gate->name) != 0)
			peer_append(peers, instance->name, instance->peer);
	}
	return peers;
}

static bool
peer_in_region(const gate_t *gate, const char *peer)
{
	const instance_t *instance = NULL;

	if (gate->view.fleet != NULL)
		instance = fleet_find_instance(gate->view.fleet, peer);
	return instance != NULL && gate->region[0] != '\0' &&
	       strcmp(gate_zone_region(gate, instance->zone), gate->region) ==
		   0;
}

static bool
peer_in_zone(const gate_t *gate, const char *peer)
{
	const instance_t *instance = NULL;

	if (gate->view.fleet != NULL)
		instance = fleet_find_instance(gate->view.fleet, peer);
	return instance != NULL && strcmp(instance->zone, gate->zone) == 0;
}

static void
load_fill(gate_t *gate, heartbeat_t *out)
{
	const allowances_t *allowances = gate->view.allowances;

	if (allowances == NULL)
		return;
	for (size_t i = 0;
	     i < allowances->n_services && out->n_load < HEARTBEAT_LOAD_LIMIT;
	     i++) {
		service_load_t *load = &out->load[out->n_load];
		const char *service = allowances->services[i].name;
		queue_t *queue = g_hash_table_lookup(gate->queues, service);

		route_service_load(
		    gate->route, service, &load->in_flight, &load->slots);
		if (load->slots == 0)
			continue;
		g_strlcpy(load->service, service, sizeof(load->service));
		load->queued = queue ? queue_length(queue) : 0;
		out->n_load++;
	}
}

/* Fills the fields that this file provides, in requests and replies. */
static void
state_fill(gate_t *gate, const char *peer, heartbeat_t *out, time_us_t now)
{
	out->ready = gate_is_ready(gate, now);
	out->draining = gate_is_draining(gate);
	out->n_load = 0;
	/* Only other zones forward requests, so only they need the load. */
	if (!out->brief && !peer_in_zone(gate, peer))
		load_fill(gate, out);
	out->n_poison = 0;
	/* Like content, its digest must not leave a team's home region. */
	if (peer_in_region(gate, peer))
		poison_fill(gate->poison, out, now);
	else
		poison_fill_remote(gate->poison, out, now);
}

void
gate_heartbeat_fill(
    gate_t *gate, const char *peer, heartbeat_t *out, time_us_t now)
{
	const instance_t *instance;

	memset(out, 0, sizeof(*out));
	membership_fill(gate->membership, out, now);
	lists_fill_adopted(gate->lists, out);
	instance = gate->view.fleet == NULL
		       ? NULL
		       : fleet_find_instance(gate->view.fleet, peer);
	out->brief = instance != NULL &&
		     strcmp(instance->zone, gate->zone) != 0 &&
		     !gate_claim_load_report(gate, instance->zone, now);
	state_fill(gate, peer, out, now);
}

static void
lists_fetch(gate_t *gate, const char *address, const heartbeat_t *in,
    time_us_t now, GArray *actions)
{
	lists_wanted_t wanted = lists_on_heartbeat(gate->lists, in, now);

	for (int i = 0; i < LIST_COUNT; i++) {
		if (wanted.fetch[i])
			fetch_add(gate, address, (list_kind_t)i,
			    in->adopted[i].version, actions);
	}
}

/* Records the state that a peer reports in a request or a reply. */
static void
peer_update(gate_t *gate, const heartbeat_t *in, time_us_t now)
{
	peer_state_t *peer = g_hash_table_lookup(gate->peers, in->sender);

	if (peer == NULL) {
		peer = g_new0(peer_state_t, 1);
		g_hash_table_insert(gate->peers, g_strdup(in->sender), peer);
	}
	peer->ready = in->ready;
	peer->draining = in->draining;
	peer->reachable = true;
	spill_record_load(gate->spill, in, now);
	poison_merge(gate->poison, in, now);
}

void
gate_on_heartbeat(gate_t *gate, const heartbeat_t *in, heartbeat_t *reply,
    time_us_t now, GArray *actions)
{
	peer_update(gate, in, now);
	/* Only listed instances have a connection by their name. Before the
	 * fleet list is received, lists are fetched from seeds that reply. */
	if (gate->view.fleet != NULL &&
	    fleet_find_instance(gate->view.fleet, in->sender) != NULL)
		lists_fetch(gate, in->sender, in, now, actions);
	else
		lists_record_peer(gate->lists, in, now);
	membership_on_heartbeat(gate->membership, in, reply, now);
	gate_query_sender(gate, in, now, actions);
	lists_fill_adopted(gate->lists, reply);
	reply->brief = in->brief;
	state_fill(gate, in->sender, reply, now);
}

void
gate_on_reply(gate_t *gate, const char *name, const heartbeat_t *reply,
    time_us_t now, GArray *actions)
{
	peer_state_t *peer;

	if (reply == NULL) {
		peer = g_hash_table_lookup(gate->peers, name);
		if (peer != NULL)
			peer->reachable = false;
		spill_remove_instance(gate->spill, name);
		return;
	}
	peer_update(gate, reply, now);
	lists_fetch(gate, name, reply, now, actions);
	membership_on_reply(gate->membership, reply, now);
}

void
gate_request_loan(
    gate_t *gate, const char *team, time_us_t now, GArray *actions)
{
	outgoing_loan_request_t outgoing;
	gate_action_t *action;

	if (!limiter_wants_loan(gate->limiter, team, now, &outgoing))
		return;
	if (outgoing.lender[0] == '\0' &&
	    !gate_choose_lender(gate, team, outgoing.lender))
		return;
	action = gate_action(gate, actions, ACTION_BORROW, NULL);
	g_strlcpy(action->u.borrow.peer, outgoing.lender,
	    sizeof(action->u.borrow.peer));
	action->u.borrow.request = outgoing.request;
}

void
gate_on_borrow(gate_t *gate, const loan_request_t *request, time_us_t now,
    loan_grant_t *grant)
{
	memset(grant, 0, sizeof(*grant));
	if (gate_is_ready(gate, now))
		limiter_lend(gate->limiter, request, now, grant);
}

void
gate_on_grant(
    gate_t *gate, const loan_grant_t *grant, time_us_t now, GArray *actions)
{
	gate_sync_share(gate, now);
	limiter_on_grant(gate->limiter, grant, now);
	gate_retry_token_waiters(gate, now, actions);
}

void
gate_on_return(gate_t *gate, const loan_return_t *message, time_us_t now)
{
	limiter_on_return(gate->limiter, message, now);
}
