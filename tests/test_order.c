#include "core/order.h"

#include <string.h>

#include "schedule.h"
#include "test.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(order_table_t, order_table_destroy)

#define TEAM "parish-nitra"

static const uint8_t mac_key[ORDER_MAC_KEY_BYTES] = {1};
static const uint8_t digest_a[DIGEST_BYTES] = {1};
static const uint8_t digest_b[DIGEST_BYTES] = {2};

static order_table_t *
table_new(const char *name, size_t limit, size_t answer_bytes)
{
	return order_table_create(name, 7, mac_key, limit, answer_bytes);
}

static order_begin_t
begin(order_table_t *table, const char *ticket, int64_t now_s)
{
	return order_begin(
	    table, TEAM, ticket, digest_a, ORDER_FROM_CALLER, now_s);
}

static void
ck_assert_refused(order_begin_t result, refusal_t refusal)
{
	ck_assert_int_eq(result.action, ORDER_REFUSE);
	ck_assert_int_eq(result.refusal, refusal);
}

/* Guards against forged tickets and tickets that another team can use. */
TEST(ticket_is_bound_to_team_and_fields)
{
	g_autoptr(order_table_t) table = table_new("s.1", 4, 100);
	char text[ORDER_TICKET_SIZE], changed[ORDER_TICKET_SIZE + 1];
	order_ticket_t ticket;

	ck_assert(order_ticket_issue(table, TEAM, 9, 600, text, sizeof(text)));
	ck_assert(!order_ticket_issue(table, TEAM, 9, 600, changed, 60));
	ck_assert(order_ticket_parse(text, &ticket));
	ck_assert_str_eq(ticket.instance, "s.1");
	ck_assert_int_eq((int64_t)ticket.incarnation, 7);
	ck_assert_int_eq(ticket.expiry_s, 600);
	ck_assert_refused(
	    order_begin(table, "x", text, digest_a, ORDER_FROM_CALLER, 0),
	    REFUSAL_TICKET_INVALID);
	/* A ticket with one byte changed must never start an order. */
	for (size_t i = 0; i < strlen(text); i++) {
		g_strlcpy(changed, text, sizeof(changed));
		changed[i] = changed[i] == '1' ? '2' : '1';
		ck_assert_int_ne(begin(table, changed, 0).action, ORDER_RUN);
		changed[i] = (char)g_ascii_toupper(text[i]);
		if (i > 6 && changed[i] != text[i])
			ck_assert(!order_ticket_parse(changed, &ticket));
	}
	g_snprintf(changed, sizeof(changed), "%s0", text);
	ck_assert(!order_ticket_parse(changed, &ticket));
	ck_assert(!order_ticket_parse("", &ticket));
	ck_assert(!order_ticket_parse("t1....", &ticket));
	ck_assert_ptr_null(order_table_create("a b", 1, mac_key, 1, 1));
}

/* Guards against a repeat that is executed, or that gets the answer of another
 * order. */
