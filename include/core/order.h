#ifndef CORE_ORDER_H
#define CORE_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/refusal.h"
#include "core/types.h"

/*
 * An order is a request that must run at most once; a ticket is the idempotency
 * key that an instance issues for it. This is the table of the used tickets of
 * one incarnation (process run) of an instance. An order is executed at most
 * once because only the incarnation that issued its ticket ever starts it, and
 * that incarnation stores the ticket until it expires.
 *
 * Times are wall clock seconds of the local machine. The table keeps the
 * highest time it was given, so that a clock that is set back can't make a
 * ticket valid again whose entry was already removed. Such a clock only
 * shortens the lifetime of new tickets.
 */

#define ORDER_MAC_KEY_BYTES 32
#define ORDER_MAC_BYTES 32
#define ORDER_TICKET_TTL_S 600
#define ORDER_TABLE_LIMIT 16384
/* Maximum length of a stored answer body. */
#define ORDER_ANSWER_LIMIT ((size_t)64 * 1024)
/* Total size of the stored bodies; 1/8 of the 256 MB of control memory. */
#define ORDER_ANSWER_BUDGET ((size_t)32 * 1024 * 1024)
#define ORDER_CONTENT_TYPE_LIMIT 127
/* Buffer size for the text of a ticket, including the NUL. */
#define ORDER_TICKET_SIZE 192

/* The fields of t1.<instance>.<incarnation>.<expiry s>.<nonce>.<mac>. */
typedef struct {
	char instance[NAME_LIMIT + 1];
	incarnation_t incarnation;
	int64_t expiry_s;
	uint64_t nonce;
	uint8_t mac[ORDER_MAC_BYTES];
} order_ticket_t;

/* Refers to a table entry until it is removed. A stale handle is detected and
 * ignored. */
typedef struct {
	uint32_t index;
	uint32_t generation; /* never 0 */
} order_handle_t;

/* Origin of a request with a ticket. */
typedef enum {
	ORDER_FROM_CALLER,
	/* Forwarded by another instance; it must not be forwarded again. */
	ORDER_FROM_PEER,
	/*
	 * Dispatched by the issuer through this instance, because only this
	 * zone has targets of the service. The sender is authenticated as the
	 * ticket's issuer, whose table holds the ticket as running. The entry
	 * in this table prevents a duplicate of the message from running.
	 */
	ORDER_FROM_ISSUER,
} order_origin_t;

typedef enum {
	ORDER_RUN,     /* the entry is now running; settle it by its handle */
	ORDER_REPLAY,  /* it was completed; send the stored answer */
	ORDER_REFUSE,  /* send the refusal */
	ORDER_FORWARD, /* forward to the issuer, at most once */
} order_action_t;

typedef struct {
	order_action_t action;
	union {
		order_handle_t handle; /* ORDER_RUN */
		struct {
			int status;
			char content_type[ORDER_CONTENT_TYPE_LIMIT + 1];
			/* Reference owned by the caller; NULL: not stored. */
			GBytes *body;
		} replay;
		refusal_t refusal;
		struct {
			char instance[NAME_LIMIT + 1];
			incarnation_t incarnation;
		} forward;
	};
} order_begin_t;

typedef enum {
	ORDER_UNUSED, /* no entry in the table */
	ORDER_RUNNING,
	ORDER_COMPLETED,
	ORDER_UNKNOWN,
} order_state_t;

typedef struct order_table order_table_t;

/*
 * Creates the table of one incarnation. mac_key must be generated anew at each
 * process start. limit is the maximum number of entries, answer_bytes the
 * budget for stored answers. Returns NULL when the name is empty, longer than
 * NAME_LIMIT or has bytes other than letters, digits, '.', '_' and '-'.
 */
order_table_t *order_table_create(const char *instance,
    incarnation_t incarnation, const uint8_t mac_key[ORDER_MAC_KEY_BYTES],
    size_t limit, size_t answer_bytes);
void order_table_destroy(order_table_t *table);

/*
 * Writes a new ticket for team. nonce must be random, so that no two tickets of
 * a team are equal. Returns false when out is too small, the team name is
 * longer than NAME_LIMIT or expiry_s is negative.
 */
bool order_ticket_issue(const order_table_t *table, const char *team,
    uint64_t nonce, int64_t expiry_s, char *out, size_t size);

/*
 * Parses a ticket. Only the exact format written by order_ticket_issue() is
 * accepted. The MAC is not verified, as only the issuer can do that.
 */
bool order_ticket_parse(const char *text, order_ticket_t *ticket);

/*
 * Starts the order of a ticket unless it may have run already. digest covers
 * service, path and body. With ORDER_RUN the ticket is stored as running; the
 * call must precede the first byte written to a target.
 * REFUSAL_ORDER_TABLE_FULL is also returned when the team has at least as many
 * entries as are free. The caller owns the body in the result.
 */
order_begin_t order_begin(order_table_t *table, const char *team,
    const char *ticket, const uint8_t digest[DIGEST_BYTES],
    order_origin_t origin, int64_t now_s);

/*
 * Whether a running order may still be dispatched. False once its ticket has
 * expired, which happens when the process was suspended in between; the order
 * must then be settled as not run (order_settle_unsent()).
 */
bool order_may_dispatch(
    order_table_t *table, order_handle_t handle, int64_t now_s);

/*
 * Settle a running order; no effect when it is already settled or was removed
 * by order_expire().
 *
 * - order_settle_unsent: no byte was written to a target; the ticket can be
 *   used again.
 * - order_settle_completed: the target sent its complete answer. Bodies
 *   longer than ORDER_ANSWER_LIMIT are not stored, and the oldest are dropped
 *   when the budget is full; a repeat then gets the status and content type
 *   without a body.
 * - order_settle_unknown: bytes were written, and the answer is missing or
 *   incomplete.
 */
void order_settle_unsent(order_table_t *table, order_handle_t handle);
void order_settle_completed(order_table_t *table, order_handle_t handle,
    int status, const char *content_type, const void *body, size_t len);
void order_settle_unknown(order_table_t *table, order_handle_t handle);

/* Removes the entries of expired tickets and returns how many. */
size_t order_expire(order_table_t *table, int64_t now_s);

/*
 * Returns what is known about the execution of a ticket's order. Every refusal
 * of a request with a ticket that is decided without order_begin() (drain, key,
 * region, an unreachable issuer ...) must report this instead of the refusal's
 * own `execution`, because an earlier copy of the request may have run. The
 * result is EXECUTION_NOT_RUN only when the ticket is certain never to have
 * run: it was not issued to the team at all, or this incarnation issued it and
 * it is unused and not expired.
 */
execution_t order_execution(
    order_table_t *table, const char *team, const char *ticket, int64_t now_s);

/* State of an entry, number of entries and total size of stored bodies. */
order_state_t order_state(const order_table_t *table, order_handle_t handle);
size_t order_count(const order_table_t *table);
size_t order_answer_bytes(const order_table_t *table);

#endif
