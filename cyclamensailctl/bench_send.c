/* Sends the requests of a bench run, all from one thread. */
#include <curl/curl.h>
#include <math.h>
#include <string.h>

#include "bench.h"
#include "common/clock.h"
#include "core/random.h"

/* Bytes of an error answer that are searched for its code. */
#define ERROR_TEXT_LIMIT 4096

/* Distinct codes that are counted; further ones count as "other". */
#define CODE_LIMIT 64

typedef struct bench bench_t;

typedef enum { CALL_IDLE, CALL_TICKET, CALL_REQUEST } call_stage_t;

/* One request at a time, and the handle that it reuses. */
typedef struct {
	bench_t *bench;
	CURL *easy;
	struct curl_slist *headers;
	call_stage_t stage;
	const char *url;
	time_us_t scheduled;
	time_us_t event_at; /* last event; 0: none yet */
	bool first_seen;
	bool error_event;
	bool newline;  /* last byte of the stream ended a line */
	GString *text; /* ticket, error answer or begun event */
} call_t;

struct bench {
	const bench_plan_t *plan;
	bench_result_t *result;
	CURLM *multi;
	call_t *calls;
	GQueue idle;
	uint64_t random;
	time_us_t begun;
	time_us_t next; /* scheduled time of the next arrival */
	int64_t scheduled;
	int64_t running;
};

static void
count_add(GHashTable *table, const char *name)
{
	gint64 *count = g_hash_table_lookup(table, name);

	if (count == NULL && g_hash_table_size(table) >= CODE_LIMIT) {
		name = "other";
		count = g_hash_table_lookup(table, name);
	}
	if (count == NULL) {
		count = g_new0(gint64, 1);
		g_hash_table_insert(table, g_strdup(name), count);
	}
	(*count)++;
}

/* Returns a fraction in (0, 1] from a random sequence. */
static double
random_fraction(uint64_t *state)
{
	uint64_t z = random_next(state);

	return (double)((z >> 11) + 1) / 9007199254740992.0;
}

/* Moves to the next arrival of a Poisson process. */
static void
arrival_advance(bench_t *bench)
{
	double gap = -log(random_fraction(&bench->random)) / bench->plan->rate;

	bench->next += (time_us_t)(gap * US_PER_S);
}

/* Copies the text between prefix and the next quote. */
static char *
text_between(const char *text, const char *prefix)
{
	const char *start = strstr(text, prefix);

	if (start == NULL)
		return NULL;
	start += strlen(prefix);
	return g_strndup(start, strcspn(start, "\""));
}

static void
code_count(call_t *call, const char *otherwise)
{
	g_autofree char *code = text_between(call->text->str, "\"code\":\"");

	count_add(call->bench->result->errors, code ? code : otherwise);
}

static void
event_end(call_t *call, time_us_t now)
{
	bench_result_t *result = call->bench->result;

	if (call->event_at != 0)
		histogram_record(result->gap, (uint64_t)(now - call->event_at));
	call->event_at = now;
	result->events++;
	if (g_str_has_prefix(call->text->str, "event: error")) {
		call->error_event = true;
		code_count(call, "error_event");
	}
	g_string_truncate(call->text, 0);
}

/* An empty line ends an event; carriage returns don't matter. */
static void
events_read(call_t *call, const char *data, size_t len, time_us_t now)
{
	for (size_t i = 0; i < len; i++) {
		if (data[i] == '\r')
			continue;
		if (data[i] == '\n' && call->newline)
			event_end(call, now);
		else if (call->text->len < ERROR_TEXT_LIMIT)
			g_string_append_c(call->text, data[i]);
		call->newline = data[i] == '\n';
	}
}

static size_t
data_receive(char *data, size_t size, size_t n, void *user)
{
	call_t *call = user;
	bench_result_t *result = call->bench->result;
	size_t len = size * n;
	time_us_t now = clock_now();
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (call->stage == CALL_REQUEST) {
		if (!call->first_seen)
			histogram_record(
			    result->first, (uint64_t)(now - call->scheduled));
		call->first_seen = true;
		result->bytes += (int64_t)len;
	}
	if (call->stage == CALL_REQUEST && call->bench->plan->stream &&
	    status < 300)
		events_read(call, data, len, now);
	else if (call->stage == CALL_TICKET || status >= 300)
		g_string_append_len(call->text, data,
		    (gssize)MIN(len, ERROR_TEXT_LIMIT - call->text->len));
	return len;
}

