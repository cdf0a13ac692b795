#include "upstream/transfer.h"

#include <ck_pr.h>
#include <ck_ring.h>
#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "common/clock.h"

/* Longest sleep of the thread, and resolution of the idle timeouts. */
#define ENGINE_WAIT_MS 200

/* Bits of transfer.signals, set by any thread and cleared by the engine's. */
enum { SIGNAL_START = 1u, SIGNAL_RESUME = 2u, SIGNAL_CANCEL = 4u };

struct transfer {
	gint refs;
	transfer_engine_t *engine;
	transfer_callbacks_t callbacks;
	void *user;
	uint32_t signals;
	uint32_t queued; /* 1 while the transfer is in the ring */

	/* Used by the engine's thread only, once started. */
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	transfer_head_t head;
	char content_type[128];
	char retry_after[32];
	char execution[16];
	char error[CURL_ERROR_SIZE];
	bool head_delivered;
	bool paused;
	bool done;
	time_us_t start_by;
	time_us_t idle_timeout_us;
	time_us_t progress_at;
	GList *node; /* in engine->running */
};

struct transfer_engine {
	pthread_t thread;
	CURLM *multi;
	ck_ring_t ring;
	ck_ring_buffer_t *ring_buffer;
	GList *running;
	uint32_t count; /* live transfers */
	uint32_t capacity;
	uint32_t stopping;
};

static void
transfer_free(transfer_t *transfer)
{
	curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
	g_free(transfer->body);
	ck_pr_dec_32(&transfer->engine->count);
	g_free(transfer);
}

void
transfer_unref(transfer_t *transfer)
{
	if (transfer != NULL && g_atomic_int_dec_and_test(&transfer->refs))
		transfer_free(transfer);
}

/*
 * Queues the transfer for the engine's thread. Each transfer is in the ring at
 * most once and the ring is larger than capacity, so it can't be full.
 */
static void
transfer_signal(transfer_t *transfer, uint32_t signals)
{
	transfer_engine_t *engine = transfer->engine;

	ck_pr_or_32(&transfer->signals, signals);
	if (ck_pr_fas_32(&transfer->queued, 1) != 0)
		return;
	g_atomic_int_inc(&transfer->refs);
	if (!ck_ring_enqueue_mpsc(&engine->ring, engine->ring_buffer, transfer))
		g_error("transfer ring is full: it must be larger than the "
			"capacity");
	curl_multi_wakeup(engine->multi);
}

void
transfer_resume(transfer_t *transfer)
{
	transfer_signal(transfer, SIGNAL_RESUME);
}

void
transfer_cancel(transfer_t *transfer)
{
	transfer_signal(transfer, SIGNAL_CANCEL);
}

static void
head_deliver(transfer_t *transfer)
{
	long status = 0;

	if (transfer->head_delivered)
		return;
	transfer->head_delivered = true;
	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	transfer->head.status = (int)status;
	transfer->callbacks.on_head(transfer->user, &transfer->head);
}

static size_t
data_receive(char *data, size_t size, size_t count, void *user)
{
	transfer_t *transfer = user;
	size_t len = size * count;

	transfer->progress_at = clock_now();
	head_deliver(transfer);
	if (transfer->callbacks.on_data(transfer->user, data, len))
		return len;
	transfer->paused = true;
	return CURL_WRITEFUNC_PAUSE;
}

/* Copies the value of a header line into out when its name matches. */
static bool
header_copy(
    const char *line, size_t len, const char *name, char *out, size_t size)
{
	size_t name_len = strlen(name);
	size_t value_len;

	if (len <= name_len || line[name_len] != ':' ||
	    g_ascii_strncasecmp(line, name, name_len) != 0)
		return false;
	line += name_len + 1;
	len -= name_len + 1;
	while (len > 0 && (*line == ' ' || *line == '\t')) {
		line++;
		len--;
	}
	while (len > 0 && g_ascii_isspace(line[len - 1]))
		len--;
	value_len = MIN(len, size - 1);
	memcpy(out, line, value_len);
	out[value_len] = '\0';
	return true;
}

