#include "attempt.h"
#include "request.h"

#include <errno.h>
#include <string.h>

/* Time for a detached response to end before its connection is closed. */
#define DETACHED_LIMIT_US (300 * US_PER_MS)

/* A request is logged from this age of the news that its target has left. */
#define DEPARTED_TARGET_LOG_US US_PER_S

struct attempt {
	gateway_t *gateway;
	request_t *request; /* NULL when detached */
	upstream_t *upstream;
	handle_t target; /* HANDLE_NONE if sent to an instance */
	target_attempt_t send;
	char request_id[REQUEST_ID_LIMIT + 1];
	target_response_t response;
	time_us_t last_body_at; /* when the last bytes of the body arrived */
	bool reused;
	bool response_started; /* any byte of a response was received */
	bool skipping;	       /* parsing another request's response */
	uint32_t version;      /* see attempt_version() */
	bool probe;	       /* without a result yet; see QUARANTINE_PROBE */
	features_t features;
	ev_timer detached;
};

static target_t *
attempt_target(const attempt_t *attempt)
{
	return targets_get(attempt->gateway->targets, attempt->target);
}

/*
 * Ends the target's accounting and frees the attempt; the caller handles the
 * connection.
 */
static void
attempt_free(attempt_t *attempt, target_result_t result)
{
	gateway_t *gateway = attempt->gateway;
	target_t *target = attempt_target(attempt);

	if (target != NULL && target_attempt_finish(target, &attempt->send,
				  result, gateway_now(gateway))) {
		counter_increment("target_refusals_told", NULL, NULL);
		log_event(LOG_INFO, "target_full",
		    LOG_S("target", target->entry.id),
		    LOG_I("in_flight", target->in_flight));
		gossip_round(gateway->gossip);
	}
	if (attempt->probe)
		quarantine_end_probe(attempt->gateway->quarantine,
		    &attempt->features, gateway_now(attempt->gateway));
	ev_timer_stop(attempt->gateway->loop, &attempt->detached);
	g_free(attempt);
}

static void
on_detached_timeout(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	attempt_t *attempt = watcher->data;

	pool_drop(attempt->upstream);
	attempt_free(attempt, TARGET_RESULT_CANCELLED);
}

/*
 * Records how old the news is that the target of a request has left. It may
 * still be sent, as the entries of targets lapse in an outage.
 */
static void
note_departed_target(gateway_t *gateway, const request_t *request,
    const target_t *target, const char *request_id)
{
	const departure_t *departure =
	    targets_departure(gateway->targets, target);
	time_us_t known_at = target->removed_at;
	time_us_t age;

	if (target->removal_at == 0)
		return;
	if (departure != NULL)
		known_at = MIN(known_at, departure->known_at);
	age = gateway_now(gateway) - known_at;
	latencies_record(
	    gateway->latencies, LATENCY_DEPARTED, request->route->kind, age);
	if (age >= DEPARTED_TARGET_LOG_US)
		log_event(LOG_INFO, "request_to_departed_target",
		    LOG_S("request", request_id),
		    LOG_S("target", target->entry.id),
		    LOG_I("age_ms", age / US_PER_MS));
}

attempt_t *
attempt_create(gateway_t *gateway, request_t *request, attempt_plan_t *plan)
{
	pool_t *pool = plan->target != NULL
			   ? pool_of_target(gateway, plan->target)
			   : pool_of_peer(gateway, plan->peer_ip);
	attempt_t *attempt = g_new0(attempt_t, 1);
	upstream_t *upstream =
	    pool_acquire(pool, plan->repeatable, &attempt->reused);

	if (upstream == NULL) {
		log_event(LOG_WARNING, "connection_failed",
		    LOG_S("request", plan->request_id),
		    LOG_S("error", g_strerror(errno)));
		g_string_free(plan->head, TRUE);
		g_free(attempt);
		return NULL;
	}
	attempt->gateway = gateway;
	attempt->request = request;
	attempt->upstream = upstream;
	attempt->probe = plan->probe;
	attempt->features = *plan->features;
	g_strlcpy(
	    attempt->request_id, plan->request_id, sizeof(attempt->request_id));
	ev_timer_init(&attempt->detached, on_detached_timeout, 0, 0);
	attempt->detached.data = attempt;
	upstream->attempt = attempt;
	if (plan->target != NULL) {
		attempt->target = plan->target->handle;
		note_departed_target(
		    gateway, request, plan->target, plan->request_id);
		target_attempt_begin(plan->target, plan->tokens,
		    plan->expected_ms, gateway_now(gateway), &attempt->send);
		attempt->send.cache_miss_ms = plan->cache_miss_ms;
	}
	if (plan->no_response_body)
		http_reader_expect_no_body(upstream->reader);
	tcp_send(upstream->connection, plan->head->str, plan->head->len);
	if (plan->body != NULL)
		tcp_send(
		    upstream->connection, plan->body->data, plan->body->len);
	g_string_free(plan->head, TRUE);
	return attempt;
}

