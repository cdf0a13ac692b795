#include "peer/client.h"

#include <pthread.h>
#include <sodium.h>
#include <string.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/error.h"
#include "common/thread.h"
#include "link.h"

typedef struct {
	peer_call_kind_t kind;
	GBytes *body;
	fetch_t fetch;	   /* PEER_CALL_FETCH */
	time_us_t sent_at; /* PEER_CALL_HEARTBEAT */
	time_us_t queued_at;
	const char *dropped; /* reason, when it must not be sent */
	peer_done_t done;
	void *user;
} job_t;

struct peer_client {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	GQueue queue;	/* jobs to send */
	GQueue dropped; /* jobs to complete with an error */
	bool stopping;
	link_t *link; /* only its link_break is called by other threads */
	/* Used by the thread only. */
	unsigned failures;
	time_us_t retry_at;
};

static void
job_free(job_t *job)
{
	g_bytes_unref(job->body);
	g_free(job);
}

static GBytes *
call_encode(const peer_call_t *call, GError **error)
{
	switch (call->kind) {
	case PEER_CALL_HEARTBEAT:
		return heartbeat_encode(&call->heartbeat, error);
	case PEER_CALL_FETCH:
		return fetch_encode(&call->fetch, error);
	case PEER_CALL_BORROW:
		return borrow_request_encode(&call->borrow, error);
	case PEER_CALL_RETURN:
		return return_encode(&call->give_back, error);
	}
	g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
	    "no peer call has kind %d; use one of peer_call_kind_t",
	    (int)call->kind);
	return NULL;
}

static job_t *
job_create(
    const peer_call_t *call, peer_done_t done, void *user, GError **error)
{
	GBytes *body = call_encode(call, error);
	job_t *job;

	if (body == NULL)
		return NULL;
	job = g_new0(job_t, 1);
	job->kind = call->kind;
	job->body = body;
	job->queued_at = clock_now();
	job->done = done;
	job->user = user;
	if (call->kind == PEER_CALL_FETCH)
		job->fetch = call->fetch;
	if (call->kind == PEER_CALL_HEARTBEAT)
		job->sent_at = call->heartbeat.sent_at;
	return job;
}

static void
job_complete(job_t *job, const peer_result_t *result, const GError *error)
{
	if (job->done != NULL)
		job->done(result, error, job->user);
	job_free(job);
}

/* Completes a job that was never sent. */
static void
job_drop(job_t *job, const char *reason, const GError *cause)
{
	g_autoptr(GError) error = NULL;

	counter_count("peer_dropped", "reason", reason);
	if (cause == NULL) {
		g_set_error(&error, CS_ERROR, CS_ERROR_IO,
		    "call to the peer was not sent (%s); ask another peer or "
		    "try later",
		    reason);
		cause = error;
	}
	job_complete(job, NULL, cause);
}

static bool
fetch_matches(const job_t *job, const fetch_reply_t *reply)
{
	return reply->kind == job->fetch.kind &&
	       (reply->version == 0 ||
		   reply->version >= job->fetch.min_version);
}

static bool
heartbeat_matches(const job_t *job, const peer_result_t *result)
{
	return strcmp(result->heartbeat.sender, result->from.name) == 0 &&
	       result->heartbeat.incarnation == result->from.incarnation &&
	       result->heartbeat.sent_at == job->sent_at;
}

static bool
result_mismatch(GError **error)
{
	g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
	    "reply of the peer doesn't fit the call; run the same version of "
	    "the program on both instances");
	return false;
}