static size_t
header_receive(char *line, size_t size, size_t count, void *user)
{
	transfer_t *transfer = user;
	size_t len = size * count;
	char load[16];

	transfer->progress_at = clock_now();
	header_copy(line, len, "Content-Type", transfer->content_type,
	    sizeof(transfer->content_type));
	if (header_copy(line, len, "Retry-After", transfer->retry_after,
		sizeof(transfer->retry_after)))
		transfer->head.retry_after = transfer->retry_after;
	if (header_copy(line, len, "X-Cyclamensail-Ran", transfer->execution,
		sizeof(transfer->execution)))
		transfer->head.execution = transfer->execution;
	if (header_copy(line, len, "X-Load", load, sizeof(load)))
		transfer->head.reported_load =
		    (int)g_ascii_strtoll(load, NULL, 10);
	return len;
}

static void
easy_prepare(transfer_t *transfer, const transfer_spec_t *spec)
{
	CURL *easy = transfer->easy;

	for (const char *const *line = spec->headers; *line != NULL; line++)
		transfer->headers = curl_slist_append(transfer->headers, *line);
	transfer->headers = curl_slist_append(transfer->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, spec->url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer->error);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_SSL_VERIFYPEER, 1L);
	curl_easy_setopt(easy, CURLOPT_SSL_VERIFYHOST, 2L);
	if (spec->authority != NULL) {
		curl_easy_setopt(easy, CURLOPT_CAINFO, spec->authority);
		curl_easy_setopt(easy, CURLOPT_CAPATH, NULL);
	}
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, data_receive);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, header_receive);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)(spec->connect_timeout_us / US_PER_MS));
	if (strcmp(spec->method, "HEAD") == 0) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	} else if (strcmp(spec->method, "POST") == 0) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)spec->body_len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
		    transfer->body ? transfer->body : "");
	}
	if (spec->single_send) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

transfer_t *
transfer_start(transfer_engine_t *engine, const transfer_spec_t *spec,
    const transfer_callbacks_t *callbacks, void *user)
{
	transfer_t *transfer;

	if (ck_pr_load_32(&engine->stopping) != 0)
		return NULL;
	if (ck_pr_faa_32(&engine->count, 1) >= engine->capacity) {
		ck_pr_dec_32(&engine->count);
		return NULL;
	}
	transfer = g_new0(transfer_t, 1);
	transfer->refs = 2; /* the caller's and the engine's */
	transfer->engine = engine;
	transfer->callbacks = *callbacks;
	transfer->user = user;
	transfer->head.content_type = transfer->content_type;
	transfer->head.reported_load = -1;
	transfer->start_by = spec->start_by;
	transfer->idle_timeout_us = spec->idle_timeout_us;
	if (spec->body != NULL)
		transfer->body = g_memdup2(spec->body, spec->body_len);
	transfer->easy = curl_easy_init();
	easy_prepare(transfer, spec);
	transfer_signal(transfer, SIGNAL_START);
	return transfer;
}

static transfer_result_t
result_classify(transfer_t *transfer, CURLcode code)
{
	long sent = 0;

	switch (code) {
	case CURLE_OK:
		return TRANSFER_OK;
	case CURLE_URL_MALFORMAT:
	case CURLE_COULDNT_RESOLVE_HOST:
	case CURLE_COULDNT_CONNECT:
	case CURLE_SSL_CONNECT_ERROR:
	case CURLE_PEER_FAILED_VERIFICATION:
		return TRANSFER_UNSENT;
	default:
		break;
	}
	/* A connect timeout ends before any byte of the request is written. */
	curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (code == CURLE_OPERATION_TIMEDOUT)
		return sent == 0 ? TRANSFER_UNSENT : TRANSFER_TIMEOUT;
	return sent == 0 ? TRANSFER_UNSENT : TRANSFER_LOST;
}

/* Ends a transfer on the engine's thread and drops the engine's reference. */
static void
transfer_end(transfer_t *transfer, transfer_result_t result)
{
	transfer_engine_t *engine = transfer->engine;

	if (transfer->done)
		return;
	transfer->done = true;
	if (transfer->node != NULL) {
		curl_multi_remove_handle(engine->multi, transfer->easy);
		engine->running =
		    g_list_delete_link(engine->running, transfer->node);
		transfer->node = NULL;
	}
	if (result == TRANSFER_OK)
		head_deliver(transfer);
	transfer->callbacks.on_done(transfer->user, result);
	transfer_unref(transfer);
}

