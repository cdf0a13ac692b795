#include "request.h"

/*
 * Requests whose route or key isn't known here while other instances have a
 * newer configuration. A refusal by an older one would be final for their
 * callers, who may just have been told of the route.
 *
 * Load pattern: operators add routes, and callers use them at once, at
 * instances that the version hasn't reached yet; others ask for what exists
 * nowhere.
 */

/* Requests that wait at a time; further ones are told to come again. */
#define PENDING_LIMIT 256

/* Retry-After of a request that has waited in vain. */
#define PENDING_RETRY_US (500 * US_PER_MS)

struct pending {
	request_t *request;
	ev_timer timer;
};

static void
pending_refuse(request_t *request)
{
	request_refuse(request, 503, "config_behind", PENDING_RETRY_US);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	pending_t *pending = watcher->data;
	request_t *request = pending->request;

	request_ref(request);
	pending_cancel(request);
	pending_refuse(request);
	request_unref(request);
}

bool
pending_begin(request_t *request)
{
	gateway_t *gateway = request->gateway;
	time_us_t now = gateway_now(gateway);
	time_us_t until = rollout_wait_end(&gateway->rollout,
	    request->arrived_at, request->parsed.time_left_ms * US_PER_MS, now);
	pending_t *pending;

	if (until == 0)
		return false;
	if (now >= until || gateway->pending->len >= PENDING_LIMIT) {
		pending_refuse(request);
		return true;
	}
	counter_increment("requests_pending_config", NULL, NULL);
	pending = g_new0(pending_t, 1);
	pending->request = request;
	ev_timer_init(&pending->timer, on_timeout, 0, 0);
	pending->timer.data = pending;
	gateway_start_timer_at(gateway, &pending->timer, until);
	request->pending = pending;
	g_ptr_array_add(gateway->pending, pending);
	return true;
}

void
pending_cancel(request_t *request)
{
	pending_t *pending = request->pending;

	if (pending == NULL)
		return;
	request->pending = NULL;
	ev_timer_stop(request->gateway->loop, &pending->timer);
	g_ptr_array_remove_fast(request->gateway->pending, pending);
	g_free(pending);
}

void
pending_retry_all(gateway_t *gateway)
{
	g_autoptr(GPtrArray) requests = g_ptr_array_new();

	for (guint i = 0; i < gateway->pending->len; i++) {
		const pending_t *pending =
		    g_ptr_array_index(gateway->pending, i);

		g_ptr_array_add(requests, request_ref(pending->request));
	}
	for (guint i = 0; i < requests->len; i++) {
		request_t *request = g_ptr_array_index(requests, i);

		/* One that goes on may end others. */
		if (request->pending != NULL) {
			pending_cancel(request);
			request_start(request);
		}
		request_unref(request);
	}
}
