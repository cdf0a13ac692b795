#include "fake_worker.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "raw_http.h"

/* Time after an answer at which bytes follow that belong to none. */
#define STRAY_US 20000

/* Each part of an answer that is sent before the request's body is read. */
#define EARLY_BYTES 15000

/* Time for which the connection stays open after it. */
#define EARLY_US 50000

/* Longest time for which a mute target holds a request. */
#define MUTE_MS 30000

/* Time after which a fragile target that crashed is back. */
#define FRAGILE_DOWN_MS 1500

struct fake_worker {
	char *id;
	raw_server_t *server;
	GMutex lock;
	GPtrArray *runs;
	char *forced;
	char *deadly_part; /* NULL: none */
	int down_ms;
	unsigned n_deadly;
	gint64 cold_until; /* monotonic time */
	char *limit;	   /* NULL: none */
	/* See fake_worker_set_fragile() and fake_worker_set_room(). */
	unsigned fragile_per_s;
	bool leaving; /* see fake_worker_set_leaving() */
	unsigned n_health;
	unsigned room;
	unsigned n_running;
	GArray *refusals; /* gint64 */
	GArray *crashes;  /* gint64 */
};

static void
run_free(gpointer data)
{
	worker_run_t *run = data;

	g_free(run->id);
	g_free(run->path);
	g_free(run->team);
	g_free(run->target);
	g_free(run->resume_after);
	g_free(run->smuggled);
	g_free(run);
}

static char *
field_copy(const raw_request_t *request, const char *name)
{
	const char *value = raw_field(request, name);

	return g_strdup(value ? value : "");
}

static worker_run_t *
run_add(fake_worker_t *worker, const raw_request_t *request)
{
	static const char *const forbidden[] = {"authorization", "hold",
	    "pin-ms", "kv-from", "kv-backup", "transfer-encoding", "keep-alive",
	    "cyclamensail-team", "x-hop-only", NULL};
	worker_run_t *run = g_new0(worker_run_t, 1);
	const char *left = raw_field(request, "request-deadline");
	g_autoptr(GString) smuggled = g_string_new(NULL);

	for (const char *const *name = forbidden; *name; name++) {
		if (raw_field(request, *name) != NULL)
			g_string_append_printf(smuggled, "%s ", *name);
	}
	run->id = field_copy(request, "request-id");
	run->path = g_strdup(request->path);
	run->team = field_copy(request, "tenant");
	run->target = field_copy(request, "expect-instance");
	run->resume_after = field_copy(request, "last-event-id");
	run->smuggled = g_strdup(smuggled->str);
	run->time_left_ms = left ? atoll(left) : -1;
	run->closed_after_ms = -1;
	run->arrived_us = g_get_monotonic_time();
	run->body_len = request->body->len;
	g_mutex_lock(&worker->lock);
	g_ptr_array_add(worker->runs, run);
	g_mutex_unlock(&worker->lock);
	return run;
}

/* Waits, and records when the sender leaves meanwhile. */
static bool
run_wait(fake_worker_t *worker, worker_run_t *run, int fd, int ms)
{
	gint64 began = g_get_monotonic_time();

	if (!raw_wait_closed(fd, ms)) {
		gint64 left =
		    (gint64)ms * 1000 - (g_get_monotonic_time() - began);

		if (left > 0)
			g_usleep((gulong)left);
		return true;
	}
	g_mutex_lock(&worker->lock);
	run->closed_after_ms = (g_get_monotonic_time() - began) / 1000;
	g_mutex_unlock(&worker->lock);
	return false;
}

static bool
events_head_send(int fd, const char *signature)
{
	g_autofree char *head = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    signature);

	return raw_send(fd, head);
}

static bool
events_send(fake_worker_t *worker, worker_run_t *run, int fd,
    const char *signature, int n, int gap_ms, int broken_at)
{
	int first = *run->resume_after ? atoi(run->resume_after) + 1 : 1;

	if (!events_head_send(fd, signature))
		return false;
	for (int i = first; i <= n; i++) {
		g_autofree char *event =
		    g_strdup_printf("id: %d\ndata: word %d\n\n", i, i);
		g_autofree char *chunk =
		    g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		if (!run_wait(worker, run, fd, gap_ms))
			return false;
		if (i == broken_at && first == 1) {
			raw_send(fd, "8\r\nid: 9\nda\r\n");
			raw_reset_on_close(fd);
			return false;
		}
		if (!raw_send(fd, chunk))
			return false;
	}
	return raw_send(fd, "0\r\n\r\n");
}