void
attempt_cancel(attempt_t *attempt)
{
	pool_drop(attempt->upstream);
	attempt_free(attempt, TARGET_RESULT_CANCELLED);
}

void
attempt_reject(attempt_t *attempt)
{
	pool_drop(attempt->upstream);
	attempt_free(attempt, TARGET_RESULT_BROKEN);
}

void
attempt_detach(attempt_t *attempt)
{
	attempt->request = NULL;
	tcp_pause(attempt->upstream->connection, false);
	gateway_start_timer(
	    attempt->gateway, &attempt->detached, DETACHED_LIMIT_US);
}

bool
attempt_has_unread(const attempt_t *attempt)
{
	return tcp_unread(attempt->upstream->connection) > 0;
}

uint32_t
attempt_version(const attempt_t *attempt)
{
	const target_t *target = attempt_target(attempt);
	const target_t *listed;

	if (attempt->target == HANDLE_NONE)
		return attempt->version;
	if (target == NULL ||
	    !target_version_is_certain(target, gateway_now(attempt->gateway)))
		return STREAM_VERSION_UNKNOWN;
	/* It started again under its id while the request was on its way. */
	listed = targets_find(attempt->gateway->targets, target->entry.id);
	return listed == NULL || listed == target ? target->version
						  : STREAM_VERSION_UNKNOWN;
}

static void
version_read(attempt_t *attempt, const http_head_t *head)
{
	const http_field_t *field = http_head_find(head, PEER_FIELD_VERSION);
	uint64_t version;

	attempt->version = field != NULL &&
				   http_slice_number(field->value, &version) &&
				   version <= UINT32_MAX
			       ? (uint32_t)version
			       : STREAM_VERSION_UNKNOWN;
}

void
attempt_pause(attempt_t *attempt, bool paused)
{
	tcp_pause(attempt->upstream->connection, paused);
}

static target_result_t
response_result(const attempt_t *attempt)
{
	if (attempt->response.replaced)
		return TARGET_RESULT_CANCELLED;
	if (attempt->response.not_run)
		return TARGET_RESULT_REFUSED;
	return attempt->response.status >= 500 ? TARGET_RESULT_ERROR
					       : TARGET_RESULT_OK;
}

static void
attempt_fail(attempt_t *attempt, failure_t failure, target_result_t result)
{
	request_t *request = attempt->request;

	pool_drop(attempt->upstream);
	attempt_free(attempt, result);
	if (request != NULL)
		request_on_failure(request, failure, NULL);
}

void
attempt_unreachable(attempt_t *attempt)
{
	const target_t *target = attempt_target(attempt);

	if (target != NULL)
		gateway_note_target_failed(attempt->gateway, target->short_id);
	attempt_fail(attempt, FAILURE_UNREACHABLE, TARGET_RESULT_UNREACHABLE);
}

static void
attempt_incomplete(attempt_t *attempt)
{
	gateway_t *gateway = attempt->gateway;
	request_t *request = attempt->request;
	const target_t *target = attempt_target(attempt);
	bool unanswered = target != NULL && !attempt->send.first_byte;
	crash_witness_t witness = {
	    attempt->features, attempt->send.sent_at, attempt->probe};
	/*
	 * A reused connection that closes before any byte says nothing about
	 * the target: its idle timeout may just have expired.
	 */
	bool stale = attempt->reused && !attempt->response_started;

	/* A crash is the result of a probe; the check tells. */
	if (unanswered)
		attempt->probe = false;
	pool_drop(attempt->upstream);
	attempt_free(
	    attempt, stale ? TARGET_RESULT_CANCELLED : TARGET_RESULT_BROKEN);
	if (unanswered &&
	    crash_check(gateway->crash_checks, target, &witness, request))
		return;
	if (request != NULL)
		request_on_failure(request, FAILURE_MAYBE_EXECUTED, NULL);
}

/* Called for the first bytes of an answer, for a stream of its first event. */
static void
attempt_first_byte(attempt_t *attempt, target_t *target, time_us_t now)
{
	size_t n_released;

	if (attempt->send.first_byte)
		return;
	target_first_byte(target, &attempt->send, now);
	if (attempt->response.not_run || attempt->response.status >= 300)
		return;
	attempt->probe = false;
	n_released = quarantine_note_answer(
	    attempt->gateway->quarantine, &attempt->features, now);
	if (n_released > 0)
		log_event(LOG_NOTICE, "quarantine_ended",
		    LOG_S("request", attempt->request_id),
		    LOG_S("target", target->entry.id),
		    LOG_I("features", n_released));
}

