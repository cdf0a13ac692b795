#include "request.h"

/*
 * Streams that callers resume: finds out which version began one, from what is
 * known here (core/streams.h) or from other instances.
 */

/* A stream lasts at most this many timeouts of its route. */
#define STREAM_LIFE_TIMEOUTS 2

/*
 * Retry-After. Waiting makes no lost stream known, and another instance may
 * hear of some that this one doesn't.
 */
#define RESUMPTION_RETRY_US (100 * US_PER_MS)

struct resumption {
	request_t *request;
	uint64_t id;
	ev_timer timer;
};

static time_us_t
stream_life(const request_t *request)
{
	return MAX(STREAM_LIFE_MIN_US,
	    STREAM_LIFE_TIMEOUTS * US_PER_MS * request->route->timeout_ms);
}

/*
 * The service whose history tells the version; 0 if any of several may have
 * begun the stream.
 */
static uint32_t
history_service(const request_t *request)
{
	return request->route->n_backends == 1
		   ? target_short_id(request->service->name)
		   : 0;
}

/* Changes the service, drawn at random, to the one of the stream's version. */
static void
service_choose(request_t *request)
{
	const targets_t *targets = request->gateway->targets;
	const catalog_route_t *route = request->route;

	for (size_t i = 0; i < targets_count(targets); i++) {
		const target_t *target = targets_at(targets, i);

		if (target->version != request->stream_version)
			continue;
		for (size_t j = 0; j < route->n_backends; j++) {
			const catalog_service_t *service =
			    route->backends[j].service;

			if (strcmp(service->name, target->entry.service) != 0)
				continue;
			request->service = service;
			request->service_state = gateway_service_state(
			    request->gateway, request->service->name);
			return;
		}
	}
}

/* Returns false if nothing is known here. current: see streams_find(). */
static bool
version_find(request_t *request, uint64_t id, bool current)
{
	gateway_t *gateway = request->gateway;

	if (*request->parsed.resumes == '\0') {
		/* Of an older caller, which names no attempt. */
		request->stream_version = streams_only_version(
		    gateway->streams, history_service(request), current);
		return request->stream_version != STREAM_VERSION_UNKNOWN;
	}
	if (!streams_find(gateway->streams, id, history_service(request),
		stream_life(request), current, gateway_now(gateway),
		&request->stream_version))
		return false;
	service_choose(request);
	return true;
}

static void
resumption_refuse(request_t *request)
{
	request_refuse(request, 503, "stream_unknown", RESUMPTION_RETRY_US);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	resumption_t *resumption = watcher->data;
	request_t *request = resumption->request;

	request_ref(request);
	resumption_cancel(request);
	resumption_refuse(request);
	request_unref(request);
}

static void
resumption_wait(request_t *request, uint64_t id)
{
	gateway_t *gateway = request->gateway;
	resumption_t *resumption = g_new0(resumption_t, 1);
	bool current = gateway_list_is_current(gateway);

	resumption->request = request;
	resumption->id = id;
	ev_timer_init(&resumption->timer, on_timeout, 0, 0);
	resumption->timer.data = resumption;
	gateway_start_timer(gateway, &resumption->timer, RESUMPTION_WAIT_US);
	request->resumption = resumption;
	g_ptr_array_add(gateway->resumptions, resumption);
	/* The history would tell, if no target has joined meanwhile. */
	if (!current && version_find(request, id, true))
		store_confirm(gateway->store);
	request->stream_version = STREAM_VERSION_UNKNOWN;
	if (*request->parsed.resumes == '\0')
		return;
	counter_increment("stream_versions_asked", NULL, NULL);
	gossip_ask_stream(
	    gateway->gossip, &(stream_query_t){id, history_service(request),
				 (uint32_t)(stream_life(request) / US_PER_MS)});
}

bool
resumption_begin(request_t *request)
{
	uint64_t id = stream_id(request->parsed.resumes);
	bool current = gateway_list_is_current(request->gateway);

	if (request->route->kind != ROUTE_STREAM ||
	    *request->parsed.resume_after == '\0')
		return true;
	request->continues = true;
	if (request->has_peer_version) {
		request->stream_version = request->peer_version;
		service_choose(request);
	} else if (!version_find(request, id, current) &&
		   (!current || *request->parsed.resumes != '\0')) {
		resumption_wait(request, id);
		return false;
	}
	if (request->stream_version != STREAM_VERSION_UNKNOWN)
		return true;
	resumption_refuse(request);
	return false;
}

void
resumption_cancel(request_t *request)
{
	resumption_t *resumption = request->resumption;

	if (resumption == NULL)
		return;
	request->resumption = NULL;
	ev_timer_stop(request->gateway->loop, &resumption->timer);
	g_ptr_array_remove_fast(request->gateway->resumptions, resumption);
	g_free(resumption);
}

/* Goes on with the request, or refuses it, if its version is known now. */
static void
resumption_retry(resumption_t *resumption, bool current)
{
	request_t *request = resumption->request;

	if (!version_find(request, resumption->id, current))
		return;
	request_ref(request);
	resumption_cancel(request);
	if (request->stream_version != STREAM_VERSION_UNKNOWN)
		request_dispatch(request);
	else
		resumption_refuse(request);
	request_unref(request);
}

/* id: of the only stream that is concerned, or NULL. */
static void
resumptions_retry_of(gateway_t *gateway, const uint64_t *id)
{
	bool current = gateway_list_is_current(gateway);

	for (guint i = gateway->resumptions->len; i > 0; i--) {
		resumption_t *resumption;

		/* A request that goes on may end others. */
		if (i > gateway->resumptions->len)
			continue;
		resumption = g_ptr_array_index(gateway->resumptions, i - 1);
		if (id == NULL || resumption->id == *id)
			resumption_retry(resumption, current);
	}
}

void
resumptions_note_record(gateway_t *gateway, uint64_t id)
{
	resumptions_retry_of(gateway, &id);
}

void
resumptions_retry(gateway_t *gateway)
{
	resumptions_retry_of(gateway, NULL);
}