/* Whether the part occurs before the last one of a valid list ID:TOKENS,... */
static bool
list_has_part(const char *list, const char *part)
{
	g_auto(GStrv) items = g_strsplit(list, ",", 0);
	bool found = false;

	for (char **item = items; *item != NULL; item++) {
		char *colon = strchr(g_strstrip(*item), ':');

		if (colon == NULL || !g_ascii_string_to_unsigned(colon + 1, 10,
					 0, G_MAXUINT32, NULL, NULL))
			return false;
		*colon = '\0';
		found |= item[1] != NULL && strcmp(*item, part) == 0;
	}
	return found;
}

/* Returns the time for which the request ends the target; 0: it doesn't. */
static int
deadly_ms(fake_worker_t *worker, const raw_request_t *request, const char *name)
{
	const char *list = raw_field(request, "prompt-prefix");
	int ms = 0;

	if (sscanf(name, "crash-%d", &ms) == 1)
		return ms;
	if (sscanf(name, "deadly-%d", &ms) == 1)
		return request->body->len >= 6 &&
			       memcmp(request->body->data, "deadly", 6) == 0
			   ? ms
			   : 0;
	g_mutex_lock(&worker->lock);
	if (list != NULL && worker->deadly_part != NULL &&
	    list_has_part(list, worker->deadly_part)) {
		worker->n_deadly++;
		ms = worker->down_ms;
	}
	g_mutex_unlock(&worker->lock);
	return ms;
}

/* Crashes at the moment at which the first byte or event would be sent. */
static void
crash_serve(fake_worker_t *worker, worker_run_t *run, int fd, const char *name,
    const char *signature, int down_ms)
{
	int n;
	int ms = 0;

	if (sscanf(name, "events-%d-%d", &n, &ms) == 2 ||
	    sscanf(name, "break-%d-%d", &n, &ms) == 2)
		events_head_send(fd, signature);
	else
		sscanf(name, "slow-%d", &ms);
	if (run_wait(worker, run, fd, ms))
		fake_worker_crash(worker, down_ms);
	raw_reset_on_close(fd);
}

/* Replaces the LF at the end of each line. */
static void
lines_end_with(GString *body, const char *line_end)
{
	g_auto(GStrv) lines = g_strsplit(body->str, "\n", 0);
	g_autofree char *text = g_strjoinv(line_end, lines);

	g_string_assign(body, text);
}

/* The body of a stream of n events that ends as the header says. */
static GString *
stream_body(const char *resume_after, const char *end, int n)
{
	bool resumed = *resume_after != '\0';
	bool cut = !resumed &&
		   (strcmp(end, "field") == 0 || strcmp(end, "line") == 0 ||
		       strcmp(end, "half") == 0);
	int last = cut ? n / 2 : n;
	GString *body = g_string_new(NULL);

	for (int i = resumed ? atoi(resume_after) + 1 : 1; i <= last; i++)
		g_string_append_printf(body, "id: %d\ndata: word %d\n\n", i, i);
	if (strcmp(end, "blank") == 0)
		g_string_append(body, "\n\n");
	else if (strcmp(end, "comment") == 0)
		g_string_append(body, ": end\n");
	else if (strcmp(end, "crlf") == 0 || strcmp(end, "half") == 0)
		lines_end_with(body, "\r\n");
	else if (strcmp(end, "cr") == 0)
		lines_end_with(body, "\r");
	if (cut && strcmp(end, "field") == 0)
		g_string_append_printf(body, "id: %d\n", last + 1);
	else if (cut && strcmp(end, "line") == 0)
		g_string_append_printf(body, "id: %d\nda", last + 1);
	else if (cut && body->len > 0)
		g_string_truncate(body, body->len - 1);
	return body;
}

