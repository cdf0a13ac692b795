#ifndef PEER_MESSAGES_H
#define PEER_MESSAGES_H

#include <glib.h>

#include "core/heartbeat.h"
#include "core/plans_set.h"

/*
 * Bodies of the messages between instances, as XDR bytes. Both directions
 * check counts, names, enumerations and ranges. On failure they return NULL or
 * false with a GError of domain CS_ERROR: CS_ERROR_SYNTAX for bytes that are
 * no such message, CS_ERROR_INVALID for a value that is not allowed.
 */

#define PEER_LIST_TEXT_LIMIT 1048576 /* bytes; the platform's value limit */

/* BORROW: what the caller would like to get. */
typedef struct {
	char team[NAME_LIMIT + 1];
	share_t share;
	int64_t tokens;
	uint64_t request_id;
} borrow_request_t;

/* What was lent; share 0: nothing. */
typedef struct {
	share_t share;
	int64_t tokens;
	uint64_t loan_id;
} borrow_reply_t;

/* RETURN: the loan that the caller no longer uses. */
typedef struct {
	char team[NAME_LIMIT + 1];
	uint64_t loan_id;
	share_t share;
} return_t;

/*
 * FETCH_LIST: asks for a list of at least this version or, of the plans list,
 * for one part that the caller lacks by what it holds.
 */
typedef struct {
	list_kind_t kind;
	uint64_t min_version;
	plans_held_t held; /* LIST_PLANS only */
} fetch_t;

/*
 * version 0 and len 0: the instance has no such version. text is allocated with
 * g_malloc, NUL-terminated and owned by the struct.
 */
typedef struct {
	list_kind_t kind;
	uint64_t version;
	char *text;
	size_t len;
	uint32_t part;	/* LIST_PLANS only */
	uint32_t parts; /* 0: another list, or no text */
} fetch_reply_t;

void fetch_reply_clear(fetch_reply_t *reply);

GBytes *heartbeat_encode(const heartbeat_t *heartbeat, GError **error);
GBytes *borrow_request_encode(const borrow_request_t *request, GError **error);
GBytes *borrow_reply_encode(const borrow_reply_t *reply, GError **error);
GBytes *return_encode(const return_t *message, GError **error);
GBytes *fetch_encode(const fetch_t *fetch, GError **error);
GBytes *fetch_reply_encode(const fetch_reply_t *reply, GError **error);

/* On failure *out is unchanged, or cleared for fetch_reply_decode. */
bool heartbeat_decode(
    const void *data, size_t len, heartbeat_t *out, GError **error);
bool borrow_request_decode(
    const void *data, size_t len, borrow_request_t *out, GError **error);
bool borrow_reply_decode(
    const void *data, size_t len, borrow_reply_t *out, GError **error);
bool return_decode(const void *data, size_t len, return_t *out, GError **error);
bool fetch_decode(const void *data, size_t len, fetch_t *out, GError **error);
bool fetch_reply_decode(
    const void *data, size_t len, fetch_reply_t *out, GError **error);

#endif
