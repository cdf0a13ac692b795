#include "share_world.h"

#include "share_lists.h"

#define RATE 1000
#define BURST 2000

const char *
world_team(int team)
{
	static const char *const names[WORLD_TEAMS] = {"t0", "t1", "t2"};

	return names[team];
}

static double
chance(world_t *w)
{
	return g_rand_double(w->rand);
}

static int
below(world_t *w, int n)
{
	return g_rand_int_range(w->rand, 0, n);
}

time_us_t
process_clock(const world_t *w, const process_t *p)
{
	return p->offset + w->now + w->now / 1000000 * p->drift;
}

bool
process_runs(const world_t *w, const process_t *p)
{
	return p->alive && w->now >= p->paused_until;
}

static int
name_zone(int name)
{
	return name % WORLD_ZONES;
}

static void
name_text(int name, char text[8])
{
	g_snprintf(text, 8, "i%d", name);
}

static int
name_index(const char *text)
{
	return atoi(text + 1);
}

static void
fleet_publish(world_t *w, const member_state_t state[WORLD_NAMES])
{
	int v = w->n_fleets;

	if (v == WORLD_LISTS)
		return;
	w->fleets[v] = fleet_build((uint64_t)v + 1, WORLD_NAMES);
	for (int name = 0; name < WORLD_NAMES; name++) {
		char text[8], zone[8];

		w->listed[v][name] = state[name];
		if (state[name] == WORLD_UNLISTED)
			continue;
		name_text(name, text);
		g_snprintf(zone, sizeof(zone), "z%d", name_zone(name));
		fleet_put(w->fleets[v], text, zone, state[name]);
	}
	w->n_fleets++;
}

/* Team t0 has no home, t1 has one that changes, t2 has none and isn't always
 * listed. */
static void
pair_publish(world_t *w, bool first)
{
	int k = w->n_pairs;
	uint32_t weights[WORLD_ZONES] = {1, 1, 1};
	uint64_t plans = 1, allowances = 1;
	uint32_t mask = 7;
	char spec[64];
	bool both = chance(w) < 0.3;
	bool one = chance(w) < 0.5;

	if (k == WORLD_LISTS)
		return;
	if (!first) {
		plans = w->plans[k - 1]->head.version + (both || one);
		allowances =
		    w->allowances[k - 1]->head.version + (both || !one);
		for (int z = 0; z < WORLD_ZONES; z++)
			weights[z] = (uint32_t)below(w, 4);
		mask = (uint32_t)below(w, 7) + 1;
	}
	g_snprintf(spec, sizeof(spec), "t0:- t1:r%d%s", below(w, WORLD_ZONES),
	    first || chance(w) < 0.8 ? " t2:-" : "");
	w->plans[k] = !first && !both && !one ? plans_ref(w->plans[k - 1])
					      : plans_build(plans, spec);
	w->allowances[k] = !first && !both && one
			       ? allowances_ref(w->allowances[k - 1])
			       : allowances_build(allowances, weights,
				     WORLD_ZONES, mask, RATE, BURST);
	w->n_pairs++;
}

static void
process_start(world_t *w, int name)
{
	process_t *p = &w->processes[w->n_processes];
	incarnation_t incarnation = ((uint64_t)g_rand_int(w->rand) << 32) + 7;
	char text[8], zone[8];

	if (w->n_processes == WORLD_PROCESSES)
		return;
	memset(p, 0, sizeof(*p));
	p->name = name;
	p->alive = true;
	p->offset = (1 + below(w, 1000)) * US_PER_S;
	p->drift = below(w, 8001) - 4000;
	p->fleet = p->pair = -1;
	name_text(name, text);
	g_snprintf(zone, sizeof(zone), "z%d", name_zone(name));
	p->m = membership_create(text, zone, incarnation, process_clock(w, p));
	p->a = limiter_create(p->m, text, incarnation);
	membership_set_faults(p->m, w->options.faults);
	w->current[name] = w->n_processes++;
}

