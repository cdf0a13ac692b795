#include "peer/client.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <sys/epoll.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/error.h"
#include "exchange.h"
#include "job.h"
#include "link.h"
#include "loop.h"

/* A challenge is repeated only when the peer dropped a window meanwhile. */
#define CHALLENGE_LIMIT 3

typedef enum {
	CLIENT_IDLE,
	CLIENT_CONNECTING,
	CLIENT_CALLING,
	CLIENT_JUDGING, /* the worker has the job and the record */
} client_state_t;

struct peer_client {
	loop_item_t item; /* first, so that it can be cast */
	peer_loop_t *loop;
	peer_sender_t self;
	envelope_keys_t keys;

	/* Guarded by the loop's lock. */
	GQueue queue;	/* jobs to send */
	GQueue dropped; /* jobs to complete with an error */
	bool stopping;
	bool judged; /* the worker is done */
	bool ended;

	/* Used by the loop's threads only. */
	client_state_t state;
	link_t *link;
	job_t *job; /* the call in progress */
	exchange_t exchange;
	GByteArray *record; /* its reply, from its end to the verdict */
	exchange_verdict_t verdict;
	int challenges;
	time_us_t call_at;
	uint32_t xid;
	uint64_t session; /* kept over connections */
	unsigned failures;
	time_us_t retry_at;
};

static void
client_failed(peer_client_t *client)
{
	time_us_t limit = PEER_BACKOFF_MIN_US << MIN(client->failures, 10U);

	limit = MIN(limit, PEER_BACKOFF_MAX_US);
	client->failures++;
	client->retry_at =
	    clock_now() + (time_us_t)randombytes_uniform((uint32_t)limit) + 1;
}

static const char *
error_result(const GError *error)
{
	if (g_error_matches(error, CS_ERROR, CS_ERROR_TIMEOUT))
		return "timeout";
	if (g_error_matches(error, CS_ERROR, CS_ERROR_AUTH))
		return "refused";
	return "failed";
}

static void
client_close(peer_client_t *client)
{
	loop_unwatch(client->loop, &client->item);
	link_close(client->link);
}

/* Is ready for the next job, which comes after the other clients' work. */
static void
client_idle(peer_client_t *client)
{
	client->state = CLIENT_IDLE;
	client->job = NULL;
	loop_set_deadline(client->loop, &client->item, 0);
	loop_lock(client->loop);
	loop_announce(client->loop, &client->item);
	loop_unlock(client->loop);
}

/* Ends the attempt to connect for the job; takes error. */
static void
client_unreachable(peer_client_t *client, GError *error)
{
	job_t *job = client->job;

	client_close(client);
	client_failed(client);
	client_idle(client);
	job_drop(job, "unreachable", error);
	g_error_free(error);
}

/* Ends the call in progress; takes error. */
static void
client_fail(peer_client_t *client, GError *error)
{
	job_t *job = client->job;

	counter_increment("peer_calls", "result", error_result(error));
	client_close(client);
	client_failed(client);
	client_idle(client);
	job_complete(job, NULL, error);
	g_error_free(error);
}

static GError *
client_error(const peer_client_t *client, cs_error_t code, const char *what)
{
	return g_error_new(CS_ERROR, code,
	    "call to peer %s failed: %s; try again later or ask another peer",
	    link_address(client->link), what);
}

/* The deadline moves with each byte up to the limit of the whole call. */
static void
client_set_call_deadline(peer_client_t *client)
{
	time_us_t silent =
	    link_active_at(client->link) + PEER_TIMEOUT_S * US_PER_S;

	loop_set_deadline(client->loop, &client->item,
	    MIN(silent, client->call_at + PEER_CALL_US));
}

/* Waits for the socket as the connection needs it now. */
static void
client_wait(peer_client_t *client)
{
	uint32_t events = link_is_sending(client->link) ? EPOLLOUT : EPOLLIN;

	if (!loop_watch(
		client->loop, &client->item, link_fd(client->link), events)) {
		client_fail(client,
		    client_error(client, CS_ERROR_IO, g_strerror(errno)));
		return;
	}
	client_set_call_deadline(client);
}