static char *
ticket_url(const char *url)
{
	CURLU *parts = curl_url();
	char *full = NULL;
	char *copy;

	curl_url_set(parts, CURLUPART_URL, url, CURLU_GUESS_SCHEME);
	curl_url_set(parts, CURLUPART_PATH, "/v1/ticket", 0);
	curl_url_set(parts, CURLUPART_QUERY, NULL, 0);
	curl_url_get(parts, CURLUPART_URL, &full, 0);
	copy = g_strdup(full);
	curl_free(full);
	curl_url_cleanup(parts);
	return copy;
}

static void
headers_set(call_t *call, const char *ticket)
{
	const bench_plan_t *plan = call->bench->plan;
	g_autofree char *key = NULL;
	g_autofree char *line = NULL;

	curl_slist_free_all(call->headers);
	call->headers = curl_slist_append(NULL, "Expect:");
	if (plan->body != NULL)
		call->headers = curl_slist_append(
		    call->headers, "Content-Type: application/json");
	if (plan->key != NULL) {
		key = g_strdup_printf("Authorization: Bearer %s", plan->key);
		call->headers = curl_slist_append(call->headers, key);
	}
	if (ticket != NULL) {
		line = g_strdup_printf("Idempotency-Key: %s", ticket);
		call->headers = curl_slist_append(call->headers, line);
	}
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
}

static void
request_start(call_t *call, const char *ticket)
{
	const bench_plan_t *plan = call->bench->plan;

	call->stage = CALL_REQUEST;
	call->first_seen = false;
	call->error_event = false;
	call->event_at = 0;
	call->newline = true;
	g_string_truncate(call->text, 0);
	curl_easy_setopt(call->easy, CURLOPT_URL, call->url);
	if (plan->body != NULL) {
		curl_easy_setopt(call->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)plan->body_len);
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, plan->body);
	}
	if (ticket != NULL || call->headers == NULL)
		headers_set(call, ticket);
	curl_multi_add_handle(call->bench->multi, call->easy);
}

static void
ticket_start(call_t *call)
{
	g_autofree char *url = ticket_url(call->url);

	call->stage = CALL_TICKET;
	g_string_truncate(call->text, 0);
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_HTTPGET, 1L);
	headers_set(call, NULL);
	curl_multi_add_handle(call->bench->multi, call->easy);
}

static void
call_start(bench_t *bench, time_us_t scheduled, time_us_t now)
{
	call_t *call = g_queue_pop_head(&bench->idle);
	bench_result_t *result = bench->result;

	call->scheduled = scheduled;
	call->url = bench->plan->urls[result->sent % bench->plan->n_urls];
	result->sent++;
	if (now - scheduled > BENCH_LATE_US)
		result->late++;
	bench->running++;
	if (bench->plan->tickets)
		ticket_start(call);
	else
		request_start(call, NULL);
}

static void
call_end(call_t *call, CURLcode code, time_us_t now)
{
	bench_t *bench = call->bench;
	bench_result_t *result = bench->result;
	char text[16] = "none";
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status > 0)
		g_snprintf(text, sizeof(text), "%ld", status);
	count_add(result->statuses, text);
	if (code != CURLE_OK)
		count_add(result->errors, curl_easy_strerror(code));
	else if (status < 200 || status > 299)
		code_count(call, "no_code");
	else if (!call->error_event)
		result->succeeded++;
	histogram_record(result->total, (uint64_t)(now - call->scheduled));
	result->elapsed = now - bench->begun;
	call->stage = CALL_IDLE;
	bench->running--;
	g_queue_push_head(&bench->idle, call);
}

/* Goes on with the request once its ticket is there. */
static void
ticket_end(call_t *call, CURLcode code, time_us_t now)
{
	g_autofree char *ticket = NULL;
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code == CURLE_OK && status == 200)
		ticket = text_between(call->text->str, "\"ticket\":\"");
	if (ticket != NULL)
		request_start(call, ticket);
	else
		call_end(call, code, now);
}

static void
finished_serve(bench_t *bench, time_us_t now)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(bench->multi, &left)) != NULL) {
		CURLcode code = message->data.result;
		call_t *call;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &call);
		curl_multi_remove_handle(bench->multi, call->easy);
		if (call->stage == CALL_TICKET)
			ticket_end(call, code, now);
		else
			call_end(call, code, now);
	}
}