TEST(repeat_gets_the_recorded_outcome)
{
	g_autoptr(order_table_t) table = table_new("s1", 4, 100);
	char text[ORDER_TICKET_SIZE];
	order_begin_t run, again;

	order_ticket_issue(table, TEAM, 9, 600, text, sizeof(text));
	ck_assert_int_eq(
	    order_execution(table, TEAM, text, 0), EXECUTION_NOT_RUN);
	run = begin(table, text, 0);
	ck_assert_int_eq(run.action, ORDER_RUN);
	ck_assert_refused(begin(table, text, 0), REFUSAL_ORDER_RUNNING);
	ck_assert_int_eq(
	    order_execution(table, TEAM, text, 0), EXECUTION_UNKNOWN);
	order_settle_unsent(table, run.handle);
	ck_assert_int_eq(
	    order_execution(table, TEAM, text, 0), EXECUTION_NOT_RUN);
	again = begin(table, text, 0);
	ck_assert_int_eq(again.action, ORDER_RUN);
	order_settle_unsent(table, run.handle); /* stale handle: no effect */
	ck_assert_int_eq(order_state(table, again.handle), ORDER_RUNNING);
	order_settle_completed(table, again.handle, 201, "text/plain", "ok", 2);
	order_settle_unknown(table, again.handle);
	run = begin(table, text, 1);
	ck_assert_int_eq(run.action, ORDER_REPLAY);
	ck_assert_int_eq(run.replay.status, 201);
	ck_assert_str_eq(run.replay.content_type, "text/plain");
	ck_assert_mem_eq(g_bytes_get_data(run.replay.body, NULL), "ok", 2);
	g_bytes_unref(run.replay.body);
	ck_assert_int_eq(
	    order_execution(table, TEAM, text, 0), EXECUTION_COMPLETED);
	ck_assert_refused(
	    order_begin(table, TEAM, text, digest_b, ORDER_FROM_CALLER, 1),
	    REFUSAL_TICKET_INVALID);
}

/* Guards against a removed ticket that is accepted again after the clock is set
 * back. */
TEST(expired_ticket_never_runs)
{
	g_autoptr(order_table_t) table = table_new("s1", 1, 100);
	char text[ORDER_TICKET_SIZE], other[ORDER_TICKET_SIZE];
	order_begin_t run;

	order_ticket_issue(table, TEAM, 9, 600, text, sizeof(text));
	order_ticket_issue(table, TEAM, 10, 900, other, sizeof(other));
	run = begin(table, text, 0);
	ck_assert(order_may_dispatch(table, run.handle, 599));
	ck_assert_refused(begin(table, other, 599), REFUSAL_ORDER_TABLE_FULL);
	ck_assert_int_eq(
	    order_execution(table, TEAM, other, 599), EXECUTION_NOT_RUN);
	ck_assert(!order_may_dispatch(table, run.handle, 600));
	ck_assert_int_eq(order_expire(table, 600), 1);
	ck_assert_int_eq(order_state(table, run.handle), ORDER_UNUSED);
	ck_assert_refused(begin(table, text, 10), REFUSAL_TICKET_UNKNOWN);
	ck_assert_int_eq(
	    order_execution(table, TEAM, text, 10), EXECUTION_UNKNOWN);
	ck_assert_int_eq(begin(table, other, 10).action, ORDER_RUN);
}

/* Guards against unbounded memory for answers, and against losing the state of
 * an order when its body is dropped. */
TEST(old_answers_lose_only_their_body)
{
	g_autoptr(order_table_t) table = table_new("s1", 8, 70000);
	static const char body[ORDER_ANSWER_LIMIT + 1];
	char text[3][ORDER_TICKET_SIZE];
	size_t len[3] = {40000, ORDER_ANSWER_LIMIT + 1, 40000};
	order_begin_t run;

	for (int i = 0; i < 3; i++) {
		order_ticket_issue(
		    table, TEAM, (uint64_t)i, 600, text[i], sizeof(text[i]));
		run = begin(table, text[i], 0);
		order_settle_completed(
		    table, run.handle, 200, "a/b", body, len[i]);
		ck_assert_uint_le(order_answer_bytes(table), 70000);
	}
	for (int i = 0; i < 3; i++) {
		run = begin(table, text[i], 0);
		ck_assert_int_eq(run.action, ORDER_REPLAY);
		ck_assert_int_eq(run.replay.status, 200);
		ck_assert((run.replay.body != NULL) == (i == 2));
		g_bytes_unref(run.replay.body);
	}
}

/* Guards against a team that fills the table, so that the orders of all others
 * are refused. */
