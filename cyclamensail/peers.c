#include "peers.h"

#include <sodium.h>
#include <string.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/log.h"
#include "lists.h"
#include "peer/client.h"
#include "peer/server.h"

typedef struct {
	peer_client_t *client;
	char *address;
} link_t;

struct peers {
	daemon_t *daemon;
	peer_sender_t self;
	envelope_keys_t keys;
	peer_server_t *server;
	peer_loop_t *loop;	/* of the clients */
	bool synced;		/* links were created; timer thread only */
	uint64_t fleet_version; /* list version of links; timer thread only */
	pthread_mutex_t lock;	/* of links */
	GHashTable *links;	/* name -> link_t */
};

/* Context of an outstanding call to a peer. */
typedef struct {
	peers_t *peers;
	char peer[NAME_LIMIT + 1];
	list_kind_t list;
	loan_request_t loan;
} call_t;

static void
link_destroy(gpointer data)
{
	link_t *link = data;

	peer_client_destroy(link->client);
	g_free(link->address);
	g_free(link);
}

/* Calls the gate under its lock and executes the actions that it returns. */
#define GATE_CALL(daemon, call)                             \
	do {                                                \
		GArray *actions = daemon_actions_create();  \
		pthread_mutex_lock(&(daemon)->gate_lock);   \
		call;                                       \
		pthread_mutex_unlock(&(daemon)->gate_lock); \
		daemon_execute((daemon), actions);          \
	} while (0)

static void
on_heartbeat(const heartbeat_t *in, heartbeat_t *reply, void *user)
{
	peers_t *peers = user;
	daemon_t *daemon = peers->daemon;

	GATE_CALL(daemon,
	    gate_on_heartbeat(daemon->gate, in, reply, clock_now(), actions));
}

static void
on_fetch(const peer_sender_t *from, const fetch_t *in, fetch_reply_t *reply,
    void *user)
{
	peers_t *peers = user;
	daemon_t *daemon = peers->daemon;

	reply->kind = in->kind;
	pthread_mutex_lock(&daemon->gate_lock);
	if (in->kind == LIST_PLANS) {
		plans_skip_t part = {0};

		gate_plans_missing(
		    daemon->gate, &in->held, &part, &reply->text, &reply->len);
		reply->version = part.version;
		reply->part = part.part;
		reply->parts = part.parts;
	} else
		gate_list_text(daemon->gate, in->kind, in->min_version,
		    &reply->version, &reply->text, &reply->len);
	pthread_mutex_unlock(&daemon->gate_lock);
}

static void
on_borrow(const peer_sender_t *from, const borrow_request_t *in,
    borrow_reply_t *reply, void *user)
{
	peers_t *peers = user;
	daemon_t *daemon = peers->daemon;
	loan_request_t request = {.incarnation = from->incarnation,
	    .request_id = in->request_id,
	    .share = in->share,
	    .tokens = in->tokens};
	loan_grant_t grant;

	g_strlcpy(request.team, in->team, sizeof(request.team));
	g_strlcpy(request.borrower, from->name, sizeof(request.borrower));
	pthread_mutex_lock(&daemon->gate_lock);
	gate_on_borrow(daemon->gate, &request, clock_now(), &grant);
	pthread_mutex_unlock(&daemon->gate_lock);
	if (grant.loan_id == 0)
		return;
	reply->share = grant.share;
	reply->tokens = grant.tokens;
	reply->loan_id = grant.loan_id;
	counter_increment("loans", "side", "lent");
}

static void
on_return(const peer_sender_t *from, const return_t *in, void *user)
{
	peers_t *peers = user;
	daemon_t *daemon = peers->daemon;
	loan_return_t message = {.loan_id = in->loan_id, .share = in->share};

	g_strlcpy(message.team, in->team, sizeof(message.team));
	g_strlcpy(message.borrower, from->name, sizeof(message.borrower));
	g_strlcpy(
	    message.lender, daemon->settings->instance, sizeof(message.lender));
	pthread_mutex_lock(&daemon->gate_lock);
	gate_on_return(daemon->gate, &message, clock_now());
	pthread_mutex_unlock(&daemon->gate_lock);
	counter_increment("loans", "side", "taken_back");
}

