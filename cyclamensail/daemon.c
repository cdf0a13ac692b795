#include "daemon.h"

#include <ck_pr.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/log.h"
#include "lists.h"
#include "peers.h"

#define TICK_US 50000
/* Interval at which the parts of the plans list to watch are updated. */
#define SOURCES_INTERVAL_US (500 * US_PER_MS)

/* A connection whose caller reads nothing for this long is closed. */
#define CALLER_IDLE_TIMEOUT_S 60

#define ADMIN_CONNECTIONS 32
#define ADMIN_BODY_LIMIT 4096

GArray *
daemon_actions_create(void)
{
	return g_array_new(FALSE, FALSE, sizeof(gate_action_t));
}

void
daemon_execute(daemon_t *daemon, GArray *actions)
{
	for (guint i = 0; i < actions->len; i++) {
		gate_action_t *action =
		    &g_array_index(actions, gate_action_t, i);

		if (action->kind == ACTION_COMMAND ||
		    action->kind == ACTION_ENGINE_STATE)
			engine_execute(daemon, action);
		else if (action->user != NULL)
			daemon_request_execute(daemon, action);
		else
			peers_execute(daemon->peers, action);
		if (action->kind == ACTION_REPLAY &&
		    action->u.replay.answer != NULL)
			g_bytes_unref(action->u.replay.answer);
	}
	g_array_free(actions, TRUE);
}

void
key_hash_compute(const char *key, uint8_t hash[KEY_HASH_BYTES])
{
	crypto_hash_sha256(hash, (const unsigned char *)key, strlen(key));
}

const char *
exchange_bearer_key(const exchange_t *exchange)
{
	static const char scheme[] = "Bearer ";
	const char *value = exchange_header(exchange, "Authorization");

	if (value == NULL ||
	    g_ascii_strncasecmp(value, scheme, strlen(scheme)) != 0)
		return NULL;
	value += strlen(scheme);
	return value + strspn(value, " ");
}

/* Updates the parts of the plans list that the platform reader reads. */
static void
sources_update(daemon_t *daemon)
{
	time_us_t now = clock_now();
	GArray *sources;

	if (daemon->reader == NULL || now < daemon->sources_due_at)
		return;
	daemon->sources_due_at = now + SOURCES_INTERVAL_US;
	pthread_mutex_lock(&daemon->gate_lock);
	sources = gate_plans_sources(daemon->gate, now);
	pthread_mutex_unlock(&daemon->gate_lock);
	platform_reader_set_sources(daemon->reader,
	    (const plans_source_t *)(void *)sources->data, sources->len);
	g_array_free(sources, TRUE);
}

static void *
timer_run(void *user)
{
	daemon_t *daemon = user;

	while (ck_pr_load_32(&daemon->timer_stopping) == 0) {
		GArray *actions = daemon_actions_create();

		pthread_mutex_lock(&daemon->gate_lock);
		gate_tick(daemon->gate, clock_now(), clock_wall_s(), actions);
		pthread_mutex_unlock(&daemon->gate_lock);
		peers_sync(daemon->peers);
		sources_update(daemon);
		daemon_execute(daemon, actions);
		usleep(TICK_US);
	}
	return NULL;
}

static void
identity_create(daemon_t *daemon)
{
	const settings_t *settings = daemon->settings;

	do
		randombytes_buf(
		    &daemon->incarnation, sizeof(daemon->incarnation));
	while (daemon->incarnation == 0);
	daemon->n_secrets = settings->n_fleet_secrets;
	memcpy(
	    daemon->secrets, settings->fleet_secrets, sizeof(daemon->secrets));
	/* Derived, so that all instances compute the same digest of a request.
	 */
	crypto_generichash(daemon->digest_key, sizeof(daemon->digest_key),
	    (const unsigned char *)"request digest", strlen("request digest"),
	    daemon->secrets[0], sizeof(daemon->secrets[0]));
}

