#include "internal.h"

#include <string.h>
#include <unistd.h>

#define MS_PER_S 1000

/* Maximum bytes of pipelined requests buffered while one is processed. */
#define INPUT_LIMIT 262144

/* Limits that apply until a configuration is loaded. */
#define HEAD_LIMIT_DEFAULT 16384
#define HEADER_TIMEOUT_DEFAULT_MS 3000
#define IDLE_TIMEOUT_DEFAULT_MS 15000

/*
 * A connection is closed this long after its idle timeout: a request that a
 * caller sends at the timeout is still on its way, or in the socket of an
 * instance that is stalled.
 */
#define IDLE_GRACE_MS 1000

/* Time in which input that was unread at a timeout is read. */
#define UNREAD_RECHECK_MS 50

/*
 * Share of the file descriptors for connections of callers and instances, after
 * a fixed number reserved for other uses.
 */
#define CLIENT_DESCRIPTOR_SHARE 0.5
#define DESCRIPTORS_RESERVED 200

/*
 * A request read within this time after its connection is no longer held came
 * while it was held. Later ones are of callers that had nothing to ask yet.
 */
#define HELD_REQUEST_US (50 * US_PER_MS)

struct client {
	gateway_t *gateway;
	tcp_t *connection;
	http_reader_t *reader;
	bool from_peer;
	request_t *request; /* being received or processed */
	/*
	 * A request is being processed or answered: it is complete, was
	 * refused, or reads the store through this instance. Further input is
	 * only buffered.
	 */
	bool processing;
	bool head_only;	  /* the answer is to HEAD: it has no body */
	bool close_after; /* close the connection after the response */
	bool chunked;
	bool feeding;	   /* client_feed() is on the stack */
	bool destroyed;	   /* freed when client_feed() returns */
	GByteArray *input; /* received, not yet parsed */
	uint64_t body_len;
	replica_watch_t *watch; /* pending watch on the store */
	time_us_t idle_since;	/* accepted, or last response ended */
	time_us_t held_since;	/* see client_release_held(); 0: not held */
	time_us_t released_at;
	bool held;		 /* not read before the instance can serve */
	bool rechecking;	 /* the timer was extended for unread input */
	int64_t idle_timeout_ms; /* as last announced */
	size_t undelivered;	 /* at the last idle timeout */
	ev_timer timer;		 /* header, body or idle timeout */
};

static void client_continue(client_t *client);

static const caller_limits_t *
client_limits(const client_t *client)
{
	static const caller_limits_t defaults = {HEAD_LIMIT_DEFAULT, 4 << 20,
	    HEADER_TIMEOUT_DEFAULT_MS, IDLE_TIMEOUT_DEFAULT_MS};

	return client->gateway->catalog != NULL
		   ? catalog_limits(client->gateway->catalog)
		   : &defaults;
}

static void
client_set_timer(client_t *client, int64_t ms)
{
	client->rechecking = false;
	gateway_start_timer(client->gateway, &client->timer, ms * US_PER_MS);
}

/* Time until an idle connection is closed. */
static int64_t
client_idle_left_ms(const client_t *client)
{
	time_us_t idle = gateway_now(client->gateway) - client->idle_since;
	int64_t timeout_ms = MAX(
	    client->idle_timeout_ms, client_limits(client)->idle_timeout_ms);

	return timeout_ms + IDLE_GRACE_MS - idle / US_PER_MS;
}

static void
client_free(client_t *client)
{
	http_reader_destroy(client->reader);
	g_byte_array_unref(client->input);
	g_free(client);
}

/* Frees the client; the connection may still send pending data. */
static void
client_release(client_t *client)
{
	if (client->destroyed)
		return;
	client->destroyed = true;
	ev_timer_stop(client->gateway->loop, &client->timer);
	g_hash_table_remove(client->gateway->clients, client);
	tcp_unref(client->connection);
	if (client->watch != NULL)
		replica_cancel_watch(client->watch);
	client->watch = NULL;
	if (client->request != NULL) {
		request_t *request = client->request;

		client->request = NULL;
		request_cancel(request);
		request_unref(request);
	}
	if (!client->feeding)
		client_free(client);
}

void
client_destroy(client_t *client)
{
	tcp_close(client->connection);
	client_release(client);
}