/* Returns whether the connection stays open. */
static bool
stream_send(int fd, const raw_request_t *request, const worker_run_t *run,
    const char *signature, const char *framing, const char *end, int n)
{
	g_autoptr(GString) body = stream_body(run->resume_after, end, n);
	g_autoptr(GString) answer = g_string_new(NULL);
	bool no_body = strcmp(request->method, "HEAD") == 0;

	g_string_append_printf(answer,
	    "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n",
	    signature);
	if (strcmp(framing, "chunks") == 0)
		g_string_append(answer, "Transfer-Encoding: chunked\r\n\r\n");
	else if (strcmp(framing, "length") == 0)
		g_string_append_printf(
		    answer, "Content-Length: %zu\r\n\r\n", body->len);
	else
		g_string_append(answer, "\r\n");
	if (!no_body && strcmp(framing, "chunks") != 0) {
		g_string_append(answer, body->str);
	} else if (!no_body) {
		if (body->len > 0)
			g_string_append_printf(
			    answer, "%zx\r\n%s\r\n", body->len, body->str);
		g_string_append(answer, "0\r\n\r\n");
	}
	return raw_send(fd, answer->str) && strcmp(framing, "close") != 0;
}

static void
endless_send(fake_worker_t *worker, worker_run_t *run, int fd,
    const char *signature, bool chunks, const char *kind)
{
	g_autofree char *filler = g_strnfill(1022, 'x');
	g_autofree char *line = g_strdup_printf("%s%s%s",
	    strcmp(kind, "comment") == 0 ? ":" : "d", filler,
	    strcmp(kind, "line") == 0 || strcmp(kind, "first") == 0 ? "x"
								    : "\n");
	g_autofree char *framed =
	    chunks ? g_strdup_printf("%zx\r\n%s\r\n", strlen(line), line)
		   : g_strdup(line);
	g_autofree char *head = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n",
	    signature, chunks ? "Transfer-Encoding: chunked\r\n" : "");
	bool open = raw_send(fd, head);

	if (strcmp(kind, "first") != 0)
		open = open && raw_send(fd, chunks ? "e\r\n" : "") &&
		       raw_send(fd, "id: 1\ndata: x\n\n") &&
		       raw_send(fd, chunks ? "\r\n" : "");
	while (open && run->endless_sent < ENDLESS_LIMIT) {
		open = raw_send(fd, framed);
		g_mutex_lock(&worker->lock);
		run->endless_sent += strlen(framed);
		g_mutex_unlock(&worker->lock);
	}
}

/* Sends an interim answer with a body, or without one if framing is "". */
static bool
interim_send(int fd, unsigned status, const char *framing)
{
	g_autofree char *text = g_strdup_printf(
	    "HTTP/1.1 %u Interim\r\n%s\r\n%s", status,
	    strcmp(framing, "length") == 0   ? "Content-Length: 4\r\n"
	    : strcmp(framing, "chunks") == 0 ? "Transfer-Encoding: chunked\r\n"
					     : "",
	    strcmp(framing, "length") == 0   ? "hint"
	    : strcmp(framing, "chunks") == 0 ? "4\r\nhint\r\n0\r\n\r\n"
					     : "");

	return raw_send(fd, text);
}

/*
 * Sends a whole answer whose status line has this text in place of the status
 * and the reason; "none": nothing.
 */
static bool
status_send(int fd, const char *signature, const char *text, const char *body)
{
	g_autofree char *answer =
	    g_strdup_printf("HTTP/1.1%s%s\r\n%sContent-Length: %zu\r\n\r\n%s",
		strcmp(text, "none") == 0 ? "" : " ",
		strcmp(text, "none") == 0 ? "" : text, signature, strlen(body),
		body);

	return raw_send(fd, answer);
}

