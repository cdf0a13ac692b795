#ifndef CYCLAMENSAIL_INTERNAL_H
#define CYCLAMENSAIL_INTERNAL_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "config/settings.h"
#include "core/gate.h"
#include "core/order.h"
#include "edge/server.h"
#include "publisher/reader.h"
#include "upstream/transfer.h"

/* Components of the daemon, and the threads that connect them. */
typedef struct peers peers_t;

typedef struct {
	const settings_t *settings;
	incarnation_t incarnation;
	uint8_t secrets[2][32];
	size_t n_secrets;
	uint8_t
	    digest_key[32]; /* for body digests, the same on all instances */

	pthread_mutex_t gate_lock;
	gate_t *gate;

	edge_server_t *edge;
	edge_server_t *admin; /* operators' pages, or NULL */
	transfer_engine_t *transfers;
	peers_t *peers;
	platform_reader_t *reader;

	pthread_t timer;
	bool timer_started;
	time_us_t sources_due_at; /* timer thread only */
	uint32_t timer_stopping;
} daemon_t;

/* Values read from the body of a request. */
typedef struct {
	int64_t cost;
	int64_t prompt_tokens;
	uint64_t prefix_hash;
	bool stream;
	char *adjusted_body; /* body with the default max_tokens added, or NULL;
			   freed by the caller */
} body_info_t;

/*
 * Reads the values of a request body. engine: the body must be a JSON object.
 * Returns false and sets error (CS_ERROR) when it is malformed.
 */
bool body_read(const char *body, size_t len, bool engine, body_info_t *info,
    GError **error);

/* Returns body with "resume_from" set, newly allocated. */
char *body_resume(const char *body, size_t len, int64_t from);

/* Contents of an error answer. detail may be NULL. */
typedef struct {
	refusal_t reason;
	execution_t execution;
	time_us_t retry_after; /* 0: none */
	const char *team;      /* NULL: not known */
	const char *detail;
	const char *request_id;
} answer_error_t;

void answer_refuse(
    daemon_t *daemon, exchange_t *exchange, const answer_error_t *error);

/* JSON text of an error, freed with free(3). ticket may be NULL. */
char *answer_error_text(const answer_error_t *error,
    const gate_endpoint_t *endpoints, size_t n_endpoints, const char *ticket);

/* Adds the headers that all answers have. */
void answer_add_headers(
    daemon_t *daemon, exchange_t *exchange, const char *request_id);

/*
 * Answers a request to one of the instance's own endpoints. Operator pages are
 * served only at the admin address, which callers can't reach.
 */
void pages_serve(daemon_t *daemon, exchange_t *exchange, bool admin);

/* Handlers of requests to services; see request.c. */
void daemon_request_on_head(exchange_t *exchange, void *user);
void daemon_request_on_received(exchange_t *exchange, void *user);
void daemon_request_on_head_malformed(exchange_t *exchange, void *user);
void daemon_request_on_body_refused(
    exchange_t *exchange, bool memory, void *user);
void daemon_request_on_drained(exchange_t *exchange, void *user);
void daemon_request_on_closed(exchange_t *exchange, bool complete, void *user);

/* Executes an action of the gate that concerns a request. */
void daemon_request_execute(daemon_t *daemon, const gate_action_t *action);

/* Executes an action that concerns an engine, and frees its parameters. */
void engine_execute(daemon_t *daemon, const gate_action_t *action);

/*
 * Executes actions and frees them. Call without holding gate_lock: actions may
 * call the gate again.
 */
void daemon_execute(daemon_t *daemon, GArray *actions);

GArray *daemon_actions_create(void);

/* Computes the SHA-256 of a key, the form in which the plans list has it. */
void key_hash_compute(const char *key, uint8_t hash[KEY_HASH_BYTES]);

/* Returns the key from the Authorization header (Bearer), or NULL. */
const char *exchange_bearer_key(const exchange_t *exchange);

#endif