static void
gate_start(daemon_t *daemon)
{
	uint8_t ticket_key[ORDER_MAC_KEY_BYTES];
	gate_options_t options = {.instance = daemon->settings->instance,
	    .zone = daemon->settings->zone,
	    .incarnation = daemon->incarnation,
	    .seeds = (const char *const *)daemon->settings->seeds,
	    .ticket_key = ticket_key,
	    .queue_limit = daemon->settings->queue_limit,
	    .now = clock_now(),
	    .wall_s = clock_wall_s(),
	    .pair_fits = lists_pair_fits};

	randombytes_buf(&options.seed, sizeof(options.seed));
	randombytes_buf(ticket_key, sizeof(ticket_key));
	daemon->gate = gate_create(&options);
	sodium_memzero(ticket_key, sizeof(ticket_key));
}

/* Splits address:port; the settings have validated the format. */
static void
address_split(const char *text, char address[64], uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	size_t skip = text[0] == '[' ? 1 : 0;

	/* Without the brackets of an IPv6 address. */
	g_strlcpy(address, text + skip,
	    MIN((size_t)(colon - text) + 1 - 2 * skip, 64));
	*port = (uint16_t)strtoul(colon + 1, NULL, 10);
}

static bool
certificate_read(
    const settings_t *settings, char **certificate, char **key, GError **error)
{
	if (settings->tls_certificate == NULL)
		return true;
	return g_file_get_contents(
		   settings->tls_certificate, certificate, NULL, error) &&
	       g_file_get_contents(settings->tls_key, key, NULL, error);
}

static bool
edge_start(daemon_t *daemon, GError **error)
{
	const settings_t *settings = daemon->settings;
	g_autofree char *certificate = NULL;
	g_autofree char *key = NULL;
	char address[64];
	edge_handlers_t handlers = {daemon_request_on_head,
	    daemon_request_on_head_malformed, daemon_request_on_received,
	    daemon_request_on_body_refused, daemon_request_on_drained,
	    daemon_request_on_closed, daemon};
	edge_options_t options = {.address = address,
	    .threads = settings->http_threads,
	    .connection_limit = settings->connection_limit,
	    .body_limit = (size_t)settings->body_limit_kb * 1024,
	    .memory_limit = (size_t)settings->memory_mb * 1024 * 1024,
	    .idle_timeout_s = CALLER_IDLE_TIMEOUT_S};

	if (!certificate_read(settings, &certificate, &key, error))
		return false;
	options.tls_certificate = certificate;
	options.tls_key = key;
	address_split(settings->http, address, &options.port);
	daemon->edge = edge_server_create(&options, &handlers, error);
	return daemon->edge != NULL;
}

static void
admin_on_head(exchange_t *exchange, void *user)
{
}

static void
admin_on_head_malformed(exchange_t *exchange, void *user)
{
	exchange_respond(exchange, 400, "", 0);
}

static void
admin_on_request(exchange_t *exchange, void *user)
{
	pages_serve(user, exchange, true);
}

static void
admin_on_body_refused(exchange_t *exchange, bool memory, void *user)
{
	exchange_respond(exchange, 413, "", 0);
}

static void
admin_on_drained(exchange_t *exchange, void *user)
{
}

static void
admin_on_closed(exchange_t *exchange, bool complete, void *user)
{
}

static bool
admin_start(daemon_t *daemon, GError **error)
{
	char address[64];
	edge_handlers_t handlers = {admin_on_head, admin_on_head_malformed,
	    admin_on_request, admin_on_body_refused, admin_on_drained,
	    admin_on_closed, daemon};
	edge_options_t options = {.address = address,
	    .threads = 1,
	    .connection_limit = ADMIN_CONNECTIONS,
	    .body_limit = ADMIN_BODY_LIMIT,
	    .memory_limit = (size_t)ADMIN_CONNECTIONS * 1024 * 1024,
	    .idle_timeout_s = CALLER_IDLE_TIMEOUT_S};

	if (daemon->settings->admin == NULL)
		return true;
	address_split(daemon->settings->admin, address, &options.port);
	daemon->admin = edge_server_create(&options, &handlers, error);
	return daemon->admin != NULL;
}