/* Behaviours without a number. Returns false when the name is none of them. */
static bool
plain_serve(fake_worker_t *worker, worker_run_t *run, int fd, const char *name,
    const char *signature, const char *body, bool *open)
{
	g_autofree char *half = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\nhalf", signature);
	g_autofree char *unframed = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\nwhole", signature);

	*open = true;
	if (strcmp(name, "ok") == 0) {
		*open = raw_send_answer(fd, 200, signature, body);
	} else if (strcmp(name, "fail") == 0) {
		*open = raw_send_answer(fd, 500, signature, "failed");
	} else if (strcmp(name, "unsigned") == 0) {
		*open = raw_send_answer(fd, 200, "", body);
	} else if (strcmp(name, "late") == 0) {
		raw_send_answer(fd, 200,
		    "Request-Id: of-another\r\nServer-Stamp: old\r\n", "old");
		*open = raw_send_answer(fd, 200, signature, body);
	} else if (g_str_has_prefix(name, "again")) {
		raw_send_answer(fd, 503,
		    strcmp(name, "again") == 0
			? "Request-Id: earlier\r\nNot-Executed: 1\r\n"
			: "Not-Executed: 1\r\n",
		    "no room");
		*open = raw_send_answer(fd, 200, signature, body);
	} else if (strcmp(name, "extra") == 0) {
		g_autofree char *extra = g_strdup_printf(
		    "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s"
		    "HTTP/1.1 200 OK\r\nContent-Len",
		    signature, strlen(body), body);

		*open = raw_send(fd, extra);
	} else if (strcmp(name, "stray") == 0) {
		raw_send_answer(fd, 200, signature, body);
		g_usleep(STRAY_US);
		*open = raw_send(fd, "HTTP/1.1 200 OK\r\nContent-Len");
	} else if (strcmp(name, "reset") == 0) {
		raw_reset_on_close(fd);
		*open = false;
	} else if (strcmp(name, "mute") == 0) {
		run_wait(worker, run, fd, MUTE_MS);
		*open = false;
	} else if (strcmp(name, "short") == 0) {
		raw_send(fd, half);
		*open = false;
	} else if (strcmp(name, "unframed") == 0) {
		raw_send(fd, unframed);
		*open = false;
	} else if (strcmp(name, "cutframe") == 0) {
		raw_send(fd, unframed);
		g_usleep(50000);
		raw_reset_on_close(fd);
		*open = false;
	} else {
		return false;
	}
	return true;
}

/* What the target states of itself in each answer. */
static char *
stated_fields(fake_worker_t *worker)
{
	GString *fields = g_string_new(NULL);

	g_mutex_lock(&worker->lock);
	if (worker->limit != NULL)
		g_string_append_printf(
		    fields, "Server-Limit: %s\r\n", worker->limit);
	if (worker->fragile_per_s > 0)
		g_string_append_printf(
		    fields, "Server-Brittle: %u\r\n", worker->fragile_per_s);
	if (worker->leaving)
		g_string_append(fields, "Server-Leaving: 1\r\n");
	g_mutex_unlock(&worker->lock);
	return g_string_free(fields, FALSE);
}

/* Refusals from this time on. */
static unsigned
n_refusals_since(const fake_worker_t *worker, gint64 since)
{
	unsigned n = 0;

	for (guint i = 0; i < worker->refusals->len; i++)
		n += g_array_index(worker->refusals, gint64, i) >= since;
	return n;
}

/* Returns whether there is room, and takes it; running_end() gives it back. */
static bool
running_begin(fake_worker_t *worker)
{
	gint64 now = g_get_monotonic_time();
	bool has_room;
	bool falls = false;

	g_mutex_lock(&worker->lock);
	has_room = worker->room == 0 || worker->n_running < worker->room;
	if (has_room) {
		worker->n_running++;
	} else {
		g_array_append_val(worker->refusals, now);
		falls = worker->fragile_per_s > 0 &&
			n_refusals_since(worker, now - G_USEC_PER_SEC) >
			    worker->fragile_per_s;
	}
	g_mutex_unlock(&worker->lock);
	if (falls)
		fake_worker_crash(worker, FRAGILE_DOWN_MS);
	return has_room;
}

static void
running_end(fake_worker_t *worker)
{
	g_mutex_lock(&worker->lock);
	worker->n_running--;
	g_mutex_unlock(&worker->lock);
}

static bool
health_serve(fake_worker_t *worker, int fd)
{
	g_autofree char *fields = NULL;
	gint64 cold_ms;
	bool leaving;

	g_mutex_lock(&worker->lock);
	cold_ms = (worker->cold_until - g_get_monotonic_time()) / 1000;
	leaving = worker->leaving;
	worker->n_health++;
	g_mutex_unlock(&worker->lock);
	fields = g_strdup_printf("Instance-Id: %s\r\nCold-Ms: %" G_GINT64_FORMAT
				 "\r\n",
	    worker->id, MAX(cold_ms, 0));
	return raw_send_answer(fd, leaving ? 503 : 200, fields, "");
}

