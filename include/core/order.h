#ifndef CORE_ORDER_H
#define CORE_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/refusal.h"
#include "core/types.h"

/*
 * Tickets and the table of used tickets of one incarnation of an instance. An
 * order is executed at most once because only the incarnation that issued its
 * ticket ever starts it, and that incarnation remembers the ticket until the
 * ticket expires.
 *
 * Times are wall clock seconds of the local machine. The table keeps the
 * highest time it was given: a clock that is set back can't revive a ticket
 * whose entry was already dropped. It only makes new tickets short-lived.
 */

#define ORDER_MAC_KEY_BYTES 32
#define ORDER_MAC_BYTES 32
#define ORDER_TICKET_LIFE_S 600
#define ORDER_TABLE_LIMIT 16384
/* Longest answer that is stored with its body. */
#define ORDER_ANSWER_LIMIT ((size_t)64 * 1024)
/* Bytes of all stored bodies together; 1/8 of the 256 MB control memory. */
#define ORDER_ANSWER_BUDGET ((size_t)32 * 1024 * 1024)
#define ORDER_CONTENT_TYPE_LIMIT 127
/* Buffer size for a ticket's text, with its final NUL. */
#define ORDER_TICKET_SIZE 192

/* The fields of t1.<instance>.<incarnation>.<expiry s>.<nonce>.<mac>. */
typedef struct {
	char instance[NAME_LIMIT + 1];
	incarnation_t incarnation;
	int64_t expiry_s;
	uint64_t nonce;
	uint8_t mac[ORDER_MAC_BYTES];
} order_ticket_t;

/* Names a running entry. It stays harmless after the entry is gone. */
typedef struct {
	uint32_t slot;
	uint32_t generation; /* never 0 */
} order_handle_t;

/* Where a request with a ticket comes from. */
typedef enum {
	ORDER_FROM_CALLER,
	/* Passed on once by another instance; it may not be passed on again. */
	ORDER_FROM_PEER,
	/*
	 * Dispatched by the issuer through this instance, because only this
	 * zone has targets of the service. The sender is authenticated as the
	 * ticket's issuer, whose table holds the ticket as running; the entry
	 * made here keeps a duplicate of the message from running.
	 */
	ORDER_FROM_ISSUER,
} order_origin_t;

typedef enum {
	ORDER_RUN,     /* the entry is running now; settle it with the handle */
	ORDER_REPLAY,  /* it ran; give the stored answer */
	ORDER_REFUSE,  /* answer with the refusal */
	ORDER_FORWARD, /* send it to the issuer, once */
} order_action_t;

typedef struct {
	order_action_t action;
	union {
		order_handle_t handle; /* ORDER_RUN */
		struct {
			int status;
			char content_type[ORDER_CONTENT_TYPE_LIMIT + 1];
			/* A reference for the caller; NULL: not stored. */
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
 * Creates the table of one incarnation. mac_key must be new at each process
 * start. limit is the number of entries, answer_bytes the budget for stored
 * answers. Returns NULL when the name is empty, longer than NAME_LIMIT or has
 * bytes other than letters, digits, '.', '_' and '-'.
 */
order_table_t *order_table_create(const char *instance,
    incarnation_t incarnation, const uint8_t mac_key[ORDER_MAC_KEY_BYTES],
    size_t limit, size_t answer_bytes);
void order_table_destroy(order_table_t *table);

/*
 * Writes a new ticket for team. nonce must be random, so that no two tickets of
 * a team are equal. Returns false when out is too small or the team name is
 * longer than NAME_LIMIT.
 */
bool order_ticket_issue(const order_table_t *table, const char *team,
    uint64_t nonce, int64_t expiry_s, char *out, size_t size);

/*
 * Reads a ticket. Only the exact form that order_ticket_issue writes is
 * accepted. The mac is not checked: only the issuer can do that.
 */
bool order_ticket_parse(const char *text, order_ticket_t *ticket);

/*
 * Starts the order of a ticket unless it may have run. digest covers service,
 * path and body. ORDER_RUN has entered the ticket as running, so it must be
 * called before any byte is written to a target. REFUSAL_ORDER_TABLE_FULL also
 * means that the team holds as many entries as are free. A body in the result
 * belongs to the caller.
 */
order_begin_t order_begin(order_table_t *table, const char *team,
    const char *ticket, const uint8_t digest[DIGEST_BYTES],
    order_origin_t origin, int64_t now_s);

/*
 * Tells whether the dispatch of a running order may still start. False once the
 * ticket has expired, which a process that was paused finds when it wakes: the
 * order is then given up as not run (order_unsent).
 */
bool order_may_dispatch(
    order_table_t *table, order_handle_t handle, int64_t now_s);

/*
 * Settle a running order; without effect when it is settled or expired.
 * order_unsent: no byte was written to a target; the ticket is unused again.
 * order_complete: the target gave its whole answer. Longer bodies than
 * ORDER_ANSWER_LIMIT are not stored; a repeat then gets the status only.
 * order_unknown: bytes were written, and the answer is missing or not whole.
 */
void order_unsent(order_table_t *table, order_handle_t handle);
void order_complete(order_table_t *table, order_handle_t handle, int status,
    const char *content_type, const void *body, size_t len);
void order_unknown(order_table_t *table, order_handle_t handle);

/* Drops the entries of expired tickets. Returns how many. */
size_t order_expire(order_table_t *table, int64_t now_s);

/*
 * What can be said about the execution of a ticket's order. Every refusal of a
 * request that carries a ticket and is decided without order_begin (drain, key,
 * region, an unreachable issuer ...) must say this instead of the refusal's own
 * `ran`, because an earlier copy of the request may have run: RAN_NOT_RUN only
 * when this incarnation issued the ticket and it is unused and not expired.
 */
ran_t order_ran(
    order_table_t *table, const char *team, const char *ticket, int64_t now_s);

/* The state of an entry, number of entries, and bytes of stored answers. */
order_state_t order_state(const order_table_t *table, order_handle_t handle);
size_t order_count(const order_table_t *table);
size_t order_answer_bytes(const order_table_t *table);

#endif
