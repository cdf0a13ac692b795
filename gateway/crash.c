#include "internal.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* A connection that isn't refused within this time says nothing. */
#define CHECK_TIMEOUT_US (400 * US_PER_MS)

/* Requests remembered of one crash; an engine has not begun many at a time. */
#define WITNESS_LIMIT 32

typedef struct {
	crash_checks_t *checks;
	handle_t target;
	uint64_t target_start; /* identifies this start of the target */
	char target_id[NAME_LIMIT + 1];
	tcp_t *connection;
	ev_timer timer;
	GArray *witnesses;   /* crash_witness_t */
	GPtrArray *requests; /* request_t that wait for the result */
} crash_check_t;

struct crash_checks {
	gateway_t *gateway;
	GPtrArray *running; /* crash_check_t, one for each target */
};

crash_checks_t *
crash_checks_create(gateway_t *gateway)
{
	crash_checks_t *checks = g_new0(crash_checks_t, 1);

	checks->gateway = gateway;
	checks->running = g_ptr_array_new();
	return checks;
}

static void
check_free(crash_check_t *check)
{
	ev_timer_stop(check->checks->gateway->loop, &check->timer);
	if (check->connection != NULL) {
		tcp_close(check->connection);
		tcp_unref(check->connection);
	}
	g_array_unref(check->witnesses);
	g_ptr_array_unref(check->requests);
	g_free(check);
}

void
crash_checks_destroy(crash_checks_t *checks)
{
	for (guint i = 0; i < checks->running->len; i++)
		check_free(g_ptr_array_index(checks->running, i));
	g_ptr_array_unref(checks->running);
	g_free(checks);
}

static void
on_request_removed(gpointer request)
{
	request_unref(request);
}

static void
check_end(crash_check_t *check)
{
	GPtrArray *requests = g_ptr_array_ref(check->requests);

	g_ptr_array_remove_fast(check->checks->running, check);
	check_free(check);
	for (guint i = 0; i < requests->len; i++)
		request_on_failure(g_ptr_array_index(requests, i),
		    FAILURE_MAYBE_EXECUTED, NULL);
	g_ptr_array_unref(requests);
}

static uint64_t
target_start(const target_t *target)
{
	return XXH3_64bits_withSeed(target->entry.id, strlen(target->entry.id),
	    (uint64_t)target->entry.started_ms);
}

/* Logs the features that are held because of the crash. */
static void
held_log(const crash_check_t *check)
{
	gateway_t *gateway = check->checks->gateway;

	for (guint i = 0; i < check->witnesses->len; i++) {
		const crash_witness_t *witness =
		    &g_array_index(check->witnesses, crash_witness_t, i);
		quarantine_check_t held = quarantine_check(gateway->quarantine,
		    &witness->features, gateway_now(gateway));
		g_autofree char *feature =
		    g_strdup_printf("%016" PRIx64, held.feature);

		if (held.verdict != QUARANTINE_PASS)
			log_event(LOG_WARNING, "quarantine_began",
			    LOG_S("target", check->target_id),
			    LOG_S("feature", feature));
	}
}

static void
check_confirm(crash_check_t *check)
{
	gateway_t *gateway = check->checks->gateway;
	size_t n_held = quarantine_note_crash(gateway->quarantine,
	    check->target_start, (crash_witness_t *)check->witnesses->data,
	    check->witnesses->len, gateway_now(gateway));
	target_t *target = targets_get(gateway->targets, check->target);

	if (target != NULL)
		health_checks_note_refused(gateway->health_checks, target);
	counter_increment("target_crashes", NULL, NULL);
	log_event(LOG_NOTICE, "target_crashed",
	    LOG_S("target", check->target_id),
	    LOG_I("unanswered", check->witnesses->len), LOG_I("held", n_held));
	if (n_held > 0)
		held_log(check);
	/* Others learn of it before they send the next request with the part.
	 */
	gossip_round(gateway->gossip);
}

static void
on_connected(void *owner)
{
	check_end(owner);
}

static void
on_received(void *owner, const uint8_t *data, size_t len)
{
}

static void
on_ended(void *owner, tcp_end_t end)
{
	crash_check_t *check = owner;

	/* A target with too many connections resets them. */
	if (end == TCP_CONNECT_FAILED &&
	    tcp_connect_error(check->connection) == ECONNREFUSED)
		check_confirm(check);
	check_end(check);
}

static const tcp_events_t connection_events = {
    .connected = on_connected,
    .received = on_received,
    .ended = on_ended,
};

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	check_end(watcher->data);
}

static crash_check_t *
check_find(const crash_checks_t *checks, handle_t target)
{
	for (guint i = 0; i < checks->running->len; i++) {
		crash_check_t *check = g_ptr_array_index(checks->running, i);

		if (check->target == target)
			return check;
	}
	return NULL;
}

static crash_check_t *
check_create(crash_checks_t *checks, const target_t *target)
{
	crash_check_t *check = g_new0(crash_check_t, 1);

	check->checks = checks;
	check->target = target->handle;
	check->target_start = target_start(target);
	g_strlcpy(check->target_id, target->entry.id, sizeof(check->target_id));
	check->witnesses = g_array_new(FALSE, FALSE, sizeof(crash_witness_t));
	check->requests = g_ptr_array_new_with_free_func(on_request_removed);
	ev_timer_init(&check->timer, on_timeout, 0, 0);
	check->timer.data = check;
	g_ptr_array_add(checks->running, check);
	return check;
}

/* Starts the connection. The check may have ended when this returns. */
static void
check_start(crash_check_t *check, const target_t *target)
{
	gateway_t *gateway = check->checks->gateway;

	check->connection = tcp_connect(gateway->net,
	    (net_address_t){target->entry.ip, target->entry.port},
	    &connection_events, check);
	if (check->connection != NULL) {
		gateway_start_timer(gateway, &check->timer, CHECK_TIMEOUT_US);
		return;
	}
	if (errno == ECONNREFUSED)
		check_confirm(check);
	check_end(check);
}

bool
crash_check(crash_checks_t *checks, const target_t *target,
    const crash_witness_t *witness, request_t *request)
{
	crash_check_t *check = check_find(checks, target->handle);
	bool starts = check == NULL;

	/* A target that leaves refuses connections as well. */
	if (target->unlisted || target->entry.state != TARGET_READY)
		return false;
	if (starts)
		check = check_create(checks, target);
	if (check->witnesses->len < WITNESS_LIMIT)
		g_array_append_val(check->witnesses, *witness);
	if (request != NULL) {
		request_await_check(request);
		g_ptr_array_add(check->requests, request_ref(request));
	}
	if (starts)
		check_start(check, target);
	return true;
}