TEST(one_team_gets_half_of_the_table)
{
	g_autoptr(order_table_t) table = table_new("s1", 8, 100);
	char text[ORDER_TICKET_SIZE];

	for (int i = 0; i < 6; i++) {
		const char *team = i < 5 ? TEAM : "other";

		order_ticket_issue(
		    table, team, (uint64_t)i, 600, text, sizeof(text));
		ck_assert_int_eq(order_begin(table, team, text, digest_a,
				     ORDER_FROM_CALLER, 0)
				     .action,
		    i == 4 ? ORDER_REFUSE : ORDER_RUN);
	}
}

/* Guards against a second forward, and against a delegated order that runs
 * twice. */
TEST(tickets_of_other_issuers_are_forwarded_once)
{
	order_table_t *issuer = table_new("s1", 4, 100);
	g_autoptr(order_table_t) other = table_new("s2", 4, 100);
	char text[ORDER_TICKET_SIZE];
	order_begin_t result;

	order_ticket_issue(issuer, TEAM, 9, 600, text, sizeof(text));
	result = begin(other, text, 0);
	ck_assert_int_eq(result.action, ORDER_FORWARD);
	ck_assert_str_eq(result.forward.instance, "s1");
	ck_assert_int_eq((int64_t)result.forward.incarnation, 7);
	ck_assert_refused(
	    order_begin(other, TEAM, text, digest_a, ORDER_FROM_PEER, 0),
	    REFUSAL_TICKET_UNKNOWN);
	ck_assert_int_eq(
	    order_execution(other, TEAM, text, 0), EXECUTION_UNKNOWN);
	result = order_begin(other, TEAM, text, digest_a, ORDER_FROM_ISSUER, 0);
	ck_assert_int_eq(result.action, ORDER_RUN);
	ck_assert_refused(
	    order_begin(other, TEAM, text, digest_a, ORDER_FROM_ISSUER, 0),
	    REFUSAL_ORDER_RUNNING);
	order_table_destroy(issuer);
	issuer = order_table_create("s1", 8, mac_key, 4, 100);
	ck_assert_refused(begin(issuer, text, 0), REFUSAL_TICKET_UNKNOWN);
	order_table_destroy(issuer);
}

/*
 * Random schedules: callers repeat orders at several instances; requests are
 * forwarded, delegated, lost, duplicated and delayed; instances crash and
 * restart as new incarnations, pause, drain, and their clocks jump.
 */
#define N_INSTANCES 3
#define N_ORDERS 5
#define N_STEPS 60

typedef enum {
	FAULT_NONE,
	FAULT_LOSE_ENTRIES,    /* the table loses its entries */
	FAULT_INCARNATION,     /* a restarted issuer accepts old tickets */
	FAULT_UNSENT,	       /* a lost target counts as "no byte written" */
	FAULT_FIXED_EXECUTION, /* a drain refusal always reports not_run */
	FAULT_REPEAT, /* the dispatch is retried when a target closes */
} fault_t;

typedef enum { EV_REQUEST, EV_DISPATCH, EV_ANSWER } event_kind_t;

typedef struct {
	event_kind_t kind;
	int order;
	int instance;
	incarnation_t incarnation; /* of the receiver; 0: any */
	order_origin_t origin;
	order_handle_t handle;
} event_t;

typedef struct {
	order_table_t *table;
	incarnation_t incarnation;
	int64_t paused_until;
	int64_t clock_offset;
} sim_instance_t;

typedef struct {
	rng_t rng;
	fault_t fault;
	int64_t now;
	incarnation_t last_incarnation;
	sim_instance_t instances[N_INSTANCES];
	char tickets[N_ORDERS][ORDER_TICKET_SIZE];
	int writes[N_ORDERS]; /* dispatches that reached a target */
	GArray *events;
	const char *violation;
} sim_t;

static int64_t
sim_wall_clock_s(const sim_t *sim, int i)
{
	return 10000 + sim->now + sim->instances[i].clock_offset;
}