/* Sends the job, for the first time or after a challenge. */
static void
client_call(peer_client_t *client)
{
	GError *error = NULL;
	GByteArray *record = exchange_seal(&client->exchange, client->job->kind,
	    ++client->xid, client->session, &client->self, &client->keys,
	    client->job->body, &error);
	bool sent;

	client->state = CLIENT_CALLING;
	if (record == NULL) {
		client_fail(client, error);
		return;
	}
	sent = link_send(client->link, record->data, record->len);
	g_byte_array_unref(record);
	if (sent)
		client_wait(client);
	else
		client_fail(client,
		    client_error(client, CS_ERROR_IO, "connection was closed"));
}

static void
client_connected(peer_client_t *client)
{
	client->call_at = clock_now();
	client->challenges = 0;
	client_call(client);
}

/* Starts to connect for the job. */
static void
client_connect(peer_client_t *client)
{
	GError *error = NULL;

	if (!link_open(client->link, &error)) {
		client_unreachable(client, error);
		return;
	}
	client->state = CLIENT_CONNECTING;
	if (loop_watch(
		client->loop, &client->item, link_fd(client->link), EPOLLOUT)) {
		loop_set_deadline(client->loop, &client->item,
		    clock_now() + PEER_TIMEOUT_S * US_PER_S);
		return;
	}
	link_set_error(client->link, errno, &error);
	client_unreachable(client, error);
}

static void
client_begin(peer_client_t *client, job_t *job)
{
	time_us_t now = clock_now();
	const char *dropped = job->dropped;

	if (dropped == NULL && now - job->queued_at > PEER_QUEUE_US)
		dropped = "expired";
	if (dropped == NULL && !link_is_open(client->link) &&
	    now < client->retry_at)
		dropped = "backoff";
	if (dropped != NULL) {
		job_drop(job, dropped, NULL);
		return;
	}
	client->job = job;
	if (link_is_open(client->link))
		client_connected(client);
	else
		client_connect(client);
}

/*
 * Checks the reply in the record and completes the job, unless the peer
 * answered with a challenge. Runs on the worker in state CLIENT_JUDGING.
 */
static void
client_judge(peer_client_t *client)
{
	g_autoptr(GError) error = NULL;
	peer_result_t result = {.kind = client->job->kind};
	exchange_reply_t reply;

	client->verdict = exchange_open(&client->exchange, &client->keys,
	    link_address(client->link), client->record->data,
	    client->record->len, &reply, &error);
	g_byte_array_unref(client->record);
	client->record = NULL;
	if (client->verdict != EXCHANGE_FAILED)
		client->session = reply.session;
	if (client->verdict == EXCHANGE_CHALLENGE)
		return;
	result.from = reply.from;
	if (client->verdict == EXCHANGE_DONE &&
	    !job_decode(client->job, reply.body, &result, &error))
		client->verdict = EXCHANGE_FAILED;
	counter_increment("peer_calls", "result",
	    client->verdict == EXCHANGE_DONE ? "done" : error_result(error));
	if (reply.body != NULL)
		g_bytes_unref(reply.body);
	job_complete(client->job,
	    client->verdict == EXCHANGE_DONE ? &result : NULL, error);
	client->job = NULL;
	if (result.kind == PEER_CALL_FETCH)
		fetch_reply_clear(&result.fetch);
}

static void
client_judged(peer_client_t *client)
{
	switch (client->verdict) {
	case EXCHANGE_DONE:
		client->failures = 0;
		client_idle(client);
		return;
	case EXCHANGE_FAILED:
		client_close(client);
		client_failed(client);
		client_idle(client);
		return;
	case EXCHANGE_CHALLENGE:
		break;
	}
	if (++client->challenges >= CHALLENGE_LIMIT)
		client_fail(
		    client, client_error(client, CS_ERROR_AUTH,
				"the peer doesn't accept its own session"));
	else if (!link_is_open(client->link))
		client_fail(client,
		    client_error(client, CS_ERROR_IO, "connection was closed"));
	else
		client_call(client);
}