static bool
keys_init(peers_t *peers, GError **error)
{
	const daemon_t *daemon = peers->daemon;
	char hex[ENVELOPE_SECRET_LIMIT][65];
	const char *secrets[ENVELOPE_SECRET_LIMIT + 1] = {NULL};
	bool ok;

	for (size_t i = 0; i < daemon->n_secrets; i++) {
		sodium_bin2hex(hex[i], sizeof(hex[i]), daemon->secrets[i],
		    sizeof(daemon->secrets[i]));
		secrets[i] = hex[i];
	}
	ok = envelope_keys_init(&peers->keys, secrets, error);
	sodium_memzero(hex, sizeof(hex));
	return ok;
}

peers_t *
peers_create(daemon_t *daemon, GError **error)
{
	peers_t *peers = g_new0(peers_t, 1);
	peer_handlers_t handlers = {
	    on_heartbeat, on_fetch, on_borrow, on_return, peers};

	peers->daemon = daemon;
	g_strlcpy(peers->self.name, daemon->settings->instance,
	    sizeof(peers->self.name));
	peers->self.incarnation = daemon->incarnation;
	pthread_mutex_init(&peers->lock, NULL);
	peers->links = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, link_destroy);
	if (!keys_init(peers, error) ||
	    (peers->loop = peer_loop_create(error)) == NULL) {
		peers_destroy(peers);
		return NULL;
	}
	/* A heartbeat can arrive before peer_server_create returns. */
	daemon->peers = peers;
	peers->server = peer_server_create(daemon->settings->peer, &peers->self,
	    &peers->keys, &handlers, error);
	if (peers->server != NULL)
		return peers;
	daemon->peers = NULL;
	peers_destroy(peers);
	return NULL;
}

static const gate_peer_t *
peer_find(const GArray *wanted, const char *name)
{
	for (guint i = 0; i < wanted->len; i++) {
		const gate_peer_t *peer =
		    &g_array_index(wanted, gate_peer_t, i);

		if (strcmp(peer->name, name) == 0)
			return peer;
	}
	return NULL;
}

/* Removes the links to other peers than wanted from the table and returns them.
 */
static GPtrArray *
links_remove(peers_t *peers, const GArray *wanted)
{
	GPtrArray *removed = g_ptr_array_new_with_free_func(link_destroy);
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->links);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		link_t *link = value;
		const gate_peer_t *peer = peer_find(wanted, name);

		if (peer != NULL && strcmp(peer->address, link->address) == 0)
			continue;
		g_ptr_array_add(removed, link);
		g_hash_table_iter_steal(&iter);
		g_free(name);
	}
	return removed;
}

void
peers_destroy(peers_t *peers)
{
	g_autoptr(GArray) no_peers =
	    g_array_new(FALSE, FALSE, sizeof(gate_peer_t));
	GPtrArray *removed;

	if (peers == NULL)
		return;
	peer_server_destroy(peers->server);
	pthread_mutex_lock(&peers->lock);
	removed = links_remove(peers, no_peers);
	pthread_mutex_unlock(&peers->lock);
	/* Waits for callbacks, which may take the lock. */
	g_ptr_array_free(removed, TRUE);
	peer_loop_destroy(peers->loop);
	g_hash_table_destroy(peers->links);
	pthread_mutex_destroy(&peers->lock);
	g_free(peers);
}

static void
link_add(peers_t *peers, const gate_peer_t *peer)
{
	g_autoptr(GError) error = NULL;
	peer_client_t *client = peer_client_create(
	    peers->loop, peer->address, &peers->self, &peers->keys, &error);
	link_t *link;

	if (client == NULL) {
		log_event(LOG_ERR, "peer_unusable", LOG_S("peer", peer->name),
		    LOG_S("error", error->message));
		return;
	}
	link = g_new0(link_t, 1);
	link->client = client;
	link->address = g_strdup(peer->address);
	g_hash_table_insert(peers->links, g_strdup(peer->name), link);
}