static void
process_stop(process_t *p)
{
	if (!p->alive)
		return;
	p->alive = false;
	limiter_destroy(p->a);
	membership_destroy(p->m);
}

world_t *
world_create(uint32_t seed, world_options_t options)
{
	world_t *w = g_new0(world_t, 1);
	member_state_t state[WORLD_NAMES];

	w->options = options;
	w->rand = g_rand_new_with_seed(seed);
	w->now = US_PER_S;
	w->partition_name = -1;
	w->open = g_array_new(FALSE, FALSE, sizeof(open_t));
	w->accepted =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	w->violation = g_string_new(NULL);
	for (int i = 0; i < WORLD_TEAMS; i++)
		w->admissions[i] =
		    g_array_new(FALSE, FALSE, sizeof(admission_t));
	for (int i = 0; i < WORLD_QUEUES; i++)
		w->queues[i] = g_ptr_array_new_with_free_func(g_free);
	for (int name = 0; name < WORLD_NAMES; name++) {
		int rank = name / WORLD_ZONES;

		w->current[name] = -1;
		state[name] = rank < 2 || (rank == 2 && chance(w) < 0.4)
				  ? MEMBER_LIVE
				  : WORLD_UNLISTED;
		if (name_zone(name) == 0 && rank > 0 && chance(w) < 0.3)
			state[name] = WORLD_UNLISTED;
		if (state[name] == MEMBER_LIVE)
			process_start(w, name);
	}
	fleet_publish(w, state);
	pair_publish(w, true);
	return w;
}

void
world_destroy(world_t *w)
{
	for (int i = 0; i < w->n_processes; i++)
		process_stop(&w->processes[i]);
	for (int i = 0; i < w->n_fleets; i++)
		fleet_unref(w->fleets[i]);
	for (int i = 0; i < w->n_pairs; i++) {
		plans_unref(w->plans[i]);
		allowances_unref(w->allowances[i]);
	}
	for (int i = 0; i < WORLD_TEAMS; i++)
		g_array_free(w->admissions[i], TRUE);
	for (int i = 0; i < WORLD_QUEUES; i++)
		g_ptr_array_free(w->queues[i], TRUE);
	g_array_free(w->open, TRUE);
	g_hash_table_destroy(w->accepted);
	g_string_free(w->violation, TRUE);
	g_rand_free(w->rand);
	g_free(w);
}

static bool
names_are_partitioned(const world_t *w, int a, int b)
{
	bool outside = ((w->partition_zones >> name_zone(a)) ^
			   (w->partition_zones >> name_zone(b))) &
		       1U;

	if (w->now >= w->partition_until)
		return false;
	if (w->partition_name >= 0)
		return (a == w->partition_name && b != w->partition_peer) ||
		       (b == w->partition_name && a != w->partition_peer);
	return outside;
}

static size_t
message_delay(world_t *w, const message_t *message)
{
	int from = name_zone(w->processes[message->from].name);
	int to = name_zone(w->processes[message->to].name);

	if (w->options.region_delay > 0)
		return from == to ? 1
				  : (size_t)(w->options.region_delay /
					     w->options.step);
	if (chance(w) < w->options.late)
		return (size_t)below(w, WORLD_QUEUES - 2) + 1;
	return (size_t)below(w, 2) + 1;
}

static void
message_enqueue(world_t *w, const message_t *message)
{
	int copies = chance(w) < w->options.repeat ? 2 : 1;

	if (chance(w) < w->options.lose)
		return;
	for (int i = 0; i < copies; i++) {
		size_t at =
		    (w->queue + message_delay(w, message)) % WORLD_QUEUES;

		g_ptr_array_add(
		    w->queues[at], g_memdup2(message, sizeof(*message)));
	}
}

static void
message_send(world_t *w, message_t *message, int from, int to)
{
	if (to < 0 || names_are_partitioned(
			  w, w->processes[from].name, w->processes[to].name))
		return;
	message->from = from;
	message->to = to;
	message_enqueue(w, message);
}