static void
client_on_work(loop_item_t *item)
{
	peer_client_t *client = (peer_client_t *)item;

	client_judge(client);
	loop_lock(client->loop);
	client->judged = true;
	loop_announce(client->loop, item);
	loop_unlock(client->loop);
}

/* Takes the reply that the connection holds. */
static void
client_reply(peer_client_t *client)
{
	GByteArray *record = link_take_record(client->link);

	/* As libtirpc did, a reply to an earlier call is passed over. */
	if (exchange_is_other(&client->exchange, record->data, record->len)) {
		g_byte_array_unref(record);
		client_wait(client);
		return;
	}
	client->record = record;
	if (client->job->kind == PEER_CALL_FETCH) {
		client->state = CLIENT_JUDGING;
		loop_set_deadline(client->loop, &client->item, 0);
		loop_work(client->loop, &client->item);
		return;
	}
	client_judge(client);
	client_judged(client);
}

static void
client_receive(peer_client_t *client)
{
	GError *error = NULL;

	switch (link_serve(
	    client->link, exchange_reply_limit(client->job->kind), &error)) {
	case LINK_WAIT:
		client_wait(client);
		break;
	case LINK_RECORD:
		client_reply(client);
		break;
	case LINK_FAILED:
		client_fail(client, error);
		break;
	}
}

static void
client_on_socket(loop_item_t *item)
{
	peer_client_t *client = (peer_client_t *)item;
	GError *error = NULL;

	switch (client->state) {
	case CLIENT_CONNECTING:
		if (link_finish(client->link, &error))
			client_connected(client);
		else
			client_unreachable(client, error);
		break;
	case CLIENT_CALLING:
		client_receive(client);
		break;
	case CLIENT_IDLE:
	case CLIENT_JUDGING:
		/* Between calls the peer sends nothing; what comes is an end.
		 */
		client_close(client);
		break;
	}
}

static void
client_on_deadline(loop_item_t *item)
{
	peer_client_t *client = (peer_client_t *)item;
	GError *error = NULL;

	if (client->state == CLIENT_CONNECTING) {
		link_set_error(client->link, ETIMEDOUT, &error);
		client_unreachable(client, error);
	} else {
		client_fail(client,
		    client_error(client, CS_ERROR_TIMEOUT, "timed out"));
	}
}

/* Completes what is left and ends the client. */
static void
client_stop(peer_client_t *client)
{
	job_t *job;

	if (client->state == CLIENT_CALLING)
		client_fail(client,
		    client_error(client, CS_ERROR_IO, "the client stops"));
	else if (client->job != NULL)
		job_drop(client->job, "stopped", NULL);
	client_close(client);
	loop_set_deadline(client->loop, &client->item, 0);
	loop_lock(client->loop);
	while ((job = g_queue_pop_head(&client->dropped)) != NULL ||
	       (job = g_queue_pop_head(&client->queue)) != NULL) {
		loop_unlock(client->loop);
		job_drop(job, job->dropped ? job->dropped : "stopped", NULL);
		loop_lock(client->loop);
	}
	client->ended = true;
	loop_end(client->loop, &client->item);
	loop_unlock(client->loop);
}

/* Takes the next job that can be handled now, if any. */
static job_t *
client_next(peer_client_t *client)
{
	job_t *job;

	/* The worker may be in a callback of this client. */
	if (client->state == CLIENT_JUDGING)
		return NULL;
	job = g_queue_pop_head(&client->dropped);
	if (job == NULL && client->state == CLIENT_IDLE)
		job = g_queue_pop_head(&client->queue);
	/* One job a turn, so that a long queue holds up no other client. */
	if (job != NULL)
		loop_announce(client->loop, &client->item);
	return job;
}

