#include "internal.h"

#include <string.h>

#include "core/random.h"

/*
 * Maximum time without a byte from the other instance. One that progresses is
 * given up after FETCH_TIMEOUT_S only if another one can be asked: it would
 * start over and load the links again.
 */
#define FETCH_STALL_S 1.0
#define FETCH_TIMEOUT_S 4.0

/* Key by which members_is_responsible() selects who asks other regions. */
#define FETCH_FAR_KEY 0x636f6e666967

/* Size limit for a configuration: one value of the store. */
#define FETCH_BODY_LIMIT (2 << 20)
#define FETCH_HEAD_LIMIT 8192

/*
 * Fetches the configuration from an instance that reported a newer version
 * (core/rollout.h), as a compressed copy relative to the one in force here.
 * Instances of versions without compression send the document itself.
 */
struct fetch {
	gateway_t *gateway;
	tcp_t *connection; /* NULL while no fetch is running */
	http_reader_t *reader;
	uint32_t ip;	     /* asked last */
	packing_base_t base; /* named in the request */
	GByteArray *body;
	unsigned status;
	bool packed;   /* the answer is a frame */
	bool relative; /* to the base */
	bool whole;    /* asks without a base, after a damaged answer */
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

/* Ends a fetch that brought nothing, and asks another instance. */
static void
fetch_fail(fetch_t *fetch, const char *cause, bool busy)
{
	gateway_t *gateway = fetch->gateway;

	log_event(busy ? LOG_INFO : LOG_NOTICE, "config_fetch_failed",
	    LOG_S("cause", cause), LOG_I("status", fetch->status),
	    LOG_I("bytes", fetch->body->len));
	counter_increment("config_fetches", "result", cause);
	fetch_end(fetch);
	rollout_note_failed(
	    &gateway->rollout, fetch->ip, busy, gateway_now(gateway));
	fetch_update(fetch);
}

/* Returns NULL if the answer is damaged, or refers to another base. */
static GBytes *
fetch_document(const fetch_t *fetch)
{
	g_autoptr(GError) error = NULL;
	GBytes *document;

	if (!fetch->packed)
		return g_bytes_new(fetch->body->data, fetch->body->len);
	document = packing_unpack(fetch->body->data, fetch->body->len,
	    fetch->relative ? fetch->base.document : NULL, FETCH_BODY_LIMIT,
	    &error);
	if (document == NULL)
		log_event(LOG_WARNING, "config_damaged",
		    LOG_S("error", error->message));
	return document;
}

static void
fetch_apply(fetch_t *fetch)
{
	gateway_t *gateway = fetch->gateway;
	g_autoptr(GBytes) document = fetch_document(fetch);
	g_autofree char *before = g_strdup(gateway_config_version(gateway));
	g_autoptr(GError) error = NULL;
	catalog_t *catalog;
	const void *text;
	gsize len;

	fetch->whole = document == NULL;
	if (document == NULL) {
		fetch_fail(fetch, "damaged", false);
		return;
	}
	fetch_end(fetch);
	counter_increment(
	    "config_fetches", "result", fetch->relative ? "changes" : "whole");
	counter_add(counter_get("config_fetched_bytes", NULL, NULL),
	    (int64_t)fetch->body->len);
	text = g_bytes_get_data(document, &len);
	catalog =
	    gateway_config_is_loaded(gateway, text, len)
		? NULL
		: platform_catalog_read(text, len, gateway->topology, &error);
	if (catalog != NULL) {
		gateway_set_catalog(gateway, catalog, document, "instance");
		catalog_unref(catalog);
	} else if (error != NULL) {
		gateway_note_unreadable_config(
		    gateway, "instance", error->message);
	}
	/* Isn't asked again at once for what it doesn't have. */
	if (strcmp(before, gateway_config_version(gateway)) == 0)
		rollout_note_failed(
		    &gateway->rollout, fetch->ip, false, gateway_now(gateway));
}

static bool
on_head(void *owner, const http_head_t *head)
{
	fetch_t *fetch = owner;
	const http_field_t *encoding = http_head_find(head, "content-encoding");

	fetch->status = head->status;
	fetch->packed =
	    encoding != NULL && http_slice_is(encoding->value, "zstd");
	fetch->relative = http_head_find(head, PEER_FIELD_BASE) != NULL;
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
	if (result == HTTP_FEED_COMPLETE && fetch->status == 200)
		fetch_apply(fetch);
	else if (result == HTTP_FEED_COMPLETE && fetch->status == 503)
		fetch_fail(fetch, "busy", true);
	else
		fetch_fail(fetch, "refused", false);
}

static void
on_ended(void *owner, tcp_end_t end)
{
	fetch_fail(owner, "connection", false);
}

static const tcp_events_t events = {
    .received = on_received,
    .ended = on_ended,
};

static void
on_stall(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	fetch_fail(watcher->data, "stalled", false);
}

/* Returns the instance to ask, other than except; 0: none. */
static uint32_t
fetch_pick(fetch_t *fetch, uint32_t except)
{
	gateway_t *gateway = fetch->gateway;
	time_us_t now = gateway_now(gateway);
	bool far = gateway->catalog == NULL ||
		   members_is_responsible(gateway->members, FETCH_FAR_KEY,
		       ROLLOUT_FAR_READERS, now);

	return rollout_pick(&gateway->rollout, gateway_config_version(gateway),
	    far, except, random_next(&gateway->random), now);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	fetch_t *fetch = watcher->data;

	if (fetch_pick(fetch, fetch->ip) != 0) {
		fetch_fail(fetch, "timeout", false);
		return;
	}
	ev_timer_set(watcher, FETCH_TIMEOUT_S, 0);
	ev_timer_start(loop, watcher);
}

fetch_t *
fetch_create(gateway_t *gateway)
{
	fetch_t *fetch = g_new0(fetch_t, 1);

	fetch->gateway = gateway;
	fetch->body = g_byte_array_new();
	ev_timer_init(&fetch->stall, on_stall, FETCH_STALL_S, FETCH_STALL_S);
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
	packing_base_set(&fetch->base, NULL);
	g_free(fetch);
}

static void
fetch_start(fetch_t *fetch, uint32_t ip)
{
	g_autoptr(GString) request =
	    g_string_new("GET " PEER_CONFIG_PATH " HTTP/1.1\r\n"
			 "Host: instance\r\nAccept-Encoding: zstd\r\n");
	net_address_t address = {ip, fetch->gateway->own_peer.port};

	fetch->ip = ip;
	fetch->status = 0;
	fetch->connection =
	    tcp_connect(fetch->gateway->net, address, &events, fetch);
	if (fetch->connection == NULL) {
		rollout_note_failed(&fetch->gateway->rollout, ip, false,
		    gateway_now(fetch->gateway));
		return;
	}
	packing_base_set(&fetch->base,
	    fetch->whole ? NULL : packing_newest(fetch->gateway->packing));
	if (fetch->base.document != NULL)
		g_string_append_printf(
		    request, PEER_FIELD_BASE ": %s\r\n", fetch->base.digest);
	g_string_append(request, "\r\n");
	if (fetch->reader != NULL)
		http_reader_destroy(fetch->reader);
	fetch->reader =
	    http_reader_create(HTTP_RESPONSES, &sink, fetch, FETCH_HEAD_LIMIT);
	g_byte_array_set_size(fetch->body, 0);
	fetch->too_large = false;
	tcp_send(fetch->connection, request->str, request->len);
	ev_timer_set(&fetch->timeout, FETCH_TIMEOUT_S, 0);
	ev_timer_start(fetch->gateway->loop, &fetch->timeout);
	ev_timer_again(fetch->gateway->loop, &fetch->stall);
}

void
fetch_update(fetch_t *fetch)
{
	uint32_t ip;

	if (fetch->connection != NULL ||
	    !rollout_is_behind(
		&fetch->gateway->rollout, gateway_now(fetch->gateway)))
		return;
	ip = fetch_pick(fetch, 0);
	if (ip != 0)
		fetch_start(fetch, ip);
}