static void
process_adopt(world_t *w, process_t *p, int fleet, int pair)
{
	fleet_t *f = fleet > p->fleet ? w->fleets[fleet] : NULL;
	bool newer = pair > p->pair;

	if (f == NULL && !newer)
		return;
	limiter_adopt(p->a, f, newer ? w->plans[pair] : NULL,
	    newer ? w->allowances[pair] : NULL, process_clock(w, p));
	p->fleet = MAX(p->fleet, fleet);
	p->pair = MAX(p->pair, pair);
	if (w->adopted != NULL)
		w->adopted(w->adopted_context, (int)(p - w->processes));
}

static int
pair_index(const world_t *w, const heartbeat_t *message)
{
	for (int k = w->n_pairs - 1; k >= 0; k--) {
		if (w->plans[k]->head.version ==
			message->adopted[LIST_PLANS].version &&
		    w->allowances[k]->head.version ==
			message->adopted[LIST_ALLOWANCES].version)
			return k;
	}
	return -1;
}

/* Replaces FETCH_LIST: adopts newer lists that the sender has adopted. */
static void
process_fetch_lists(world_t *w, process_t *p, const heartbeat_t *message)
{
	if (!w->options.slow_lists && chance(w) < 0.6)
		process_adopt(w, p,
		    (int)message->adopted[LIST_FLEET].version - 1,
		    pair_index(w, message));
}

static void
grant_receive(world_t *w, process_t *p, loan_grant_t *grant)
{
	gint64 id = (gint64)grant->loan_id;

	if (w->options.double_count && g_hash_table_contains(w->accepted, &id))
		grant->loan_id += 1U << 20;
	limiter_on_grant(p->a, grant, process_clock(w, p));
	if (grant->loan_id != 0)
		g_hash_table_add(w->accepted, g_memdup2(&id, sizeof(id)));
}

static void
borrow_receive(world_t *w, const message_t *message)
{
	process_t *p = &w->processes[message->to];
	message_t out = {.kind = MESSAGE_GRANT};

	limiter_lend(
	    p->a, &message->body.borrow, process_clock(w, p), &out.body.grant);
	w->n_loans += out.body.grant.loan_id != 0;
	message_send(w, &out, message->to, message->from);
	out.kind = MESSAGE_RETURN;
	if (limiter_return(p->a, message->body.borrow.team,
		message->body.borrow.borrower, process_clock(w, p),
		&out.body.back))
		message_send(w, &out, message->to,
		    w->current[name_index(out.body.back.lender)]);
}

static void
message_deliver(world_t *w, message_t *message)
{
	process_t *p = &w->processes[message->to];
	time_us_t clock = process_clock(w, p);
	message_t out = {.kind = MESSAGE_REPLY};

	if (!process_runs(w, p))
		return;
	switch (message->kind) {
	case MESSAGE_REQUEST:
		process_fetch_lists(w, p, &message->body.heartbeat);
		membership_on_heartbeat(
		    p->m, &message->body.heartbeat, &out.body.heartbeat, clock);
		message_send(w, &out, message->to, message->from);
		break;
	case MESSAGE_REPLY:
		process_fetch_lists(w, p, &message->body.heartbeat);
		membership_on_reply(p->m, &message->body.heartbeat, clock);
		break;
	case MESSAGE_BORROW:
		borrow_receive(w, message);
		break;
	case MESSAGE_GRANT:
		grant_receive(w, p, &message->body.grant);
		break;
	case MESSAGE_RETURN:
		limiter_on_return(p->a, &message->body.back, clock);
		break;
	}
}