/* Counts a close, and logs one that loses input or output. */
static void
client_count_close(
    const client_t *client, const char *reason, bool discards_output)
{
	size_t unread = tcp_unread(client->connection);
	size_t unsent = discards_output ? tcp_pending(client->connection) : 0;

	counter_increment("connections_closed", "reason", reason);
	if (unread + unsent > 0)
		log_event(LOG_NOTICE, "connection_closed",
		    LOG_S("reason", reason),
		    LOG_I("idle_ms",
			(gateway_now(client->gateway) - client->idle_since) /
			    US_PER_MS),
		    LOG_I("unread", unread), LOG_I("unsent", unsent));
}

void
client_exit(client_t *client)
{
	client_count_close(client, "exit", true);
	client_destroy(client);
}

static void
client_finish(client_t *client)
{
	tcp_finish(client->connection);
	client_release(client);
}

bool
client_has_data_in_transit(const client_t *client)
{
	return tcp_pending(client->connection) > 0 ||
	       tcp_unread(client->connection) > 0;
}

void
client_close_idle(client_t *client)
{
	time_us_t idle = gateway_now(client->gateway) - client->idle_since;

	if (client->request != NULL || client->processing ||
	    client->input->len > 0 ||
	    http_reader_is_mid_message(client->reader) ||
	    idle < CLIENT_IDLE_MIN_US || client_has_data_in_transit(client))
		return;
	/*
	 * A request that arrives during the close is never read, so its caller
	 * may safely retry it elsewhere, idempotent or not.
	 */
	client_count_close(client, "stopping", true);
	client_destroy(client);
}

size_t
client_pending(const client_t *client)
{
	return tcp_pending(client->connection);
}

bool
client_check_end(client_t *client)
{
	return tcp_check_end(client->connection);
}

request_t *
client_request(const client_t *client)
{
	return client->request;
}

client_memory_t
client_memory(const client_t *client)
{
	return (client_memory_t){client->input->len,
	    tcp_pending(client->connection),
	    client->request ? request_buffered(client->request) : 0};
}

/*
 * Called when the response is complete: continues with the next request, or
 * closes the connection.
 */
static void
client_response_done(client_t *client)
{
	request_t *request = client->request;

	client->request = NULL;
	client->processing = false;
	client->head_only = false;
	client->idle_since = gateway_now(client->gateway);
	client->undelivered = 0;
	if (request != NULL)
		request_unref(request);
	if (client->close_after) {
		client_count_close(client, "response_done", false);
		client_finish(client);
		return;
	}
	client_set_timer(client, client_idle_left_ms(client));
	client_continue(client);
}

/* Returns whether another request, or a part of it, has arrived. */
static bool
client_has_next(const client_t *client)
{
	/* While it is parsed, the input still holds the present request. */
	return !client->feeding &&
	       (client->input->len > 0 || tcp_unread(client->connection) > 0);
}

void
client_begin_response(client_t *client, GString *head, uint64_t length)
{
	/* A request that has come already is answered before the close. */
	if (gateway_is_leaving(client->gateway) && !client_has_next(client))
		client->close_after = true;
	client->chunked = length == HTTP_LENGTH_UNKNOWN;
	if (client->chunked)
		g_string_append(head, "Transfer-Encoding: chunked\r\n");
	else
		g_string_append_printf(head,
		    "Content-Length: %" G_GUINT64_FORMAT "\r\n",
		    (guint64)length);
	if (client->close_after) {
		g_string_append(head, "Connection: close\r\n");
	} else {
		/* Whole seconds; 0 would tell callers not to reuse it. */
		int64_t timeout_s =
		    MAX(1, client_limits(client)->idle_timeout_ms / MS_PER_S);

		client->idle_timeout_ms = timeout_s * MS_PER_S;
		g_string_append_printf(head,
		    "Keep-Alive: timeout=%" G_GINT64_FORMAT "\r\n", timeout_s);
	}
	g_string_append(head, "\r\n");
	tcp_send(client->connection, head->str, head->len);
}

void
client_send_body(client_t *client, const void *data, size_t len)
{
	char line[24];

	if (len == 0 || client->head_only)
		return;
	if (!client->chunked) {
		tcp_send(client->connection, data, len);
		return;
	}
	g_snprintf(line, sizeof(line), "%zx\r\n", len);
	tcp_send(client->connection, line, strlen(line));
	tcp_send(client->connection, data, len);
	tcp_send(client->connection, "\r\n", 2);
}