static void
client_on_ready(loop_item_t *item)
{
	peer_client_t *client = (peer_client_t *)item;
	job_t *job = NULL;
	bool judged;
	bool stopping;

	loop_lock(client->loop);
	judged = client->judged;
	client->judged = false;
	stopping = client->stopping;
	if (!stopping && !judged)
		job = client_next(client);
	loop_unlock(client->loop);
	if (judged)
		client_judged(client);
	/* The worker announces the client again. */
	if (stopping && client->state != CLIENT_JUDGING)
		client_stop(client);
	else if (job != NULL)
		client_begin(client, job);
}

static const loop_handlers_t client_handlers = {
    client_on_ready, client_on_socket, client_on_deadline, client_on_work};

peer_client_t *
peer_client_create(peer_loop_t *loop, const char *address,
    const peer_sender_t *self, const envelope_keys_t *keys, GError **error)
{
	link_t *link = link_create(address, error);
	peer_client_t *client;

	if (link == NULL)
		return NULL;
	client = g_new0(peer_client_t, 1);
	loop_item_init(&client->item, &client_handlers);
	client->loop = loop;
	client->self = *self;
	client->keys = *keys;
	client->link = link;
	client->xid = randombytes_random();
	g_queue_init(&client->queue);
	g_queue_init(&client->dropped);
	return client;
}

/* Returns the queued call that a new heartbeat replaces: an older heartbeat, or
 * the oldest call when the queue is full. NULL: none. */
static GList *
queue_victim(peer_client_t *client)
{
	GList *item = client->queue.head;

	while (item != NULL &&
	       ((const job_t *)item->data)->kind != PEER_CALL_HEARTBEAT)
		item = item->next;
	if (item == NULL && client->queue.length >= PEER_QUEUE_LIMIT)
		item = client->queue.head;
	return item;
}

/* A heartbeat goes first, because the lease depends on it. */
static bool
queue_add_heartbeat(peer_client_t *client, job_t *job)
{
	GList *item = queue_victim(client);

	if (item != NULL) {
		job_t *victim = item->data;

		if (client->dropped.length >= PEER_QUEUE_LIMIT)
			return false;
		victim->dropped = "superseded";
		g_queue_push_tail(&client->dropped, victim);
		g_queue_delete_link(&client->queue, item);
	}
	g_queue_push_head(&client->queue, job);
	return true;
}

static bool
queue_add(peer_client_t *client, job_t *job)
{
	if (job->kind == PEER_CALL_HEARTBEAT)
		return queue_add_heartbeat(client, job);
	if (client->queue.length >= PEER_QUEUE_LIMIT)
		return false;
	g_queue_push_tail(&client->queue, job);
	return true;
}

bool
peer_client_send(peer_client_t *client, const peer_call_t *call,
    peer_done_t done, void *user, GError **error)
{
	job_t *job = job_create(call, done, user, error);
	const char *reason = NULL;

	if (job == NULL)
		return false;
	loop_lock(client->loop);
	if (client->stopping)
		reason = "stopped";
	else if (!queue_add(client, job))
		reason = "queue_full";
	else
		loop_announce(client->loop, &client->item);
	loop_unlock(client->loop);
	if (reason == NULL)
		return true;
	counter_increment("peer_dropped", "reason", reason);
	g_set_error(error, CS_ERROR, CS_ERROR_IO,
	    "call to the peer was not queued (%s); ask another peer or try "
	    "later",
	    reason);
	job_free(job);
	return false;
}

void
peer_client_destroy(peer_client_t *client)
{
	if (client == NULL)
		return;
	loop_lock(client->loop);
	client->stopping = true;
	loop_announce(client->loop, &client->item);
	while (!client->ended)
		loop_wait_end(client->loop);
	loop_unlock(client->loop);
	link_destroy(client->link);
	sodium_memzero(&client->keys, sizeof(client->keys));
	g_free(client);
}