static void
process_send_heartbeats(world_t *w, int index)
{
	process_t *p = &w->processes[index];
	bool due[2] = {
	    w->now >= p->heartbeat_at[0], w->now >= p->heartbeat_at[1]};
	message_t message = {.kind = MESSAGE_REQUEST};

	if (p->fleet < 0 || (!due[0] && !due[1]))
		return;
	membership_fill(p->m, &message.body.heartbeat, process_clock(w, p));
	for (int name = 0; name < WORLD_NAMES; name++) {
		int remote = name_zone(name) != name_zone(p->name);

		if (remote && w->options.one_of_zone &&
		    name / WORLD_ZONES != p->turn % (WORLD_NAMES / WORLD_ZONES))
			continue;
		if (due[remote] && name != p->name &&
		    w->listed[p->fleet][name] != WORLD_UNLISTED)
			message_send(w, &message, index, w->current[name]);
	}
	p->turn += due[1];
	if (due[0])
		p->heartbeat_at[0] =
		    w->now + w->options.zone_heartbeat_interval;
	if (due[1])
		p->heartbeat_at[1] =
		    w->now + w->options.remote_heartbeat_interval;
}

bool
world_borrow(world_t *w, int index, int team)
{
	process_t *p = &w->processes[index];
	message_t message = {.kind = MESSAGE_BORROW};
	outgoing_loan_request_t ask;
	int name;

	if (p->fleet < 0 || !limiter_wants_loan(p->a, world_team(team),
				process_clock(w, p), &ask))
		return false;
	message.body.borrow = ask.request;
	name = ask.lender[0] != '\0' ? name_index(ask.lender) : -1;
	for (int tries = 0; name < 0 && tries < WORLD_NAMES; tries++) {
		p->next_lender = (p->next_lender + 1) % WORLD_NAMES;
		if (p->next_lender != p->name &&
		    w->listed[p->fleet][p->next_lender] == MEMBER_LIVE)
			name = p->next_lender;
	}
	if (name >= 0)
		message_send(w, &message, index, w->current[name]);
	return true;
}

static void
process_serve(world_t *w, int index, int team)
{
	process_t *p = &w->processes[index];
	time_us_t clock = process_clock(w, p);
	int64_t tokens = 1 + below(w, 400);
	limiter_result_t result =
	    limiter_reserve(p->a, world_team(team), tokens, true, clock);
	admission_t admission = {w->now, tokens};
	open_t open = {
	    index, team, w->admissions[team]->len, result.reservation};

	w->n_tried++;
	if (result.verdict == LIMITER_ADMITTED) {
		w->n_admitted++;
		g_array_append_val(w->admissions[team], admission);
		g_array_append_val(w->open, open);
	}
	world_borrow(w, index, team);
}

static void
open_settle(world_t *w)
{
	guint i = (guint)below(w, (int)w->open->len);
	open_t *open = &g_array_index(w->open, open_t, i);
	process_t *p = &w->processes[open->process];
	admission_t *admission = &g_array_index(
	    w->admissions[open->team], admission_t, open->admission);
	int64_t used = admission->cost / (1 + below(w, 4));

	if (p->alive && !process_runs(w, p))
		return;
	if (p->alive) {
		admission->cost = used;
		limiter_settle(p->a, world_team(open->team), &open->reservation,
		    used, process_clock(w, p));
	}
	g_array_remove_index_fast(w->open, i);
}

/* Publishes a fleet list without an instance, as the platform does for one that
 * no longer answers. */
static void
fleet_remove(world_t *w, int name)
{
	member_state_t state[WORLD_NAMES];

	memcpy(state, w->listed[w->n_fleets - 1], sizeof(state));
	state[name] = WORLD_UNLISTED;
	fleet_publish(w, state);
}

static void
fleet_change(world_t *w)
{
	member_state_t state[WORLD_NAMES];
	int name = below(w, WORLD_NAMES);
	int current = w->current[name];
	bool runs = current >= 0 && process_runs(w, &w->processes[current]);

	memcpy(state, w->listed[w->n_fleets - 1], sizeof(state));
	if (state[name] == WORLD_UNLISTED || state[name] == MEMBER_LEAVING) {
		state[name] = state[name] == WORLD_UNLISTED || chance(w) < 0.3
				  ? MEMBER_LIVE
				  : WORLD_UNLISTED;
		if (current < 0 || !w->processes[current].alive)
			process_start(w, name);
	} else {
		state[name] =
		    runs && chance(w) < 0.5 ? MEMBER_LEAVING : WORLD_UNLISTED;
	}
	fleet_publish(w, state);
}