static void
on_value(list_kind_t kind, const char *text, size_t len, void *user)
{
	lists_receive(user, kind, text, len, "platform");
}

static bool
components_start(daemon_t *daemon, GError **error)
{
	platform_options_t reader_options = {
	    .bases = (const char *const *)daemon->settings->platform,
	    .defer_plans = true,
	    .on_value = on_value,
	    .user = daemon};

	daemon->transfers =
	    transfer_engine_create(2 * daemon->settings->connection_limit);
	daemon->peers = peers_create(daemon, error);
	if (daemon->peers == NULL || !edge_start(daemon, error) ||
	    !admin_start(daemon, error))
		return false;
	daemon->reader = platform_reader_create(&reader_options, error);
	if (daemon->reader == NULL)
		return false;
	if (pthread_create(&daemon->timer, NULL, timer_run, daemon) != 0) {
		g_set_error(error, CS_ERROR, CS_ERROR_IO,
		    "can't start the timer thread; raise the process limit");
		return false;
	}
	daemon->timer_started = true;
	return true;
}

daemon_t *
daemon_create(const settings_t *settings, GError **error)
{
	daemon_t *daemon = g_new0(daemon_t, 1);

	daemon->settings = settings;
	pthread_mutex_init(&daemon->gate_lock, NULL);
	identity_create(daemon);
	gate_start(daemon);
	if (components_start(daemon, error))
		return daemon;
	daemon_destroy(daemon);
	return NULL;
}

void
daemon_drain(daemon_t *daemon)
{
	pthread_mutex_lock(&daemon->gate_lock);
	gate_drain(daemon->gate);
	pthread_mutex_unlock(&daemon->gate_lock);
}

bool
daemon_is_idle(daemon_t *daemon)
{
	size_t n_requests;

	pthread_mutex_lock(&daemon->gate_lock);
	n_requests = gate_n_requests(daemon->gate);
	pthread_mutex_unlock(&daemon->gate_lock);
	/* Buffered bytes belong to answers that callers have not read yet. */
	return n_requests == 0 && edge_server_memory(daemon->edge) == 0;
}

bool
daemon_is_released(daemon_t *daemon)
{
	bool released;

	pthread_mutex_lock(&daemon->gate_lock);
	released = gate_share_is_released(daemon->gate);
	pthread_mutex_unlock(&daemon->gate_lock);
	return released;
}

void
daemon_reload_certificate(daemon_t *daemon)
{
	g_autofree char *certificate = NULL;
	g_autofree char *key = NULL;
	g_autoptr(GError) error = NULL;

	if (daemon->settings->tls_certificate == NULL)
		return;
	if (certificate_read(daemon->settings, &certificate, &key, &error) &&
	    edge_server_set_certificate(daemon->edge, certificate, key, &error))
		log_event(LOG_NOTICE, "certificate_reloaded",
		    LOG_S("file", daemon->settings->tls_certificate));
	else
		log_event(LOG_ERR, "certificate_refused",
		    LOG_S("file", daemon->settings->tls_certificate),
		    LOG_S("error", error->message));
}

void
daemon_destroy(daemon_t *daemon)
{
	if (daemon->timer_started) {
		ck_pr_store_32(&daemon->timer_stopping, 1);
		pthread_join(daemon->timer, NULL);
	}
	platform_reader_destroy(daemon->reader);
	edge_server_destroy(daemon->admin);
	edge_server_destroy(daemon->edge);
	transfer_engine_destroy(daemon->transfers);
	peers_destroy(daemon->peers);
	gate_destroy(daemon->gate);
	pthread_mutex_destroy(&daemon->gate_lock);
	sodium_memzero(daemon->secrets, sizeof(daemon->secrets));
	g_free(daemon);
}