/* Whether another request may be scheduled at this time. */
static bool
more_due(const bench_t *bench, time_us_t at)
{
	const bench_plan_t *plan = bench->plan;

	return (plan->requests == 0 || bench->scheduled < plan->requests) &&
	       at - bench->begun < plan->duration;
}

static void
due_start(bench_t *bench, time_us_t now)
{
	bool open = bench->plan->rate > 0;

	while (!g_queue_is_empty(&bench->idle)) {
		time_us_t at = open ? bench->next : now;

		if (at > now || !more_due(bench, at) ||
		    now - bench->begun >= bench->plan->duration)
			return;
		call_start(bench, at, now);
		bench->scheduled++;
		if (open)
			arrival_advance(bench);
	}
}

/* Counts arrivals that no request was free for until the end. */
static void
unsent_count(bench_t *bench)
{
	while (bench->plan->rate > 0 && more_due(bench, bench->next)) {
		bench->result->unsent++;
		bench->scheduled++;
		arrival_advance(bench);
	}
}

/* Time to wait for a socket; 0 just before an arrival, which is under 1 ms. */
static int
wait_ms(const bench_t *bench, time_us_t now)
{
	if (bench->plan->rate <= 0 || bench->idle.length == 0 ||
	    !more_due(bench, bench->next))
		return 100;
	return (int)CLAMP((bench->next - now) / US_PER_MS, 0, 100);
}

static bool
bench_over(const bench_t *bench, time_us_t now)
{
	if (bench->running > 0)
		return false;
	return now - bench->begun >= bench->plan->duration ||
	       !more_due(bench, bench->plan->rate > 0 ? bench->next : now);
}

static void
bench_loop(bench_t *bench)
{
	time_us_t now = clock_now();
	int running;

	bench->begun = now;
	bench->next = now;
	if (bench->plan->rate > 0)
		arrival_advance(bench);
	while (!bench_over(bench, now)) {
		due_start(bench, now);
		curl_multi_perform(bench->multi, &running);
		now = clock_now();
		finished_serve(bench, now);
		due_start(bench, now);
		if (bench_over(bench, now))
			break;
		curl_multi_poll(
		    bench->multi, NULL, 0, wait_ms(bench, now), NULL);
		now = clock_now();
	}
	unsent_count(bench);
	if (bench->plan->hold > 0)
		g_usleep((gulong)bench->plan->hold);
}

static bool
call_prepare(bench_t *bench, call_t *call)
{
	call->bench = bench;
	call->text = g_string_new(NULL);
	call->easy = curl_easy_init();
	if (call->easy == NULL)
		return false;
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(call->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS,
	    (long)(bench->plan->timeout / US_PER_MS));
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, data_receive);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	g_queue_push_tail(&bench->idle, call);
	return true;
}

bool
bench_send(const bench_plan_t *plan, bench_result_t *result)
{
	bench_t bench = {.plan = plan, .result = result, .random = plan->seed};
	bool ok = true;

	memset(result, 0, sizeof(*result));
	result->first = histogram_create();
	result->gap = histogram_create();
	result->total = histogram_create();
	result->statuses =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	result->errors =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bench.multi = curl_multi_init();
	curl_multi_setopt(
	    bench.multi, CURLMOPT_MAXCONNECTS, (long)plan->concurrency);
	bench.calls = g_new0(call_t, plan->concurrency);
	for (int64_t i = 0; i < plan->concurrency; i++)
		ok = ok && call_prepare(&bench, &bench.calls[i]);
	if (ok)
		bench_loop(&bench);
	for (int64_t i = 0; i < plan->concurrency; i++) {
		curl_easy_cleanup(bench.calls[i].easy);
		curl_slist_free_all(bench.calls[i].headers);
		if (bench.calls[i].text != NULL)
			g_string_free(bench.calls[i].text, TRUE);
	}
	curl_multi_cleanup(bench.multi);
	g_queue_clear(&bench.idle);
	g_free(bench.calls);
	return ok;
}

void
bench_result_clear(bench_result_t *result)
{
	histogram_destroy(result->first);
	histogram_destroy(result->gap);
	histogram_destroy(result->total);
	g_hash_table_destroy(result->statuses);
	g_hash_table_destroy(result->errors);
}