static void
process_inject_fault(world_t *w)
{
	process_t *p = &w->processes[below(w, w->n_processes)];

	if (!process_runs(w, p))
		return;
	if (chance(w) < w->options.crash) {
		process_stop(p);
		if (chance(w) < 0.5)
			w->remove_at[p->name] =
			    w->now + below(w, 20) * US_PER_S;
		else
			w->restart_at[p->name] =
			    w->now + below(w, 20) * US_PER_S;
	} else if (chance(w) < w->options.pause) {
		p->paused_until = w->now + below(w, 100) * US_PER_S;
		if (chance(w) < 0.5)
			w->remove_at[p->name] =
			    w->now + below(w, 20) * US_PER_S;
	}
}

void
world_stop_process(world_t *w, int process, time_us_t after)
{
	process_t *p = &w->processes[process];

	process_stop(p);
	w->remove_at[p->name] = w->now + after;
}

static void
network_partition(world_t *w)
{
	int n = WORLD_NAMES;

	w->partition_until = w->now + below(w, 90) * US_PER_S;
	w->partition_zones = 1U << below(w, WORLD_ZONES);
	w->partition_name = chance(w) < 0.5 ? below(w, n) : -1;
	w->partition_peer =
	    chance(w) < 0.5
		? (w->partition_name + WORLD_ZONES * (1 + below(w, 3))) % n
		: -1;
}

static void
world_inject_faults(world_t *w)
{
	const world_options_t *k = &w->options;

	if (chance(w) < k->list)
		fleet_change(w);
	if (chance(w) < k->pair)
		pair_publish(w, false);
	if (k->crash > 0 || k->pause > 0)
		process_inject_fault(w);
	if (w->now >= w->partition_until && chance(w) < k->partition)
		network_partition(w);
	for (int name = 0; name < WORLD_NAMES; name++) {
		int current = w->current[name];

		if (w->restart_at[name] != 0 && w->now >= w->restart_at[name]) {
			w->restart_at[name] = 0;
			if (current < 0 || !w->processes[current].alive)
				process_start(w, name);
		}
		if (w->remove_at[name] != 0 && w->now >= w->remove_at[name]) {
			w->remove_at[name] = 0;
			fleet_remove(w, name);
		}
	}
}

static void
process_poll(world_t *w, process_t *p)
{
	int fleet = w->n_fleets - 1;
	int pair = w->n_pairs - 1;

	if (p->fleet >= 0 && chance(w) > (w->options.slow_lists ? 0.03 : 0.3))
		return;
	if (chance(w) < w->options.stale) {
		fleet -= below(w, MIN(fleet + 1, 4));
		pair -= below(w, MIN(pair + 1, 4));
	}
	process_adopt(w, p, fleet, pair);
}

static share_t
share_in_transit(world_t *w, int team)
{
	GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	share_t sum = 0;

	for (int i = 0; i < WORLD_QUEUES; i++) {
		for (guint k = 0; k < w->queues[i]->len; k++) {
			message_t *message = g_ptr_array_index(w->queues[i], k);
			loan_grant_t *grant = &message->body.grant;
			process_t *p = &w->processes[message->to];

			if (message->kind != MESSAGE_GRANT || !p->alive ||
			    !g_str_equal(grant->team, world_team(team)) ||
			    grant->requested_at + LOAN_US <=
				process_clock(w, p) ||
			    g_hash_table_contains(
				w->accepted, &grant->loan_id) ||
			    !g_hash_table_add(seen, &grant->loan_id))
				continue;
			sum += grant->share;
		}
	}
	g_hash_table_destroy(seen);
	return sum;
}

static uint64_t
world_share_sum(world_t *w, int *most)
{
	uint64_t largest = 0;

	for (int team = 0; team < WORLD_TEAMS; team++) {
		uint64_t sum = share_in_transit(w, team);

		for (int i = 0; i < w->n_processes; i++) {
			process_t *p = &w->processes[i];

			if (p->alive)
				sum += limiter_in_use(p->a, world_team(team),
				    process_clock(w, p));
		}
		if (sum > largest)
			*most = team;
		largest = MAX(largest, sum);
	}
	return largest;
}