/* Called when the response is complete by its framing. */
static void
attempt_complete(attempt_t *attempt, bool reusable)
{
	request_t *request = attempt->request;
	upstream_t *upstream = attempt->upstream;
	int64_t idle_ms = attempt->response.idle_ms;
	target_result_t result = response_result(attempt);

	if (request != NULL && !request_response_is_whole(request)) {
		attempt_incomplete(attempt);
		return;
	}
	/*
	 * The connection can't be reused while the request's body is still
	 * being sent.
	 */
	if (tcp_pending(upstream->connection) > 0)
		reusable = false;
	upstream->attempt = NULL;
	if (reusable)
		pool_release(upstream->pool, upstream, idle_ms);
	else
		pool_drop(upstream);
	attempt_free(attempt, result);
	if (request != NULL)
		request_on_complete(request);
}

/* Returns whether what the target states of this rate has changed. */
static bool
attempt_note_rate(const attempt_t *attempt, target_t *target,
    target_rate_t rate, time_us_t now)
{
	const target_response_t *response = &attempt->response;
	double per_s = TARGET_NO_LIMIT;

	switch (response->rates[rate].kind) {
	case RATE_ABSENT:
		/* A refusal may be made before the target's own answer. */
		if (response->not_run || !response->stamped)
			return false;
		break;
	case RATE_STATED:
		per_s = response->rates[rate].per_s;
		break;
	case RATE_MALFORMED:
		counter_increment("target_limits_malformed", NULL, NULL);
		log_event(LOG_WARNING, "target_limit_malformed",
		    LOG_S("target", target->entry.id),
		    LOG_S("request", attempt->request_id));
		return false;
	}
	return target_note_rate(
	    target, rate, per_s, attempt->send.sent_at, now);
}

static void
attempt_note_rates(const attempt_t *attempt, target_t *target, time_us_t now)
{
	bool changed = false;

	for (target_rate_t rate = 0; rate < TARGET_RATE_COUNT; rate++)
		changed |= attempt_note_rate(attempt, target, rate, now);
	if (!changed)
		return;
	gateway_note_target(attempt->gateway, target, "target");
	gossip_round(attempt->gateway->gossip);
}

/* The load and the limit are another target's if this one is replaced. */
static void
attempt_note_replaced(const attempt_t *attempt, target_t *target, time_us_t now)
{
	if (!target_note_replaced(target, now))
		return;
	log_event(LOG_NOTICE, "target_replaced",
	    LOG_S("target", target->entry.id),
	    LOG_S("request", attempt->request_id));
	gossip_round(attempt->gateway->gossip);
}

static void
attempt_note_load(const attempt_t *attempt, target_t *target, time_us_t now)
{
	const target_response_t *response = &attempt->response;

	if (!response->load_reported)
		return;
	target_report_load(target, response->running, response->waiting, now);
	switch (response->pace_kind) {
	case RESPONSE_NO_PACE:
		return;
	case RESPONSE_PACE:
		if (target_report_pace(target, response->pace, now))
			return;
		break;
	case RESPONSE_PACE_MALFORMED:
		break;
	}
	counter_increment("target_paces_malformed", NULL, NULL);
}

static void
attempt_note_leaving(const attempt_t *attempt, target_t *target, time_us_t now)
{
	gateway_t *gateway = attempt->gateway;

	counter_increment("target_answers_leaving", NULL, NULL);
	if (!targets_note_leaving(gateway->targets, target, now))
		return;
	gateway_note_departure(gateway, target, "answer");
	gossip_round(gateway->gossip);
}