static void
sim_start(sim_t *sim, int i)
{
	sim_instance_t *instance = &sim->instances[i];
	uint8_t key[ORDER_MAC_KEY_BYTES] = {0};
	char name[8];

	g_snprintf(name, sizeof(name), "s%d", i);
	if (sim->fault != FAULT_INCARNATION || instance->table == NULL)
		instance->incarnation = ++sim->last_incarnation;
	memcpy(key, &instance->incarnation, sizeof(instance->incarnation));
	order_table_destroy(instance->table);
	instance->table =
	    order_table_create(name, instance->incarnation, key, 8, 100);
}

/* Sends a message, which may be lost or duplicated. */
static void
sim_send_message(sim_t *sim, event_t event)
{
	if (!rng_chance(&sim->rng, 6))
		g_array_append_val(sim->events, event);
	if (rng_chance(&sim->rng, 6))
		g_array_append_val(sim->events, event);
}

static void
sim_check_execution(sim_t *sim, int order, execution_t execution)
{
	if (execution == EXECUTION_NOT_RUN && sim->writes[order] > 0)
		sim->violation = "not_run was reported for an order that ran";
}

static void
sim_count_write(sim_t *sim, int order)
{
	if (++sim->writes[order] > 1)
		sim->violation = "an order reached a target twice";
}

static void
sim_request(sim_t *sim, const event_t *event)
{
	sim_instance_t *instance = &sim->instances[event->instance];
	const char *ticket = sim->tickets[event->order];
	int64_t wall = sim_wall_clock_s(sim, event->instance);
	event_t next = *event;
	order_begin_t result;

	if (event->origin == ORDER_FROM_CALLER && rng_chance(&sim->rng, 8)) {
		sim_check_execution(sim, event->order,
		    sim->fault == FAULT_FIXED_EXECUTION
			? refusal_info(REFUSAL_DRAINING)->execution
			: order_execution(instance->table, TEAM, ticket, wall));
		return;
	}
	result = order_begin(
	    instance->table, TEAM, ticket, digest_a, event->origin, wall);
	switch (result.action) {
	case ORDER_RUN:
		next.kind = EV_DISPATCH;
		next.incarnation = instance->incarnation;
		next.handle = result.handle;
		g_array_append_val(sim->events, next);
		return;
	case ORDER_REPLAY:
		g_bytes_unref(result.replay.body);
		return;
	case ORDER_REFUSE:
		sim_check_execution(
		    sim, event->order, refusal_info(result.refusal)->execution);
		return;
	case ORDER_FORWARD:
		next.origin = ORDER_FROM_PEER;
		next.incarnation = 0;
		next.instance = result.forward.instance[1] - '0';
		sim_send_message(sim, next);
		return;
	}
}

/* The target runs the order; then it answers, or the connection is lost. */
static void
sim_run_target(sim_t *sim, const event_t *event)
{
	order_table_t *table = sim->instances[event->instance].table;
	event_t next = *event;

	sim_count_write(sim, event->order);
	next.kind = EV_ANSWER;
	if (!rng_chance(&sim->rng, 3))
		g_array_append_val(sim->events, next);
	else if (sim->fault == FAULT_UNSENT)
		order_settle_unsent(table, event->handle);
	else if (sim->fault == FAULT_REPEAT)
		g_array_append_val(sim->events, *event);
	else
		order_settle_unknown(table, event->handle);
}

static void
sim_dispatch(sim_t *sim, const event_t *event)
{
	order_table_t *table = sim->instances[event->instance].table;
	event_t next = *event;

	if (!order_may_dispatch(
		table, event->handle, sim_wall_clock_s(sim, event->instance)) ||
	    rng_chance(&sim->rng, 4)) {
		order_settle_unsent(table, event->handle);
		if (event->origin != ORDER_FROM_ISSUER)
			sim_check_execution(
			    sim, event->order, EXECUTION_NOT_RUN);
		return;
	}
	if (event->origin != ORDER_FROM_CALLER || !rng_chance(&sim->rng, 4)) {
		sim_run_target(sim, event);
		return;
	}
	order_settle_unknown(table, event->handle);
	next.kind = EV_REQUEST;
	next.origin = ORDER_FROM_ISSUER;
	next.instance = (event->instance + 1) % N_INSTANCES;
	next.incarnation = sim->instances[next.instance].incarnation;
	sim_send_message(sim, next);
}