void
peers_sync(peers_t *peers)
{
	g_autoptr(GArray) wanted = NULL;
	uint64_t versions[LIST_COUNT];
	GPtrArray *removed;
	bool changed;

	pthread_mutex_lock(&peers->daemon->gate_lock);
	gate_list_versions(peers->daemon->gate, versions);
	changed =
	    !peers->synced || versions[LIST_FLEET] != peers->fleet_version;
	if (changed)
		wanted = gate_peers(peers->daemon->gate);
	pthread_mutex_unlock(&peers->daemon->gate_lock);
	if (!changed)
		return;
	peers->synced = true;
	peers->fleet_version = versions[LIST_FLEET];
	pthread_mutex_lock(&peers->lock);
	removed = links_remove(peers, wanted);
	for (guint i = 0; i < wanted->len; i++) {
		const gate_peer_t *peer =
		    &g_array_index(wanted, gate_peer_t, i);

		if (!g_hash_table_contains(peers->links, peer->name))
			link_add(peers, peer);
	}
	pthread_mutex_unlock(&peers->lock);
	/* Waits for callbacks, which may take the lock. */
	g_ptr_array_free(removed, TRUE);
}

static void
heartbeat_done(const peer_result_t *result, const GError *error, void *user)
{
	call_t *call = user;
	daemon_t *daemon = call->peers->daemon;

	GATE_CALL(daemon,
	    gate_on_reply(daemon->gate, call->peer,
		result ? &result->heartbeat : NULL, clock_now(), actions));
	g_free(call);
}

static void
plans_fetch_done(const peer_result_t *result, const GError *error, void *user)
{
	call_t *call = user;
	daemon_t *daemon = call->peers->daemon;
	lists_fetch_t outcome = LISTS_FETCH_FAILED;
	plans_skip_t refused = {0};

	if (result != NULL && result->fetch.version == 0) {
		outcome = LISTS_FETCH_NOTHING;
	} else if (result != NULL) {
		outcome = LISTS_FETCH_GOT;
		if (!lists_receive(daemon, LIST_PLANS, result->fetch.text,
			result->fetch.len, call->peer))
			refused = (plans_skip_t){result->fetch.part,
			    result->fetch.parts, result->fetch.version};
	}
	GATE_CALL(daemon, {
		if (refused.version > 0)
			gate_part_refused(daemon->gate, &refused);
		gate_plans_fetch_end(daemon->gate, call->peer,
		    result ? result->from.name : "", outcome, clock_now(),
		    actions);
	});
	g_free(call);
}

static void
fetch_done(const peer_result_t *result, const GError *error, void *user)
{
	call_t *call = user;
	daemon_t *daemon = call->peers->daemon;
	bool received = result != NULL && result->fetch.version > 0;
	list_stamp_t refused = {0};

	if (received && !lists_receive(daemon, call->list, result->fetch.text,
			    result->fetch.len, call->peer)) {
		refused.version = result->fetch.version;
		crypto_generichash(refused.digest, sizeof(refused.digest),
		    (const unsigned char *)result->fetch.text,
		    result->fetch.len, NULL, 0);
	}
	pthread_mutex_lock(&daemon->gate_lock);
	if (refused.version > 0)
		gate_list_refused(daemon->gate, call->list, &refused);
	gate_fetch_end(daemon->gate, call->list, received, clock_now());
	pthread_mutex_unlock(&daemon->gate_lock);
	g_free(call);
}

static void
borrow_done(const peer_result_t *result, const GError *error, void *user)
{
	call_t *call = user;
	daemon_t *daemon = call->peers->daemon;
	loan_grant_t grant = {.request_id = call->loan.request_id,
	    .requested_at = call->loan.requested_at};

	g_strlcpy(grant.team, call->loan.team, sizeof(grant.team));
	g_strlcpy(grant.lender, call->peer, sizeof(grant.lender));
	if (result != NULL) {
		g_strlcpy(
		    grant.lender, result->from.name, sizeof(grant.lender));
		grant.incarnation = result->from.incarnation;
		grant.loan_id = result->borrow.loan_id;
		grant.share = result->borrow.share;
		grant.tokens = result->borrow.tokens;
	}
	counter_increment("loans", "side",
	    grant.loan_id ? "borrowed"
	    : result	  ? "nothing_spare"
			  : "no_answer");
	GATE_CALL(
	    daemon, gate_on_grant(daemon->gate, &grant, clock_now(), actions));
	g_free(call);
}