static void
violation_describe(world_t *w, int team, uint64_t sum)
{
	g_string_printf(w->violation,
	    "shares of %s add up to %.4f at %.1f s:", world_team(team),
	    (double)sum / SHARE_ONE, (double)w->now / US_PER_S);
	for (int i = 0; i < w->n_processes; i++) {
		process_t *p = &w->processes[i];

		if (!p->alive)
			continue;
		g_string_append_printf(w->violation,
		    " i%d%s(z%d fleet %d pair %d %.3f)", p->name,
		    process_runs(w, p) ? "" : "*", name_zone(p->name),
		    p->fleet + 1, p->pair + 1,
		    (double)limiter_in_use(
			p->a, world_team(team), process_clock(w, p)) /
			SHARE_ONE);
	}
}

static void
world_check(world_t *w)
{
	int team = 0;
	uint64_t sum = world_share_sum(w, &team);

	if (sum > SHARE_ONE && w->violation->len == 0)
		violation_describe(w, team, sum);
	w->n_steps_in_use += sum > SHARE_ONE / 2;
}

void
world_step(world_t *w)
{
	w->now += w->options.step > 0 ? w->options.step
				      : (100 + below(w, 800)) * US_PER_MS;
	w->queue = (w->queue + 1) % WORLD_QUEUES;
	world_inject_faults(w);
	for (guint i = 0; i < w->queues[w->queue]->len; i++)
		message_deliver(w, g_ptr_array_index(w->queues[w->queue], i));
	g_ptr_array_set_size(w->queues[w->queue], 0);
	for (int i = 0; i < w->n_processes; i++) {
		process_t *p = &w->processes[i];

		if (!process_runs(w, p))
			continue;
		process_poll(w, p);
		process_send_heartbeats(w, i);
		limiter_sweep(p->a, process_clock(w, p));
		if (chance(w) < w->options.demand)
			process_serve(w, i, below(w, WORLD_TEAMS));
	}
	if (w->open->len > 0 && chance(w) < 0.5)
		open_settle(w);
	if (w->options.demand > 0)
		world_check(w);
}

void
world_end_faults(world_t *w)
{
	world_options_t *k = &w->options;
	member_state_t state[WORLD_NAMES];

	k->lose = k->late = k->list = k->pair = 0;
	k->crash = k->pause = k->partition = k->stale = 0;
	w->partition_until = w->now;
	for (int i = 0; i < w->n_processes; i++)
		w->processes[i].paused_until = w->now;
	for (int name = 0; name < WORLD_NAMES; name++) {
		int current = w->current[name];

		w->restart_at[name] = w->remove_at[name] = 0;
		if (current < 0 || !w->processes[current].alive)
			process_start(w, name);
		current = w->current[name];
		state[name] = current >= 0 && w->processes[current].alive
				  ? MEMBER_LIVE
				  : WORLD_UNLISTED;
	}
	fleet_publish(w, state);
}

/*
 * Replays the admissions through a bucket with the whole rate and burst. This
 * is equivalent to checking each of them against the limit of all windows that
 * end with it. The rate is raised by 1% to allow for clocks that run fast.
 */
void
world_check_admissions(world_t *w)
{
	for (int team = 0; team < WORLD_TEAMS; team++) {
		double level = BURST;
		time_us_t at = 0;

		for (guint i = 0; i < w->admissions[team]->len; i++) {
			admission_t *admission =
			    &g_array_index(w->admissions[team], admission_t, i);

			level += (double)(admission->at - at) / US_PER_S *
				 RATE * 1.01;
			level = MIN(level, BURST) - (double)admission->cost;
			at = admission->at;
			if (level < -0.01 && w->violation->len == 0)
				g_string_printf(w->violation,
				    "%s was admitted %.0f tokens too many at "
				    "%.1f s",
				    world_team(team), -level,
				    (double)at / US_PER_S);
		}
	}
}