/* Answers before the body is read. */
static bool
on_request_head(int fd, const raw_request_t *request, void *owner)
{
	fake_worker_t *worker = owner;
	g_autofree char *name = g_path_get_basename(request->path);
	const char *id = raw_field(request, "request-id");
	g_autofree char *head = NULL;
	g_autofree char *body = g_strnfill(EARLY_BYTES, 'x');
	bool events;

	if (!g_str_has_prefix(name, "early-"))
		return true;
	events = g_str_has_suffix(name, "-events");
	run_add(worker, request);
	head = g_strdup_printf(
	    "HTTP/1.%d 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n%s"
	    "Connection: close\r\n\r\n",
	    g_str_has_prefix(name, "early-old") ? 0 : 1, id ? id : "",
	    worker->id, events ? "Content-Type: text/event-stream\r\n" : "");
	raw_send(fd, head);
	raw_send(fd, events ? "id: 1\ndata: x\n\n" : body);
	if (strcmp(name, "early-close") == 0) {
		raw_send(fd, body);
		shutdown(fd, SHUT_WR);
	}
	g_usleep(EARLY_US);
	/* The unread body resets the connection when it is closed. */
	return false;
}

static bool
request_serve(fake_worker_t *worker, int fd, const raw_request_t *request)
{
	g_autofree char *name = g_path_get_basename(request->path);
	g_autofree char *signature = NULL;
	g_autofree char *stated = NULL;
	g_autofree char *body =
	    g_strdup_printf("%s: %.*s", worker->id, (int)request->body->len,
		request->body->len ? (const char *)request->body->data : "");
	const char *id = raw_field(request, "request-id");
	worker_run_t *run;
	char framing[8];
	char end[8];
	int n;
	int ms;
	int down_ms;
	bool open;

	g_mutex_lock(&worker->lock);
	if (worker->forced != NULL) {
		g_free(name);
		name = g_strdup(worker->forced);
	}
	g_mutex_unlock(&worker->lock);
	if (strcmp(name, "full") == 0)
		return raw_send_answer(
		    fd, 503, "Not-Executed: 1\r\n", "no room");
	run = run_add(worker, request);
	stated = stated_fields(worker);
	signature = g_strdup_printf(
	    "Request-Id: %s\r\nServer-Stamp: %s\r\nServer-Load: 0,0,8\r\n%s",
	    id ? id : "", worker->id, stated);
	down_ms = deadly_ms(worker, request, name);
	if (down_ms > 0 && strcmp(name, "reset") != 0 &&
	    strcmp(name, "mute") != 0) {
		crash_serve(worker, run, fd, name, signature, down_ms);
		return false;
	}
	if (plain_serve(worker, run, fd, name, signature, body, &open))
		return open;
	if (g_str_has_prefix(name, "deadly-"))
		return raw_send_answer(fd, 200, signature, body);
	if (sscanf(name, "headcut-%d", &n) == 1) {
		g_autofree char *head =
		    g_strdup_printf("HTTP/1.1 200 OK\r\n%s", signature);

		head[MIN((gsize)n, strlen(head))] = '\0';
		raw_send(fd, head);
		return false;
	}
	if (g_str_has_prefix(name, "status-"))
		return status_send(fd, signature,
		    g_strdelimit(name + strlen("status-"), "_", ' '), body);
	strcpy(framing, "");
	if (sscanf(name, "interim-%d-%7[a-z]", &n, framing) >= 1)
		return interim_send(fd, (unsigned)n, framing) &&
		       raw_send_answer(fd, 200, signature, body);
	if (sscanf(name, "trailer-%d", &n) == 1)
		return raw_send_answer(fd, 200, signature, body) &&
		       interim_send(fd, (unsigned)n, "length");
	if (sscanf(name, "slow-%d", &ms) == 1)
		return run_wait(worker, run, fd, ms) &&
		       raw_send_answer(fd, 200, signature, body);
	if (sscanf(name, "large-%d", &n) == 1) {
		g_autofree char *large = g_strnfill((gsize)n * 1024, 'x');

		return raw_send_answer(fd, 200, signature, large);
	}
	if (sscanf(name, "events-%d-%d", &n, &ms) == 2)
		return events_send(worker, run, fd, signature, n, ms, -1);
	if (sscanf(name, "break-%d-%d", &n, &ms) == 2)
		return events_send(worker, run, fd, signature, n, ms, n / 2);
	if (sscanf(name, "spoil-%d-%d", &n, &ms) == 2)
		return *run->resume_after
			   ? raw_send_answer(fd, 200, signature, "spoiled")
			   : events_send(
				 worker, run, fd, signature, n, ms, n / 2);
	if (sscanf(name, "event-%d", &n) == 1) {
		g_autofree char *data = g_strnfill((gsize)n * 1024, 'x');
		g_autofree char *event =
		    g_strdup_printf("id: 1\ndata: %s\n\n", data);
		g_autofree char *stream = g_strdup_printf(
		    "%sContent-Type: text/event-stream\r\n", signature);

		return raw_send_answer(fd, 200, stream, event);
	}
	if (sscanf(name, "endless-%7[a-z]-%7[a-z]", framing, end) == 2) {
		endless_send(worker, run, fd, signature,
		    strcmp(framing, "chunks") == 0, end);
		return false;
	}
	if (sscanf(name, "stream-%7[a-z]-%7[a-z]-%d", framing, end, &n) == 3)
		return stream_send(
		    fd, request, run, signature, framing, end, n);
	return raw_send_answer(fd, 404, signature, "no such behaviour");
}