/* Fills result from an authentic reply body. */
static bool
result_decode(
    const job_t *job, GBytes *body, peer_result_t *result, GError **error)
{
	size_t len;
	const void *data = g_bytes_get_data(body, &len);

	switch (job->kind) {
	case PEER_CALL_HEARTBEAT:
		return heartbeat_decode(data, len, &result->heartbeat, error) &&
		       (heartbeat_matches(job, result) ||
			   result_mismatch(error));
	case PEER_CALL_FETCH:
		return fetch_reply_decode(data, len, &result->fetch, error) &&
		       (fetch_matches(job, &result->fetch) ||
			   result_mismatch(error));
	case PEER_CALL_BORROW:
		return borrow_reply_decode(data, len, &result->borrow, error);
	case PEER_CALL_RETURN:
		return len == 0 || result_mismatch(error);
	}
	return result_mismatch(error);
}

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
client_call(peer_client_t *client, job_t *job)
{
	g_autoptr(GError) error = NULL;
	peer_result_t result = {.kind = job->kind};
	GBytes *body = link_call(
	    client->link, (uint32_t)job->kind, job->body, &result.from, &error);
	bool ok = body != NULL && result_decode(job, body, &result, &error);

	counter_count(
	    "peer_calls", "result", ok ? "done" : error_result(error));
	if (ok) {
		client->failures = 0;
	} else {
		link_close(client->link);
		client_failed(client);
	}
	if (body != NULL)
		g_bytes_unref(body);
	job_complete(job, ok ? &result : NULL, error);
	if (result.kind == PEER_CALL_FETCH)
		fetch_reply_clear(&result.fetch);
}

static void
client_handle(peer_client_t *client, job_t *job)
{
	g_autoptr(GError) error = NULL;
	time_us_t now = clock_now();

	if (now - job->queued_at > PEER_QUEUE_US) {
		job_drop(job, "expired", NULL);
		return;
	}
	if (!link_is_open(client->link)) {
		if (now < client->retry_at) {
			job_drop(job, "backoff", NULL);
			return;
		}
		if (!link_open(client->link, &error)) {
			client_failed(client);
			job_drop(job, "unreachable", error);
			return;
		}
	}
	client_call(client, job);
}

/* Waits for a job. Returns NULL when stopping and nothing is left. */
static job_t *
client_next(peer_client_t *client)
{
	job_t *job;

	pthread_mutex_lock(&client->lock);
	while (!client->stopping && g_queue_is_empty(&client->queue) &&
	       g_queue_is_empty(&client->dropped))
		pthread_cond_wait(&client->wake, &client->lock);
	job = g_queue_pop_head(&client->dropped);
	if (job == NULL) {
		job = g_queue_pop_head(&client->queue);
		if (job != NULL && client->stopping)
			job->dropped = "stopped";
	}
	pthread_mutex_unlock(&client->lock);
	return job;
}

static void *
client_run(void *arg)
{
	peer_client_t *client = arg;
	job_t *job;

	while ((job = client_next(client)) != NULL) {
		if (job->dropped != NULL)
			job_drop(job, job->dropped, NULL);
		else
			client_handle(client, job);
	}
	link_close(client->link);
	return NULL;
}

peer_client_t *
peer_client_create(const char *address, const peer_sender_t *self,
    const envelope_keys_t *keys, GError **error)
{
	link_t *link = link_create(address, self, keys, error);
	peer_client_t *client;
	int failed;

	if (link == NULL)
		return NULL;
	client = g_new0(peer_client_t, 1);
	client->link = link;
	pthread_mutex_init(&client->lock, NULL);
	pthread_cond_init(&client->wake, NULL);
	g_queue_init(&client->queue);
	g_queue_init(&client->dropped);
	failed = thread_start(&client->thread, client_run, client);
	if (failed == 0)
		return client;
	g_set_error(error, CS_ERROR, CS_ERROR_IO,
	    "can't start a peer client: %s; raise the limits of the process",
	    g_strerror(failed));
	link_destroy(link);
	g_free(client);
	return NULL;
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
	pthread_mutex_lock(&client->lock);
	if (client->stopping)
		reason = "stopped";
	else if (!queue_add(client, job))
		reason = "queue_full";
	pthread_cond_signal(&client->wake);
	pthread_mutex_unlock(&client->lock);
	if (reason == NULL)
		return true;
	counter_count("peer_dropped", "reason", reason);
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
	pthread_mutex_lock(&client->lock);
	client->stopping = true;
	pthread_cond_signal(&client->wake);
	pthread_mutex_unlock(&client->lock);
	link_break(client->link);
	pthread_join(client->thread, NULL);
	pthread_mutex_destroy(&client->lock);
	pthread_cond_destroy(&client->wake);
	link_destroy(client->link);
	g_free(client);
}