static void
sim_handle(sim_t *sim, event_t event)
{
	sim_instance_t *instance = &sim->instances[event.instance];

	if (event.incarnation != 0 &&
	    event.incarnation != instance->incarnation)
		return;
	if (instance->paused_until > sim->now) {
		g_array_append_val(sim->events, event);
		return;
	}
	switch (event.kind) {
	case EV_REQUEST:
		sim_request(sim, &event);
		return;
	case EV_DISPATCH:
		sim_dispatch(sim, &event);
		return;
	case EV_ANSWER:
		order_settle_completed(
		    instance->table, event.handle, 200, "a/b", "answer", 6);
		return;
	}
}

/* Injects a fault into an instance, or lets a caller send or repeat an order.
 */
static void
sim_inject(sim_t *sim)
{
	int i = (int)rng_below(&sim->rng, N_INSTANCES);
	sim_instance_t *instance = &sim->instances[i];
	event_t request = {.kind = EV_REQUEST, .instance = i};

	switch (rng_below(&sim->rng, 12)) {
	case 0:
		sim_start(sim, i);
		return;
	case 1:
		instance->paused_until =
		    sim->now + rng_below(&sim->rng, 2) * 700 + 30;
		return;
	case 2:
		instance->clock_offset = rng_below(&sim->rng, 2400) - 1200;
		return;
	case 3:
		order_expire(instance->table, sim_wall_clock_s(sim, i));
		if (sim->fault == FAULT_LOSE_ENTRIES) {
			sim->fault = FAULT_INCARNATION;
			sim_start(sim, i);
			sim->fault = FAULT_LOSE_ENTRIES;
		}
		return;
	default:
		request.order = (int)rng_below(&sim->rng, N_ORDERS);
		sim_send_message(sim, request);
		return;
	}
}

/* Removes a random event, so that any event can be delayed arbitrarily. */
static event_t
sim_take_event(sim_t *sim)
{
	guint i = (guint)rng_below(&sim->rng, sim->events->len);
	event_t event = g_array_index(sim->events, event_t, i);

	g_array_remove_index_fast(sim->events, i);
	sim->now += 1 + rng_below(&sim->rng, 20);
	return event;
}

static const char *
order_schedule(uint64_t seed, int fault)
{
	sim_t sim = {.rng = {seed}, .fault = (fault_t)fault};

	sim.events = g_array_new(FALSE, FALSE, sizeof(event_t));
	for (int i = 0; i < N_INSTANCES; i++)
		sim_start(&sim, i);
	for (int i = 0; i < N_ORDERS; i++) {
		int issuer = (int)rng_below(&sim.rng, N_INSTANCES);

		order_ticket_issue(sim.instances[issuer].table, TEAM,
		    rng_next(&sim.rng),
		    sim_wall_clock_s(&sim, issuer) + ORDER_TICKET_TTL_S,
		    sim.tickets[i], ORDER_TICKET_SIZE);
	}
	for (int step = 0; step < N_STEPS; step++) {
		sim_inject(&sim);
		for (int k = 0; k < 3 && sim.events->len > 0; k++)
			sim_handle(&sim, sim_take_event(&sim));
	}
	for (int i = 0; i < N_INSTANCES; i++)
		order_table_destroy(sim.instances[i].table);
	g_array_free(sim.events, TRUE);
	return sim.violation;
}

/* Guards against any interleaving that runs an order twice, or that reports
 * not_run for an order that ran. */
TEST(orders_run_at_most_once)
{
	schedule_check("order", order_schedule, 5000, FAULT_REPEAT);
}

TEST_MAIN("order")