/* Queues a call. done is also called when the call can't be queued. */
static void
call_send(peers_t *peers, const char *name, const peer_call_t *message,
    peer_done_t done, const call_t *context)
{
	g_autoptr(GError) error = NULL;
	call_t *call = g_memdup2(context, sizeof(*context));
	bool sent = false;
	link_t *link;

	call->peers = peers;
	g_strlcpy(call->peer, name, sizeof(call->peer));
	pthread_mutex_lock(&peers->lock);
	link = g_hash_table_lookup(peers->links, name);
	if (link != NULL)
		sent =
		    peer_client_send(link->client, message, done, call, &error);
	pthread_mutex_unlock(&peers->lock);
	if (!sent && done != NULL)
		done(NULL, error, call);
	else if (!sent)
		g_free(call);
}

static void
return_done(const peer_result_t *result, const GError *error, void *user)
{
	g_free(user);
}

static void
fetch_send(peers_t *peers, const gate_action_t *action)
{
	daemon_t *daemon = peers->daemon;
	peer_call_t message = {.kind = PEER_CALL_FETCH};
	call_t context = {.peers = peers, .list = action->u.fetch.list};

	message.fetch.kind = action->u.fetch.list;
	if (action->u.fetch.list != LIST_PLANS) {
		message.fetch.min_version = action->u.fetch.version;
		call_send(peers, action->u.fetch.peer, &message, fetch_done,
		    &context);
		return;
	}
	pthread_mutex_lock(&daemon->gate_lock);
	gate_plans_held(daemon->gate, &message.fetch.held);
	pthread_mutex_unlock(&daemon->gate_lock);
	call_send(
	    peers, action->u.fetch.peer, &message, plans_fetch_done, &context);
}

void
peers_execute(peers_t *peers, const gate_action_t *action)
{
	daemon_t *daemon = peers->daemon;
	peer_call_t message;
	call_t context = {.peers = peers};

	memset(&message, 0, sizeof(message));
	switch (action->kind) {
	case ACTION_HEARTBEAT:
		message.kind = PEER_CALL_HEARTBEAT;
		pthread_mutex_lock(&daemon->gate_lock);
		gate_heartbeat_fill(daemon->gate, action->u.heartbeat.peer,
		    &message.heartbeat, clock_now());
		pthread_mutex_unlock(&daemon->gate_lock);
		call_send(peers, action->u.heartbeat.peer, &message,
		    heartbeat_done, &context);
		break;
	case ACTION_FETCH:
		fetch_send(peers, action);
		break;
	case ACTION_BORROW:
		message.kind = PEER_CALL_BORROW;
		g_strlcpy(message.borrow.team, action->u.borrow.request.team,
		    sizeof(message.borrow.team));
		message.borrow.share = action->u.borrow.request.share;
		message.borrow.tokens = action->u.borrow.request.tokens;
		message.borrow.request_id = action->u.borrow.request.request_id;
		context.loan = action->u.borrow.request;
		call_send(peers, action->u.borrow.peer, &message, borrow_done,
		    &context);
		break;
	case ACTION_RETURN:
		message.kind = PEER_CALL_RETURN;
		g_strlcpy(message.give_back.team, action->u.give_back.team,
		    sizeof(message.give_back.team));
		message.give_back.loan_id = action->u.give_back.loan_id;
		message.give_back.share = action->u.give_back.share;
		call_send(peers, action->u.give_back.lender, &message,
		    return_done, &context);
		break;
	case ACTION_COMMAND:
	case ACTION_ENGINE_STATE:
	case ACTION_REFUSE:
	case ACTION_SEND:
	case ACTION_FORWARD:
	case ACTION_REPLAY:
	case ACTION_DONE:
	case ACTION_CANCEL:
		break;
	}
}
