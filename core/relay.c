#include "core/relay.h"

#include <glib.h>

/* Before any change: the watch is lost. */
#define REVISION_LOST INT64_MIN

/* Before any deadline. */
#define TIME_NONE INT64_MIN

struct relay {
	const memory_pool_t *answers;
	size_t answer_bytes;
	relay_reply_t reply;
	void *owner;
	changelog_t *log;
	int64_t era;
	int64_t revision;
	bool current;
	GPtrArray *watches;
};

relay_t *
relay_create(const memory_pool_t *answers, size_t answer_bytes,
    relay_reply_t reply, void *owner)
{
	relay_t *relay = g_new0(relay_t, 1);

	relay->answers = answers;
	relay->answer_bytes = answer_bytes;
	relay->reply = reply;
	relay->owner = owner;
	relay->log = changelog_create();
	relay->watches = g_ptr_array_new();
	return relay;
}

void
relay_destroy(relay_t *relay)
{
	for (guint i = 0; i < relay->watches->len; i++)
		relay->reply(relay->owner, g_ptr_array_index(relay->watches, i),
		    RELAY_ENDS);
	g_ptr_array_unref(relay->watches);
	changelog_destroy(relay->log);
	g_free(relay);
}

changelog_t *
relay_log(const relay_t *relay)
{
	return relay->log;
}

int64_t
relay_era(const relay_t *relay)
{
	return relay->era;
}

int64_t
relay_revision(const relay_t *relay)
{
	return relay->revision;
}

void
relay_begin_era(relay_t *relay, int64_t era)
{
	relay->era = era;
	changelog_clear(relay->log);
	relay->revision = 0;
	relay->current = false;
	for (guint i = 0; i < relay->watches->len; i++) {
		relay_watch_t *watch = g_ptr_array_index(relay->watches, i);

		watch->after = REVISION_LOST;
	}
}

/*
 * Whether another answer may be made. One always may, however large: its reader
 * would never get it otherwise.
 */
static bool
has_room(const relay_t *relay)
{
	return relay->answers->claimed == 0 ||
	       memory_has_room(relay->answers, relay->answer_bytes);
}

static relay_verdict_t
watch_judge(const relay_t *relay, const relay_watch_t *watch, int64_t now_ms)
{
	bool expired = now_ms >= watch->deadline_ms;

	if (!changelog_continues(relay->log, watch->after))
		return RELAY_LOST;
	if (!changelog_has_after(relay->log, watch->after) && !expired)
		return RELAY_WAIT;
	if (has_room(relay))
		return RELAY_ANSWER;
	return expired ? RELAY_NO_ROOM : RELAY_WAIT;
}

/*
 * Answers the pending watches that can be answered. A watch is removed before
 * its reply, as the reply may lead to another call of this relay.
 */
static void
watches_reply(relay_t *relay, bool stale, int64_t now_ms)
{
	for (guint i = relay->watches->len; i > 0; i--) {
		relay_watch_t *watch;
		relay_verdict_t verdict;

		if (i > relay->watches->len)
			continue;
		watch = g_ptr_array_index(relay->watches, i - 1);
		verdict =
		    stale ? RELAY_STALE : watch_judge(relay, watch, now_ms);
		if (verdict == RELAY_WAIT)
			continue;
		g_ptr_array_remove_index_fast(relay->watches, i - 1);
		relay->reply(relay->owner, watch, verdict);
	}
}

void
relay_advance(relay_t *relay, int64_t revision)
{
	changelog_begin(relay->log, revision);
	relay->revision = MAX(relay->revision, revision);
	relay->current = true;
	watches_reply(relay, false, TIME_NONE);
}

void
relay_suspend(relay_t *relay)
{
	relay->current = false;
	watches_reply(relay, true, TIME_NONE);
}

void
relay_expire(relay_t *relay, int64_t now_ms)
{
	watches_reply(relay, false, now_ms);
}

relay_verdict_t
relay_may_read(const relay_t *relay)
{
	if (!relay->current)
		return RELAY_STALE;
	return has_room(relay) ? RELAY_ANSWER : RELAY_NO_ROOM;
}

bool
relay_watch(relay_t *relay, relay_watch_t *watch, int64_t era)
{
	relay_verdict_t verdict;

	if (era != relay->era)
		watch->after = REVISION_LOST;
	verdict =
	    relay->current ? watch_judge(relay, watch, TIME_NONE) : RELAY_STALE;
	if (verdict == RELAY_WAIT) {
		g_ptr_array_add(relay->watches, watch);
		return true;
	}
	relay->reply(relay->owner, watch, verdict);
	return false;
}

bool
relay_cancel(relay_t *relay, relay_watch_t *watch)
{
	return g_ptr_array_remove(relay->watches, watch);
}
