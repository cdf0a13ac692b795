#ifndef FAKES_FAKE_WORKER_H
#define FAKES_FAKE_WORKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Stand-in for a target on the platform. The last part of a request's path says
 * how it answers:
 *
 *	ok		200, signed, with the body "ID: " and the request's body
 *	slow-MS		the same after MS milliseconds
 *	large-KB	200 with a body of that many KiB
 *	fail		500, signed
 *	full		503 that says it hasn't run
 *	unsigned	200 without a signature
 *	late		an answer of another request first
 *	again		an earlier refusal once more, then as ok
 *	again-no-id	the same, and the refusal has no id
 *	early-reset	a part of an answer without length before the request's
 *			body is read, then a reset
 *	early-old	the same in HTTP/1.0
 *	early-reset-events, early-old-events
 *			the same, the part being an event of a stream
 *	early-close	the whole of it, and a close in order before the reset
 *	status-TEXT	a whole answer with this text for a status, with
 *			"_" for a space; "none": no status
 *	interim-STATUS	an interim answer first
 *	interim-STATUS-FRAMING
 *			the same with a body, which FRAMING announces: "length"
 *			or "chunks"
 *	trailer-STATUS	an interim answer with a body after the answer
 *	extra		bytes after the answer, at once
 *	stray		the same some milliseconds later
 *	reset		reads the request and resets the connection
 *	mute		reads the request and never answers
 *	short		half of the announced body, then a close in order
 *	headcut-N	the first N bytes of the head, then a close in order
 *	unframed	no length; the end of the connection ends the body
 *	cutframe	no length; the connection is reset in the body
 *	events-N-MS	N events, MS milliseconds apart
 *	event-KB	one event of that many KiB
 *	break-N-MS	as events-N-MS, but cut within event N/2 unless resumed
 *	spoil-N-MS	as break-N-MS, but resumed with a success that is no
 *			stream
 *	stream-FRAMING-END-N
 *			N events at once, framed as FRAMING says: "chunks",
 *			"length" or "close" (the end of the connection). Their
 *			end, by END:
 *			event	the last event
 *			blank	two more empty lines
 *			comment	a line with a comment
 *			crlf	the last event; all lines end with CR LF
 *			cr	the last event; all lines end with CR
 *			field	a whole line of event N/2 + 1, unless resumed
 *			line	part of a line of that event, unless resumed
 *			half	CR LF lines, the last line without its LF, of
 *				event N/2, unless resumed
 *	endless-FRAMING-KIND
 *			one event, then bytes that end no event until the sender
 *			leaves (at most ENDLESS_LIMIT), framed as "chunks" or
 *			"close". By KIND: "line" (one line), "field" (lines), or
 *			"comment" (lines that are comments); "first" is as line,
 *			without an event before
 *	crash-MS	crashes the target, which is back after MS milliseconds
 *	deadly-MS	the same if the body begins with "deadly", else as ok
 */
typedef struct fake_worker fake_worker_t;

/* Longest answer "without end", so that a test ends. */
#define ENDLESS_LIMIT (64 << 20)

/* What a target has been given to run. */
typedef struct {
	char *id;
	char *path;
	char *team;
	char *target;
	char *resume_after;
	char *smuggled; /* fields that must not arrive, or "" */
	int64_t time_left_ms;
	int64_t closed_after_ms; /* the sender left; -1: it didn't */
	int64_t arrived_us;	 /* monotonic time */
	gsize body_len;
	gsize endless_sent; /* bytes of an answer without end */
} worker_run_t;

fake_worker_t *fake_worker_create(const char *id, uint16_t *port);
void fake_worker_destroy(fake_worker_t *worker);

/* Copies of the runs so far, worker_run_t; free with g_ptr_array_unref(). */
GPtrArray *fake_worker_runs(fake_worker_t *worker);
unsigned fake_worker_count(fake_worker_t *worker, const char *request_id);

/* Answers all requests like the path that ends in this; NULL: their own. */
void fake_worker_force(fake_worker_t *worker, const char *behaviour);

/*
 * From now on a request whose list of parts has this one, not as the last,
 * crashes the target when its answer would begin. NULL: none.
 */
void fake_worker_set_deadly_part(
    fake_worker_t *worker, const char *part, int down_ms);

/* Requests with the deadly part that reached the target. */
unsigned fake_worker_n_deadly(fake_worker_t *worker);

/*
 * Makes the target cold for this time, which its health answers state. They
 * are not among its runs.
 */
void fake_worker_set_cold(fake_worker_t *worker, int cold_ms);

/*
 * From now on all answers have this value of the field Server-Limit. NULL: none
 * has it.
 */
void fake_worker_set_limit(fake_worker_t *worker, const char *per_s);

/*
 * From now on the target crashes, for 1.5 s, when it has refused more requests
 * than this in a second for want of room, and states so in all answers. 0: it
 * isn't fragile.
 */
void fake_worker_set_fragile(fake_worker_t *worker, unsigned per_s);

/*
 * From now on all answers of the target say that it leaves, and its health is
 * 503. It still serves.
 */
void fake_worker_set_leaving(fake_worker_t *worker, bool leaving);

/* Times that it was asked for its health. */
unsigned fake_worker_n_health(fake_worker_t *worker);

/* From now on it refuses what exceeds this many requests. 0: no limit. */
void fake_worker_set_room(fake_worker_t *worker, unsigned room);

/* Requests refused for want of room. */
unsigned fake_worker_refusals(fake_worker_t *worker);

/* Number of runs that arrived since this monotonic time. */
unsigned fake_worker_runs_since(fake_worker_t *worker, gint64 since);

/* Highest number of runs that arrived within one window of this length. */
unsigned fake_worker_busiest_window(fake_worker_t *worker, int window_ms);
/* The same of those that arrived since this monotonic time. */
unsigned fake_worker_busiest_window_since(
    fake_worker_t *worker, int window_ms, gint64 since);

/* Resets all connections and refuses new ones for down_ms. */
void fake_worker_crash(fake_worker_t *worker, int down_ms);

/* Times of the crashes so far, gint64; free with g_array_unref(). */
GArray *fake_worker_crashes(fake_worker_t *worker);

#endif