static bool
on_request(int fd, const raw_request_t *request, void *owner)
{
	fake_worker_t *worker = owner;
	bool open;

	if (strcmp(request->path, "/health") == 0)
		return health_serve(worker, fd);
	if (!running_begin(worker)) {
		const char *id = raw_field(request, "request-id");
		g_autofree char *stated = stated_fields(worker);
		g_autofree char *fields =
		    g_strdup_printf("Request-Id: %s\r\nNot-Executed: 1\r\n%s",
			id ? id : "", stated);

		return raw_send_answer(fd, 503, fields, "no room");
	}
	open = request_serve(worker, fd, request);
	running_end(worker);
	return open;
}

fake_worker_t *
fake_worker_create(const char *id, uint16_t *port)
{
	fake_worker_t *worker = g_new0(fake_worker_t, 1);

	worker->id = g_strdup(id);
	g_mutex_init(&worker->lock);
	worker->runs = g_ptr_array_new_with_free_func(run_free);
	worker->crashes = g_array_new(FALSE, FALSE, sizeof(gint64));
	worker->refusals = g_array_new(FALSE, FALSE, sizeof(gint64));
	worker->server = raw_server_create(on_request, worker, port);
	raw_server_set_head_handler(worker->server, on_request_head);
	return worker;
}

void
fake_worker_destroy(fake_worker_t *worker)
{
	raw_server_destroy(worker->server);
	g_ptr_array_unref(worker->runs);
	g_array_unref(worker->crashes);
	g_array_unref(worker->refusals);
	g_free(worker->forced);
	g_free(worker->limit);
	g_free(worker->deadly_part);
	g_free(worker->id);
	g_mutex_clear(&worker->lock);
	g_free(worker);
}

GPtrArray *
fake_worker_runs(fake_worker_t *worker)
{
	GPtrArray *copies = g_ptr_array_new_with_free_func(run_free);

	g_mutex_lock(&worker->lock);
	for (guint i = 0; i < worker->runs->len; i++) {
		const worker_run_t *run = g_ptr_array_index(worker->runs, i);
		worker_run_t *copy = g_memdup2(run, sizeof(*run));

		copy->id = g_strdup(run->id);
		copy->path = g_strdup(run->path);
		copy->team = g_strdup(run->team);
		copy->target = g_strdup(run->target);
		copy->resume_after = g_strdup(run->resume_after);
		copy->smuggled = g_strdup(run->smuggled);
		g_ptr_array_add(copies, copy);
	}
	g_mutex_unlock(&worker->lock);
	return copies;
}

unsigned
fake_worker_count(fake_worker_t *worker, const char *request_id)
{
	g_autoptr(GPtrArray) runs = fake_worker_runs(worker);
	unsigned n = 0;

	for (guint i = 0; i < runs->len; i++)
		n += strcmp(((worker_run_t *)g_ptr_array_index(runs, i))->id,
			 request_id) == 0;
	return n;
}

void
fake_worker_force(fake_worker_t *worker, const char *behaviour)
{
	g_mutex_lock(&worker->lock);
	g_free(worker->forced);
	worker->forced = g_strdup(behaviour);
	g_mutex_unlock(&worker->lock);
}