void
client_end_response(client_t *client)
{
	if (client->chunked && !client->head_only)
		tcp_send(client->connection, "0\r\n\r\n", 5);
	client_response_done(client);
}

void
client_abort(client_t *client)
{
	tcp_abort(client->connection);
	client_release(client);
}

static const char *
status_text(unsigned status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Error";
	}
}

void
client_respond(client_t *client, unsigned status, const char *fields,
    const char *type, const char *body)
{
	g_autoptr(GString) head = g_string_sized_new(256);

	g_string_append_printf(head, "HTTP/1.1 %u %s\r\nContent-Type: %s\r\n%s",
	    status, status_text(status), type, fields);
	client_begin_response(client, head, strlen(body));
	client_send_body(client, body, strlen(body));
	client_end_response(client);
}

/*
 * Refuses a request that can't be parsed or accepted. The connection is closed,
 * as the rest of its data can't be parsed either.
 */
static void
client_refuse(client_t *client, unsigned status, const char *reason)
{
	g_autofree char *body = g_strdup_printf("{\"error\":\"%s\"}", reason);

	counter_increment("requests_refused", "reason", reason);
	log_event(LOG_NOTICE, "request_refused", LOG_I("status", status),
	    LOG_S("reason", reason));
	client->close_after = true;
	client->processing = true;
	client_respond(client, status, "", "application/json", body);
}

/*
 * Compressed configurations that wait to be sent. A reader that is refused asks
 * another instance that has the version, instead of waiting for its share of
 * this one's link.
 */
#define CONFIG_OUTPUT_LIMIT ((size_t)64 << 10)

static void
config_refuse(client_t *client)
{
	counter_increment("relay_answers_refused", "call", "config");
	client_respond(client, 503, "", "text/plain", "busy\n");
}

/* Returns NULL if the reader doesn't take it, or it can't be made. */
static GBytes *
config_frame(client_t *client, const http_head_t *head, GString *fields)
{
	packing_t *packing = client->gateway->packing;
	const http_field_t *accepted = http_head_find(head, "accept-encoding");
	const http_field_t *base = http_head_find(head, PEER_FIELD_BASE);
	g_autofree char *digest = NULL;
	bool relative;
	GBytes *frame;

	if (accepted == NULL || !http_slice_list_has(accepted->value, "zstd"))
		return NULL;
	if (base != NULL)
		digest = g_strndup(base->value.text, base->value.len);
	frame =
	    packing_frame(packing, packing_newest(packing), digest, &relative);
	if (frame == NULL)
		return NULL;
	g_string_append(fields, "Content-Encoding: zstd\r\n");
	if (relative)
		g_string_append_printf(
		    fields, PEER_FIELD_BASE ": %s\r\n", digest);
	return frame;
}

/* Sends the configuration to another instance. */
static void
client_send_config(client_t *client, const http_head_t *request)
{
	gateway_t *gateway = client->gateway;
	GBytes *document = packing_newest(gateway->packing);
	g_autoptr(GString) head = g_string_new("HTTP/1.1 200 OK\r\n");
	g_autoptr(GBytes) frame = NULL;
	gsize len = 0;
	const void *text = NULL;

	client->close_after = true;
	client->processing = true;
	if (document == NULL) {
		client_respond(client, 503, "", "text/plain", "none\n");
		return;
	}
	frame = config_frame(client, request, head);
	if (frame != NULL) {
		text = g_bytes_get_data(frame, &len);
		if (gateway->config_output > 0 &&
		    gateway->config_output + len > CONFIG_OUTPUT_LIMIT) {
			config_refuse(client);
			return;
		}
		tcp_count_output(client->connection, &gateway->config_output);
		client_begin_response(client, head, len);
		client_send_body(client, text, len);
		client_end_response(client);
		return;
	}
	text = g_bytes_get_data(document, &len);
	if (gateway->relay_memory.claimed > 0 &&
	    !memory_has_room(&gateway->relay_memory, len)) {
		config_refuse(client);
		return;
	}
	tcp_count_output(client->connection, &gateway->relay_memory.claimed);
	client_begin_response(client, head, len);
	client_send_body(client, text, len);
	client_end_response(client);
}

static void
on_store_reply(void *owner, unsigned status, int64_t era, const char *body)
{
	client_t *client = owner;
	g_autoptr(GString) fields = g_string_new(NULL);

	client->watch = NULL;
	platform_store_append_era(fields, era);
	client_respond(client, status, fields->str, "application/json", body);
}