static void
transfer_begin(transfer_t *transfer)
{
	transfer_engine_t *engine = transfer->engine;

	transfer->progress_at = clock_now();
	if (transfer->progress_at > transfer->start_by) {
		transfer_end(transfer, TRANSFER_UNSENT);
		return;
	}
	if (curl_multi_add_handle(engine->multi, transfer->easy) != CURLM_OK) {
		transfer_end(transfer, TRANSFER_UNSENT);
		return;
	}
	engine->running = g_list_prepend(engine->running, transfer);
	transfer->node = engine->running;
}

static void
signals_handle(transfer_t *transfer)
{
	uint32_t signals;

	/* Cleared first, so that a signal from now on queues it again. */
	ck_pr_store_32(&transfer->queued, 0);
	ck_pr_fence_memory();
	signals = ck_pr_fas_32(&transfer->signals, 0);
	if (transfer->done)
		return;
	if (signals & SIGNAL_CANCEL) {
		/* Not started yet, so nothing was written. */
		transfer_end(transfer, transfer->node == NULL
					   ? TRANSFER_UNSENT
					   : TRANSFER_CANCELLED);
		return;
	}
	if (signals & SIGNAL_START)
		transfer_begin(transfer);
	if ((signals & SIGNAL_RESUME) && transfer->paused) {
		transfer->paused = false;
		transfer->progress_at = clock_now();
		curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
	}
}

static void
ring_process(transfer_engine_t *engine)
{
	void *entry;

	while (
	    ck_ring_dequeue_mpsc(&engine->ring, engine->ring_buffer, &entry)) {
		signals_handle(entry);
		/* The analyzer doesn't follow reference counts. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		transfer_unref(entry);
	}
}

static void
finished_process(transfer_engine_t *engine)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(engine->multi, &left)) != NULL) {
		transfer_t *transfer;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &transfer);
		transfer_end(transfer, result_classify(transfer, code));
	}
}

/*
 * libcurl's own low-speed limit also counts time in which the consumer has
 * paused the transfer, so idle time is measured here.
 */
static void
idle_check(transfer_engine_t *engine, time_us_t now)
{
	GList *next;

	for (GList *item = engine->running; item != NULL; item = next) {
		transfer_t *transfer = item->data;

		next = item->next;
		if (!transfer->paused &&
		    now - transfer->progress_at > transfer->idle_timeout_us)
			transfer_end(transfer, result_classify(transfer,
						   CURLE_OPERATION_TIMEDOUT));
	}
}

static void *
engine_run(void *user)
{
	transfer_engine_t *engine = user;
	time_us_t idle_checked_at = clock_now();

	while (ck_pr_load_32(&engine->stopping) == 0) {
		int running;
		time_us_t now;

		ring_process(engine);
		curl_multi_perform(engine->multi, &running);
		finished_process(engine);
		now = clock_now();
		if (now - idle_checked_at > ENGINE_WAIT_MS * US_PER_MS) {
			idle_check(engine, now);
			idle_checked_at = now;
		}
		curl_multi_poll(engine->multi, NULL, 0, ENGINE_WAIT_MS, NULL);
	}
	ring_process(engine);
	while (engine->running != NULL)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		transfer_end(engine->running->data, TRANSFER_CANCELLED);
	return NULL;
}

transfer_engine_t *
transfer_engine_create(unsigned int capacity)
{
	transfer_engine_t *engine = g_new0(transfer_engine_t, 1);
	unsigned int size = 4;

	while (size < 2 * capacity)
		size *= 2;
	curl_global_init(CURL_GLOBAL_ALL);
	engine->capacity = capacity;
	engine->multi = curl_multi_init();
	engine->ring_buffer = g_new0(ck_ring_buffer_t, size);
	ck_ring_init(&engine->ring, size);
	if (pthread_create(&engine->thread, NULL, engine_run, engine) != 0) {
		curl_multi_cleanup(engine->multi);
		g_free(engine->ring_buffer);
		g_free(engine);
		return NULL;
	}
	return engine;
}

void
transfer_engine_destroy(transfer_engine_t *engine)
{
	void *entry;

	if (engine == NULL)
		return;
	ck_pr_store_32(&engine->stopping, 1);
	curl_multi_wakeup(engine->multi);
	pthread_join(engine->thread, NULL);
	while (
	    ck_ring_dequeue_mpsc(&engine->ring, engine->ring_buffer, &entry)) {
		transfer_t *transfer = entry;

		transfer_end(transfer, TRANSFER_UNSENT);
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		transfer_unref(transfer);
	}
	curl_multi_cleanup(engine->multi);
	g_free(engine->ring_buffer);
	g_free(engine);
}
