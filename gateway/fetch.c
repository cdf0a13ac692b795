#include "internal.h"

#include <string.h>

/*
 * Maximum time without a byte from the other instance, and in all. A document
 * of 500 kB may take seconds on a busy link of 10 Mbit/s; a fetch that is
 * abandoned while it progresses would start over and load the link again.
 */
#define FETCH_STALL_S 1.0
#define FETCH_TIMEOUT_S 4.0

/*
 * Time for which a newer version is left to the watch of the store, which
 * usually brings it first. An instance without a configuration fetches at once.
 */
#define FETCH_DELAY_US (300 * US_PER_MS)

/* Size limit for a configuration: one value of the store. */
#define FETCH_BODY_LIMIT (2 << 20)
#define FETCH_HEAD_LIMIT 8192

/*
 * Fetches the configuration from an instance that reported a newer version.
 * Needed by an instance that can't reach the store, and by one that starts
 * while no instance can.
 */
struct fetch {
	gateway_t *gateway;
	tcp_t *connection; /* NULL while no fetch is running */
	http_reader_t *reader;
	GByteArray *body;
	unsigned status;
	bool too_large;
	ev_timer stall;
	ev_timer timeout;
};

static void
fetch_end(fetch_t *fetch)
{
	if (fetch->connection == NULL)
		return;
	ev_timer_stop(fetch->gateway->loop, &fetch->timeout);
	ev_timer_stop(fetch->gateway->loop, &fetch->stall);
	tcp_close(fetch->connection);
	tcp_unref(fetch->connection);
	fetch->connection = NULL;
}

static void
fetch_apply(fetch_t *fetch)
{
	gateway_t *gateway = fetch->gateway;
	g_autoptr(GError) error = NULL;
	catalog_t *catalog;
	GBytes *text;

	if (gateway_config_is_loaded(
		gateway, fetch->body->data, fetch->body->len))
		return;
	catalog = platform_catalog_read((const char *)fetch->body->data,
	    fetch->body->len, gateway->topology, &error);
	if (catalog == NULL) {
		gateway_note_unreadable_config(
		    gateway, "instance", error->message);
		return;
	}
	text = g_bytes_new(fetch->body->data, fetch->body->len);
	gateway_set_catalog(gateway, catalog, text, "instance");
	g_bytes_unref(text);
	catalog_unref(catalog);
}

static bool
on_head(void *owner, const http_head_t *head)
{
	((fetch_t *)owner)->status = head->status;
	return true;
}

static void
on_body(void *owner, const uint8_t *data, size_t len)
{
	fetch_t *fetch = owner;

	if (fetch->body->len + len <= FETCH_BODY_LIMIT)
		g_byte_array_append(fetch->body, data, (guint)len);
	else
		fetch->too_large = true;
}

static const http_sink_t sink = {on_head, on_body};

static void
on_received(void *owner, const uint8_t *data, size_t len)
{
	fetch_t *fetch = owner;
	size_t consumed;
	http_feed_t result =
	    http_reader_feed(fetch->reader, data, len, &consumed);

	if (result == HTTP_FEED_MORE && !fetch->too_large) {
		ev_timer_again(fetch->gateway->loop, &fetch->stall);
		return;
	}
	fetch_end(fetch);
	if (result == HTTP_FEED_COMPLETE && fetch->status == 200)
		fetch_apply(fetch);
	else
		log_event(LOG_WARNING, "config_fetch_failed",
		    LOG_I("status", fetch->status));
}

static void
on_ended(void *owner, tcp_end_t end)
{
	log_event(
	    LOG_NOTICE, "config_fetch_failed", LOG_S("cause", "connection"));
	fetch_end(owner);
}

static const tcp_events_t events = {
    .received = on_received,
    .ended = on_ended,
};

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	log_event(LOG_NOTICE, "config_fetch_failed", LOG_S("cause", "timeout"));
	fetch_end(watcher->data);
}

fetch_t *
fetch_create(gateway_t *gateway)
{
	fetch_t *fetch = g_new0(fetch_t, 1);

	fetch->gateway = gateway;
	fetch->body = g_byte_array_new();
	ev_timer_init(&fetch->stall, on_timeout, FETCH_STALL_S, FETCH_STALL_S);
	fetch->stall.data = fetch;
	ev_timer_init(&fetch->timeout, on_timeout, FETCH_TIMEOUT_S, 0);
	fetch->timeout.data = fetch;
	return fetch;
}

void
fetch_destroy(fetch_t *fetch)
{
	fetch_end(fetch);
	if (fetch->reader != NULL)
		http_reader_destroy(fetch->reader);
	g_byte_array_unref(fetch->body);
	g_free(fetch);
}

static void
fetch_start(fetch_t *fetch, uint32_t ip)
{
	static const char request[] =
	    "GET " PEER_CONFIG_PATH " HTTP/1.1\r\nHost: instance\r\n\r\n";
	net_address_t address = {ip, fetch->gateway->own_peer.port};

	fetch->connection =
	    tcp_connect(fetch->gateway->net, address, &events, fetch);
	if (fetch->connection == NULL)
		return;
	if (fetch->reader != NULL)
		http_reader_destroy(fetch->reader);
	fetch->reader =
	    http_reader_create(HTTP_RESPONSES, &sink, fetch, FETCH_HEAD_LIMIT);
	g_byte_array_set_size(fetch->body, 0);
	fetch->too_large = false;
	tcp_send(fetch->connection, request, strlen(request));
	ev_timer_set(&fetch->timeout, FETCH_TIMEOUT_S, 0);
	ev_timer_start(fetch->gateway->loop, &fetch->timeout);
	ev_timer_again(fetch->gateway->loop, &fetch->stall);
}

void
fetch_note_version(fetch_t *fetch, const char *version, uint32_t ip)
{
	const gateway_t *gateway = fetch->gateway;

	/* Versions only rise, also across a restore of the store. */
	if (version_compare(version, gateway_config_version(gateway)) <= 0)
		return;
	if (gateway->catalog != NULL &&
	    rollout_lag(&gateway->rollout, gateway_now(fetch->gateway)) <
		FETCH_DELAY_US)
		return;
	if (fetch->connection == NULL)
		fetch_start(fetch, ip);
}