/*
 * Serves another instance that reads the store through this one. Returns false
 * if the request is for something else.
 */
static bool
client_serve_store(client_t *client, const http_head_t *head)
{
	bool known;

	client->processing = true;
	tcp_count_output(
	    client->connection, &client->gateway->relay_memory.claimed);
	client->watch = store_serve(client->gateway->store, head,
	    gateway_now(client->gateway) / US_PER_MS, on_store_reply, client,
	    &known);
	if (!known) {
		client->processing = false;
		tcp_count_output(client->connection, NULL);
	}
	return known;
}

static bool
on_head(void *owner, const http_head_t *head)
{
	client_t *client = owner;
	const http_field_t *expect;

	client->body_len = 0;
	client->head_only = http_slice_is(head->method, "head");
	if (!head->keep_alive)
		client->close_after = true;
	if (head->content_length != HTTP_LENGTH_UNKNOWN &&
	    head->content_length > client_limits(client)->max_body_bytes) {
		client_refuse(client, 413, "body_too_large");
		return false;
	}
	if (client->from_peer &&
	    http_slice_is(head->target, PEER_CONFIG_PATH)) {
		client_send_config(client, head);
		return false;
	}
	if (client->from_peer && client_serve_store(client, head))
		return true;
	client->request =
	    request_create(client, client->gateway, head, client->from_peer);
	if (client->request == NULL) {
		client_refuse(client, 400, "request_unreadable");
		return false;
	}
	expect = http_head_find(head, "expect");
	if (expect != NULL && http_slice_is(expect->value, "100-continue"))
		tcp_send(
		    client->connection, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	client_set_timer(client, client_limits(client)->idle_timeout_ms);
	return true;
}

static void
on_body(void *owner, const uint8_t *data, size_t len)
{
	client_t *client = owner;

	if (client->request == NULL || client->processing)
		return;
	client->body_len += len;
	if (client->body_len > client_limits(client)->max_body_bytes) {
		request_t *request = client->request;

		client->request = NULL;
		request_cancel(request);
		request_unref(request);
		client_refuse(client, 413, "body_too_large");
		return;
	}
	request_append_body(client->request, data, len);
}

static const http_sink_t sink = {on_head, on_body};

/* Parses one request, or as much of it as has been received. */
static void
client_feed(client_t *client, const uint8_t *data, size_t len, size_t *consumed)
{
	bool inside = http_reader_is_mid_message(client->reader);
	http_feed_t result;

	http_reader_set_head_limit(
	    client->reader, client_limits(client)->max_header_bytes);
	result = http_reader_feed(client->reader, data, len, consumed);
	if (client->destroyed || client->processing)
		return;
	switch (result) {
	case HTTP_FEED_MORE:
		/* Blank lines before a request don't begin one. */
		if (!inside && client->request == NULL &&
		    http_reader_is_mid_message(client->reader))
			client_set_timer(
			    client, client_limits(client)->header_timeout_ms);
		return;
	case HTTP_FEED_COMPLETE:
		/* A read of the store by another instance, answered already. */
		if (client->request == NULL)
			return;
		ev_timer_stop(client->gateway->loop, &client->timer);
		client->processing = true;
		request_start(client->request);
		return;
	case HTTP_FEED_STOPPED:
		return;
	case HTTP_FEED_TOO_LARGE:
		client_refuse(client, 431, "head_too_large");
		return;
	case HTTP_FEED_MALFORMED:
		client_refuse(client, 400, "request_malformed");
		return;
	}
}

/* Parses buffered input up to the end of the next request to be processed. */
static void
client_continue(client_t *client)
{
	if (client->feeding)
		return;
	client->feeding = true;
	while (!client->destroyed && !client->processing &&
	       client->input->len > 0) {
		size_t consumed;

		client_feed(
		    client, client->input->data, client->input->len, &consumed);
		if (consumed > 0)
			g_byte_array_remove_range(
			    client->input, 0, (guint)consumed);
	}
	client->feeding = false;
	if (client->destroyed)
		client_free(client);
	else if (client->input->len < INPUT_LIMIT)
		tcp_pause(client->connection, false);
}

static void
on_received(void *owner, const uint8_t *data, size_t len)
{
	client_t *client = owner;

	g_byte_array_append(client->input, data, (guint)len);
	if (client->processing) {
		if (client->input->len >= INPUT_LIMIT)
			tcp_pause(client->connection, true);
		return;
	}
	client_continue(client);
}

static void
on_ended(void *owner, tcp_end_t end)
{
	client_release(owner);
}

static void
on_drained(void *owner)
{
	client_t *client = owner;

	if (client->request != NULL && client->processing)
		request_on_drained(client->request);
}

static const tcp_events_t connection_events = {
    .received = on_received,
    .ended = on_ended,
    .drained = on_drained,
};

static void
client_hold(client_t *client)
{
	client->held = true;
	client->held_since = gateway_now(client->gateway);
	tcp_pause(client->connection, true);
}

void
client_release_held(client_t *client)
{
	if (!client->held)
		return;
	client->held = false;
	client->released_at = gateway_now(client->gateway);
	tcp_pause(client->connection, false);
}

time_us_t
client_request_arrival(client_t *client)
{
	time_us_t now = gateway_now(client->gateway);
	bool waited = client->held_since != 0 &&
		      now - client->released_at < HELD_REQUEST_US;
	time_us_t arrival = waited ? client->held_since : now;

	client->held_since = 0;
	return arrival;
}

/*
 * A caller that still reads its last answer isn't idle: its time begins with
 * the end of the answer, as the caller sees it. One that reads nothing for a
 * whole timeout is given up.
 */
static bool
client_is_reading(client_t *client)
{
	size_t undelivered = tcp_undelivered(client->connection);
	bool reading =
	    undelivered > 0 &&
	    (client->undelivered == 0 || undelivered < client->undelivered);

	client->undelivered = undelivered;
	return reading;
}

static void
on_idle_timeout(client_t *client)
{
	int64_t left_ms;

	if (client_is_reading(client))
		client->idle_since = gateway_now(client->gateway);
	/* The limit may have been raised since the timer was set. */
	left_ms = client_idle_left_ms(client);
	if (left_ms > 0) {
		client_set_timer(client, left_ms);
		return;
	}
	client_count_close(client, "idle", true);
	/* See client_close_idle() for a request that is still on its way. */
	client_destroy(client);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int revents)
{
	client_t *client = watcher->data;

	if (client->processing)
		return;
	/* Once, so that a caller can't extend its time byte by byte. */
	if (!client->rechecking && tcp_unread(client->connection) > 0) {
		client_set_timer(client, UNREAD_RECHECK_MS);
		client->rechecking = true;
		return;
	}
	if (client->request != NULL ||
	    http_reader_is_mid_message(client->reader)) {
		if (client->request != NULL) {
			request_t *request = client->request;

			client->request = NULL;
			request_cancel(request);
			request_unref(request);
		}
		client_refuse(client, 408, "request_too_slow");
		return;
	}
	on_idle_timeout(client);
}

void
client_accept(gateway_t *gateway, int fd, bool from_peer)
{
	uint32_t limit =
	    (uint32_t)(CLIENT_DESCRIPTOR_SHARE *
		       MAX(64, (int)gateway->settings->descriptor_limit -
				   DESCRIPTORS_RESERVED));
	client_t *client;

	if (g_hash_table_size(gateway->clients) >= limit) {
		counter_increment("connections_refused", NULL, NULL);
		close(fd);
		return;
	}
	/* Callers that don't read their last answer give way to new ones. */
	if (g_hash_table_size(gateway->clients) +
		net_n_finishing(gateway->net) >=
	    limit)
		net_close_oldest_finishing(gateway->net);
	client = g_new0(client_t, 1);
	client->gateway = gateway;
	client->from_peer = from_peer;
	client->idle_since = gateway_now(gateway);
	client->input = g_byte_array_new();
	client->reader = http_reader_create(
	    HTTP_REQUESTS, &sink, client, HEAD_LIMIT_DEFAULT);
	client->connection =
	    tcp_adopt(gateway->net, fd, &connection_events, client);
	ev_timer_init(&client->timer, on_timer, 0, 0);
	client->timer.data = client;
	client_set_timer(client, client_idle_left_ms(client));
	g_hash_table_add(gateway->clients, client);
	counter_increment("connections_accepted", NULL, NULL);
	if (!from_peer && gateway_holds_callers(gateway))
		client_hold(client);
}