void
fake_worker_set_deadly_part(
    fake_worker_t *worker, const char *part, int down_ms)
{
	g_mutex_lock(&worker->lock);
	g_free(worker->deadly_part);
	worker->deadly_part = g_strdup(part);
	worker->down_ms = down_ms;
	g_mutex_unlock(&worker->lock);
}

unsigned
fake_worker_n_deadly(fake_worker_t *worker)
{
	unsigned n;

	g_mutex_lock(&worker->lock);
	n = worker->n_deadly;
	g_mutex_unlock(&worker->lock);
	return n;
}

void
fake_worker_set_cold(fake_worker_t *worker, int cold_ms)
{
	g_mutex_lock(&worker->lock);
	worker->cold_until = g_get_monotonic_time() + (gint64)cold_ms * 1000;
	g_mutex_unlock(&worker->lock);
}

void
fake_worker_set_limit(fake_worker_t *worker, const char *per_s)
{
	g_mutex_lock(&worker->lock);
	g_free(worker->limit);
	worker->limit = g_strdup(per_s);
	g_mutex_unlock(&worker->lock);
}

void
fake_worker_set_fragile(fake_worker_t *worker, unsigned per_s)
{
	g_mutex_lock(&worker->lock);
	worker->fragile_per_s = per_s;
	g_mutex_unlock(&worker->lock);
}

void
fake_worker_set_leaving(fake_worker_t *worker, bool leaving)
{
	g_mutex_lock(&worker->lock);
	worker->leaving = leaving;
	g_mutex_unlock(&worker->lock);
}

unsigned
fake_worker_n_health(fake_worker_t *worker)
{
	unsigned n;

	g_mutex_lock(&worker->lock);
	n = worker->n_health;
	g_mutex_unlock(&worker->lock);
	return n;
}

void
fake_worker_set_room(fake_worker_t *worker, unsigned room)
{
	g_mutex_lock(&worker->lock);
	worker->room = room;
	g_mutex_unlock(&worker->lock);
}

unsigned
fake_worker_refusals(fake_worker_t *worker)
{
	unsigned n;

	g_mutex_lock(&worker->lock);
	n = worker->refusals->len;
	g_mutex_unlock(&worker->lock);
	return n;
}

unsigned
fake_worker_runs_since(fake_worker_t *worker, gint64 since)
{
	g_autoptr(GPtrArray) runs = fake_worker_runs(worker);
	unsigned n = 0;

	for (guint i = 0; i < runs->len; i++)
		n += ((worker_run_t *)g_ptr_array_index(runs, i))->arrived_us >=
		     since;
	return n;
}

unsigned
fake_worker_busiest_window(fake_worker_t *worker, int window_ms)
{
	return fake_worker_busiest_window_since(worker, window_ms, 0);
}

unsigned
fake_worker_busiest_window_since(
    fake_worker_t *worker, int window_ms, gint64 since)
{
	g_autoptr(GPtrArray) runs = fake_worker_runs(worker);
	unsigned busiest = 0;

	for (guint i = 0; i < runs->len; i++) {
		const worker_run_t *first = g_ptr_array_index(runs, i);
		unsigned n = 0;

		if (first->arrived_us < since)
			continue;
		for (guint j = 0; j < runs->len; j++) {
			const worker_run_t *run = g_ptr_array_index(runs, j);
			gint64 after = run->arrived_us - first->arrived_us;

			n += after >= 0 && after < (gint64)window_ms * 1000;
		}
		busiest = MAX(busiest, n);
	}
	return busiest;
}

void
fake_worker_crash(fake_worker_t *worker, int down_ms)
{
	gint64 now = g_get_monotonic_time();

	/* Locked, as the crash must be counted before a caller sees it. */
	g_mutex_lock(&worker->lock);
	if (raw_server_crash(worker->server, down_ms))
		g_array_append_val(worker->crashes, now);
	g_mutex_unlock(&worker->lock);
}

GArray *
fake_worker_crashes(fake_worker_t *worker)
{
	GArray *copy;

	g_mutex_lock(&worker->lock);
	copy = g_array_copy(worker->crashes);
	g_mutex_unlock(&worker->lock);
	return copy;
}