static bool
on_head(void *owner, const http_head_t *head)
{
	upstream_t *upstream = owner;
	attempt_t *attempt = upstream->attempt;
	time_us_t now = gateway_now(upstream->gateway);
	target_t *target;

	if (attempt == NULL)
		return false;
	platform_response_read(head, attempt->request_id, &attempt->response);
	if (!head->keep_alive)
		attempt->response.idle_ms = 0;
	if (attempt->response.request_id_mismatch) {
		attempt->skipping = true;
		return true;
	}
	/* May be a refusal of an earlier request, repeated by the target. */
	if (attempt->reused && attempt->response.not_run &&
	    attempt->response.request_id_missing) {
		log_event(LOG_WARNING, "refusal_without_id",
		    LOG_S("request", attempt->request_id));
		return false;
	}
	target = attempt_target(attempt);
	if (attempt->target == HANDLE_NONE)
		version_read(attempt, head);
	if (target != NULL) {
		upstream->gateway->target_heard_at = now;
		target_byte_received(target, now);
		if (attempt->response.replaced) {
			attempt_note_replaced(attempt, target, now);
		} else {
			attempt_note_load(attempt, target, now);
			attempt_note_rates(attempt, target, now);
			if (attempt->response.leaving)
				attempt_note_leaving(attempt, target, now);
		}
		if (!attempt->response.event_stream)
			attempt_first_byte(attempt, target, now);
	}
	if (attempt->request != NULL)
		request_on_response(attempt->request, head, &attempt->response);
	return !upstream->dropped;
}

static void
on_body(void *owner, const uint8_t *data, size_t len)
{
	upstream_t *upstream = owner;
	attempt_t *attempt = upstream->attempt;
	target_t *target;

	if (attempt == NULL || attempt->skipping)
		return;
	target = attempt_target(attempt);
	if (target != NULL) {
		time_us_t now = gateway_now(upstream->gateway);

		upstream->gateway->target_heard_at = now;
		target_byte_received(target, now);
		attempt_first_byte(attempt, target, now);
		if (attempt->response.event_stream &&
		    attempt->last_body_at != 0)
			target_event_gap(
			    target, now - attempt->last_body_at, now);
		attempt->last_body_at = now;
	}
	if (attempt->request != NULL)
		request_on_body(attempt->request, data, len);
}

const http_sink_t attempt_sink = {on_head, on_body};

/*
 * Parses one response. Returns false when the connection no longer belongs to
 * this attempt or has no more data.
 */
static bool
feed_step(upstream_t *upstream, const uint8_t **data, size_t *len)
{
	size_t consumed;
	http_feed_t result;
	attempt_t *attempt;

	upstream->reading = true;
	result = http_reader_feed(upstream->reader, *data, *len, &consumed);
	upstream->reading = false;
	if (upstream->dropped) {
		pool_free_upstream(upstream);
		return false;
	}
	attempt = upstream->attempt;
	*data += consumed;
	*len -= consumed;
	switch (result) {
	case HTTP_FEED_MORE:
		return false;
	case HTTP_FEED_COMPLETE:
		if (attempt->skipping) {
			attempt->skipping = false;
			return *len > 0;
		}
		attempt_complete(attempt, *len == 0);
		return false;
	case HTTP_FEED_STOPPED:
	case HTTP_FEED_TOO_LARGE:
	case HTTP_FEED_MALFORMED:
		break;
	}
	attempt_incomplete(attempt);
	return false;
}

static void
on_received(void *owner, const uint8_t *data, size_t len)
{
	upstream_t *upstream = owner;

	if (upstream->attempt == NULL) {
		pool_drop(upstream);
		return;
	}
	upstream->attempt->response_started = true;
	while (feed_step(upstream, &data, &len))
		;
}

static void
on_ended(void *owner, tcp_end_t end)
{
	upstream_t *upstream = owner;
	attempt_t *attempt = upstream->attempt;

	if (attempt == NULL) {
		pool_drop(upstream);
	} else if (end == TCP_CONNECT_FAILED) {
		target_t *target = attempt_target(attempt);

		if (target != NULL &&
		    tcp_connect_error(upstream->connection) == ECONNREFUSED)
			health_checks_note_refused(
			    attempt->gateway->health_checks, target);
		attempt_unreachable(attempt);
	} else if (end == TCP_CLOSED_BY_PEER && !attempt->skipping &&
		   http_reader_finish(upstream->reader)) {
		attempt_complete(attempt, false);
	} else {
		attempt_incomplete(attempt);
	}
}

static void
on_connected(void *owner)
{
	upstream_t *upstream = owner;
	const target_t *target;

	ev_timer_stop(upstream->gateway->loop, &upstream->connect_timer);
	if (upstream->attempt == NULL)
		return;
	target = attempt_target(upstream->attempt);
	if (target == NULL)
		return;
	gateway_note_target_connected(upstream->gateway);
	/* Nothing is sent yet, and the target may have left meanwhile. */
	if (target_is_usable(upstream->gateway->targets, target))
		return;
	counter_increment("requests_not_sent", "reason", "target_left");
	attempt_fail(
	    upstream->attempt, FAILURE_UNREACHABLE, TARGET_RESULT_CANCELLED);
}

const tcp_events_t attempt_connection_events = {
    .connected = on_connected,
    .received = on_received,
    .ended = on_ended,
};
