#include "peer/messages.h"

#include <string.h>

#include "common/error.h"
#include "generated/peer.h"
#include "peer/envelope.h"

G_STATIC_ASSERT(PEER_NAME_BYTES == NAME_LIMIT);
G_STATIC_ASSERT(PEER_DIGEST_BYTES == DIGEST_BYTES);
G_STATIC_ASSERT(PEER_LISTS == LIST_COUNT);
G_STATIC_ASSERT(PEER_FORMER == HEARTBEAT_FORMER_LIMIT);
G_STATIC_ASSERT(PEER_POISON == HEARTBEAT_POISON_LIMIT);
G_STATIC_ASSERT(PEER_LOAD == HEARTBEAT_LOAD_LIMIT);
G_STATIC_ASSERT(PEER_ZONES == HEARTBEAT_ZONE_LIMIT);
G_STATIC_ASSERT(PEER_TEXT_BYTES == PEER_LIST_TEXT_LIMIT);

static bool
invalid(GError **error, const char *message, const char *what)
{
	g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
	    "peer message %s: %s is not allowed; run the same version of the "
	    "program on both instances",
	    message, what);
	return false;
}

static bool
name_check(
    const char *name, const char *message, const char *what, GError **error)
{
	return peer_name_valid(name) || invalid(error, message, what);
}

static GBytes *
wire_encode(
    xdrproc_t procedure, void *wire, const char *message, GError **error)
{
	size_t size = xdr_sizeof(procedure, wire);
	char *data = g_malloc(size > 0 ? size : 1);
	XDR xdr;

	xdrmem_create(&xdr, data, (u_int)size, XDR_ENCODE);
	if (size > 0 && procedure(&xdr, wire))
		return g_bytes_new_take(data, size);
	g_free(data);
	invalid(error, message, "its length");
	return NULL;
}

/* The caller frees *wire with xdr_free, also on failure. */
static bool
wire_decode(xdrproc_t procedure, void *wire, const void *data, size_t len,
    const char *message, GError **error)
{
	XDR xdr;

	if (len > 0 && len <= PEER_REPLY_BYTES) {
		xdrmem_create(&xdr, (char *)data, (u_int)len, XDR_DECODE);
		if (procedure(&xdr, wire) && xdr_getpos(&xdr) == len)
			return true;
	}
	g_set_error(error, CS_ERROR, CS_ERROR_SYNTAX,
	    "peer message %s: %zu bytes don't decode; run the same version of "
	    "the program on both instances",
	    message, len);
	return false;
}

static bool
heartbeat_check_names(const heartbeat_t *heartbeat, GError **error)
{
	const char *message = "heartbeat";

	if (!name_check(heartbeat->sender, message, "sender", error) ||
	    !name_check(heartbeat->zone, message, "zone", error))
		return false;
	for (size_t i = 0; i < heartbeat->n_former; i++) {
		const former_member_t *former = &heartbeat->former[i];

		if (!name_check(former->name, message, "former", error) ||
		    !name_check(former->zone, message, "former zone", error))
			return false;
	}
	for (size_t i = 0; i < heartbeat->n_load; i++) {
		if (!name_check(
			heartbeat->load[i].service, message, "service", error))
			return false;
	}
	return true;
}

static bool
heartbeat_check(const heartbeat_t *heartbeat, GError **error)
{
	if (heartbeat->incarnation == 0)
		return invalid(error, "heartbeat", "incarnation 0");
	if (heartbeat->sent_at < 0)
		return invalid(error, "heartbeat", "a negative time");
	if (heartbeat->n_former > HEARTBEAT_FORMER_LIMIT ||
	    heartbeat->n_poison > HEARTBEAT_POISON_LIMIT ||
	    heartbeat->n_load > HEARTBEAT_LOAD_LIMIT ||
	    heartbeat->n_stated > HEARTBEAT_ZONE_LIMIT)
		return invalid(error, "heartbeat", "a count");
	for (int i = 0; i < LIST_COUNT; i++) {
		if (heartbeat->acked[i] > heartbeat->adopted[i].version)
			return invalid(error, "heartbeat",
			    "acknowledging a version that is not adopted");
	}
	return heartbeat_check_names(heartbeat, error);
}

/* Points the arrays of wire at the given storage and copies the entries. */
static void
heartbeat_fill_arrays(const heartbeat_t *from, wire_heartbeat *wire,
    wire_former *former, wire_poison *poison, wire_load *load)
{
	wire->former.former_val = former;
	wire->former.former_len = (u_int)from->n_former;
	for (size_t i = 0; i < from->n_former; i++) {
		former[i].name = (char *)from->former[i].name;
		former[i].zone = (char *)from->former[i].zone;
	}
	wire->poison.poison_val = poison;
	wire->poison.poison_len = (u_int)from->n_poison;
	for (size_t i = 0; i < from->n_poison; i++) {
		memcpy(poison[i].digest, from->poison[i].digest, DIGEST_BYTES);
		poison[i].targets_lost = from->poison[i].targets_lost;
	}
	wire->load.load_val = load;
	wire->load.load_len = (u_int)from->n_load;
	for (size_t i = 0; i < from->n_load; i++) {
		load[i].service = (char *)from->load[i].service;
		load[i].in_flight = from->load[i].in_flight;
		load[i].slots = from->load[i].slots;
		load[i].queued = from->load[i].queued;
	}
}

GBytes *
heartbeat_encode(const heartbeat_t *heartbeat, GError **error)
{
	wire_former former[HEARTBEAT_FORMER_LIMIT];
	wire_poison poison[HEARTBEAT_POISON_LIMIT];
	wire_load load[HEARTBEAT_LOAD_LIMIT];
	wire_heartbeat wire = {
	    .sender = (char *)heartbeat->sender,
	    .zone = (char *)heartbeat->zone,
	    .incarnation = heartbeat->incarnation,
	    .sent_at = heartbeat->sent_at,
	    .ready = heartbeat->ready,
	    .draining = heartbeat->draining,
	    .wants_lease = heartbeat->wants_lease,
	    .lease_granted = heartbeat->lease_granted,
	    .brief = heartbeat->brief,
	    .stated = {(u_int)heartbeat->n_stated, (char *)heartbeat->stated},
	};

	if (!heartbeat_check(heartbeat, error))
		return NULL;
	for (int i = 0; i < LIST_COUNT; i++) {
		wire.adopted[i].list_version = heartbeat->adopted[i].version;
		memcpy(wire.adopted[i].digest, heartbeat->adopted[i].digest,
		    DIGEST_BYTES);
		wire.acked[i] = heartbeat->acked[i];
		wire.agreed[i] = heartbeat->agreed[i];
	}
	heartbeat_fill_arrays(heartbeat, &wire, former, poison, load);
	return wire_encode(
	    (xdrproc_t)xdr_wire_heartbeat, &wire, "heartbeat", error);
}

static void
heartbeat_copy_arrays(const wire_heartbeat *wire, heartbeat_t *out)
{
	out->n_former = wire->former.former_len;
	for (size_t i = 0; i < out->n_former; i++) {
		const wire_former *former = &wire->former.former_val[i];

		g_strlcpy(out->former[i].name, former->name, sizeof(out->zone));
		g_strlcpy(out->former[i].zone, former->zone, sizeof(out->zone));
	}
	out->n_poison = wire->poison.poison_len;
	for (size_t i = 0; i < out->n_poison; i++) {
		const wire_poison *poison = &wire->poison.poison_val[i];

		memcpy(out->poison[i].digest, poison->digest, DIGEST_BYTES);
		out->poison[i].targets_lost = poison->targets_lost;
	}
	out->n_load = wire->load.load_len;
	for (size_t i = 0; i < out->n_load; i++) {
		const wire_load *load = &wire->load.load_val[i];

		g_strlcpy(
		    out->load[i].service, load->service, sizeof(out->zone));
		out->load[i].in_flight = load->in_flight;
		out->load[i].slots = load->slots;
		out->load[i].queued = load->queued;
	}
}

static void
heartbeat_copy(const wire_heartbeat *wire, heartbeat_t *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->sender, wire->sender, sizeof(out->sender));
	g_strlcpy(out->zone, wire->zone, sizeof(out->zone));
	out->incarnation = wire->incarnation;
	out->sent_at = wire->sent_at;
	out->ready = wire->ready != 0;
	out->draining = wire->draining != 0;
	out->wants_lease = wire->wants_lease != 0;
	out->lease_granted = wire->lease_granted != 0;
	out->brief = wire->brief != 0;
	out->n_stated = wire->stated.stated_len;
	if (out->n_stated > 0)
		memcpy(out->stated, wire->stated.stated_val, out->n_stated);
	for (int i = 0; i < LIST_COUNT; i++) {
		out->adopted[i].version = wire->adopted[i].list_version;
		memcpy(out->adopted[i].digest, wire->adopted[i].digest,
		    DIGEST_BYTES);
		out->acked[i] = wire->acked[i];
		out->agreed[i] = wire->agreed[i];
	}
	heartbeat_copy_arrays(wire, out);
}

bool
heartbeat_decode(const void *data, size_t len, heartbeat_t *out, GError **error)
{
	wire_heartbeat wire = {0};
	heartbeat_t heartbeat;
	bool ok;

	ok = wire_decode((xdrproc_t)xdr_wire_heartbeat, &wire, data, len,
	    "heartbeat", error);
	if (ok) {
		heartbeat_copy(&wire, &heartbeat);
		ok = heartbeat_check(&heartbeat, error);
	}
	xdr_free((xdrproc_t)xdr_wire_heartbeat, &wire);
	if (ok)
		*out = heartbeat;
	return ok;
}

static bool
share_check(share_t share, int64_t tokens, const char *message, GError **error)
{
	if (share > SHARE_ONE)
		return invalid(error, message, "a share above 1");
	if (tokens < 0)
		return invalid(error, message, "a negative number of tokens");
	return true;
}

GBytes *
borrow_request_encode(const borrow_request_t *request, GError **error)
{
	wire_borrow wire = {(char *)request->team, request->share,
	    request->tokens, request->request_id};

	if (!name_check(request->team, "borrow", "team", error) ||
	    !share_check(request->share, request->tokens, "borrow", error))
		return NULL;
	return wire_encode((xdrproc_t)xdr_wire_borrow, &wire, "borrow", error);
}

bool
borrow_request_decode(
    const void *data, size_t len, borrow_request_t *out, GError **error)
{
	wire_borrow wire = {0};
	bool ok = wire_decode(
	    (xdrproc_t)xdr_wire_borrow, &wire, data, len, "borrow", error);

	ok = ok && name_check(wire.team, "borrow", "team", error) &&
	     share_check(wire.share, wire.tokens, "borrow", error);
	if (ok) {
		memset(out, 0, sizeof(*out));
		g_strlcpy(out->team, wire.team, sizeof(out->team));
		out->share = wire.share;
		out->tokens = wire.tokens;
		out->request_id = wire.request_id;
	}
	xdr_free((xdrproc_t)xdr_wire_borrow, &wire);
	return ok;
}

GBytes *
borrow_reply_encode(const borrow_reply_t *reply, GError **error)
{
	wire_borrow_reply wire = {reply->share, reply->tokens, reply->loan_id};

	if (!share_check(reply->share, reply->tokens, "borrow reply", error))
		return NULL;
	return wire_encode(
	    (xdrproc_t)xdr_wire_borrow_reply, &wire, "borrow reply", error);
}

bool
borrow_reply_decode(
    const void *data, size_t len, borrow_reply_t *out, GError **error)
{
	wire_borrow_reply wire = {0};

	if (!wire_decode((xdrproc_t)xdr_wire_borrow_reply, &wire, data, len,
		"borrow reply", error) ||
	    !share_check(wire.share, wire.tokens, "borrow reply", error))
		return false;
	*out = (borrow_reply_t){wire.share, wire.tokens, wire.loan_id};
	return true;
}

GBytes *
return_encode(const return_t *message, GError **error)
{
	wire_return wire = {
	    (char *)message->team, message->loan_id, message->share};

	if (!name_check(message->team, "return", "team", error) ||
	    !share_check(message->share, 0, "return", error))
		return NULL;
	return wire_encode((xdrproc_t)xdr_wire_return, &wire, "return", error);
}

bool
return_decode(const void *data, size_t len, return_t *out, GError **error)
{
	wire_return wire = {0};
	bool ok = wire_decode(
	    (xdrproc_t)xdr_wire_return, &wire, data, len, "return", error);

	ok = ok && name_check(wire.team, "return", "team", error) &&
	     share_check(wire.share, 0, "return", error);
	if (ok) {
		memset(out, 0, sizeof(*out));
		g_strlcpy(out->team, wire.team, sizeof(out->team));
		out->loan_id = wire.loan_id;
		out->share = wire.share;
	}
	xdr_free((xdrproc_t)xdr_wire_return, &wire);
	return ok;
}

/* The arrays of an encoded fetch; they point into the fetch itself. */
typedef struct {
	wire_set sets[PLANS_SETS];
	wire_skip skip[PLANS_SKIP_LIMIT];
} held_room_t;

static void
held_to_wire(wire_held *wire, const plans_held_t *held, held_room_t *room)
{
	wire->in_force = held->in_force;
	wire->current = held->current;
	wire->sets.sets_len = PLANS_SETS;
	wire->sets.sets_val = room->sets;
	for (int i = 0; i < PLANS_SETS; i++) {
		room->sets[i].versions.versions_len = held->sets[i].n;
		room->sets[i].versions.versions_val =
		    (u_quad_t *)held->sets[i].versions;
	}
	wire->skip.skip_len = held->n_skip;
	wire->skip.skip_val = room->skip;
	for (uint32_t i = 0; i < held->n_skip; i++)
		room->skip[i] = (wire_skip){held->skip[i].part,
		    held->skip[i].parts, held->skip[i].version};
}

/* The counts are within the limits of peer.x. */
static void
held_from_wire(plans_held_t *held, const wire_held *wire)
{
	held->in_force = wire->in_force;
	held->current = wire->current;
	for (u_int i = 0; i < wire->sets.sets_len; i++) {
		const wire_set *set = &wire->sets.sets_val[i];

		held->sets[i].n = set->versions.versions_len;
		for (u_int k = 0; k < set->versions.versions_len; k++)
			held->sets[i].versions[k] =
			    set->versions.versions_val[k];
	}
	held->n_skip = wire->skip.skip_len;
	for (uint32_t i = 0; i < held->n_skip; i++) {
		const wire_skip *skip = &wire->skip.skip_val[i];

		held->skip[i] =
		    (plans_skip_t){skip->part, skip->parts, skip->list_version};
	}
}

GBytes *
fetch_encode(const fetch_t *fetch, GError **error)
{
	wire_fetch wire = {
	    .kind = fetch->kind, .min_version = fetch->min_version};
	held_room_t room;

	if ((unsigned)fetch->kind >= LIST_COUNT) {
		invalid(error, "fetch", "the list");
		return NULL;
	}
	if (fetch->kind == LIST_PLANS)
		held_to_wire(&wire.held, &fetch->held, &room);
	return wire_encode((xdrproc_t)xdr_wire_fetch, &wire, "fetch", error);
}

bool
fetch_decode(const void *data, size_t len, fetch_t *out, GError **error)
{
	wire_fetch wire = {0};
	bool ok = wire_decode(
	    (xdrproc_t)xdr_wire_fetch, &wire, data, len, "fetch", error);

	if (ok && wire.kind >= LIST_COUNT)
		ok = invalid(error, "fetch", "the list");
	if (ok) {
		memset(out, 0, sizeof(*out));
		out->kind = (list_kind_t)wire.kind;
		out->min_version = wire.min_version;
		if (out->kind == LIST_PLANS)
			held_from_wire(&out->held, &wire.held);
	}
	xdr_free((xdrproc_t)xdr_wire_fetch, &wire);
	return ok;
}

void
fetch_reply_clear(fetch_reply_t *reply)
{
	g_free(reply->text);
	memset(reply, 0, sizeof(*reply));
}

static bool
fetch_reply_check(const wire_fetch_reply *wire, GError **error)
{
	const char *message = "fetch reply";

	if (wire->kind >= LIST_COUNT)
		return invalid(error, message, "the list");
	if ((wire->list_version == 0) != (wire->text.text_len == 0))
		return invalid(error, message, "a version without text");
	if (wire->parts > PLANS_PART_LIMIT ||
	    (wire->parts > 0 && wire->part >= wire->parts))
		return invalid(error, message, "the part");
	if (wire->text.text_len > PEER_TEXT_BYTES)
		return invalid(error, message, "a text above 1 MiB");
	if (wire->text.text_len > 0 &&
	    memchr(wire->text.text_val, '\0', wire->text.text_len) != NULL)
		return invalid(error, message, "a NUL byte in the text");
	return true;
}

GBytes *
fetch_reply_encode(const fetch_reply_t *reply, GError **error)
{
	wire_fetch_reply wire = {.kind = reply->kind,
	    .part = reply->part,
	    .parts = reply->parts,
	    .list_version = reply->version,
	    .text = {(u_int)MIN(reply->len, (size_t)PEER_TEXT_BYTES + 1),
		reply->text}};

	if (!fetch_reply_check(&wire, error))
		return NULL;
	return wire_encode(
	    (xdrproc_t)xdr_wire_fetch_reply, &wire, "fetch reply", error);
}

bool
fetch_reply_decode(
    const void *data, size_t len, fetch_reply_t *out, GError **error)
{
	wire_fetch_reply wire = {0};
	bool ok = wire_decode((xdrproc_t)xdr_wire_fetch_reply, &wire, data, len,
	    "fetch reply", error);

	memset(out, 0, sizeof(*out));
	ok = ok && fetch_reply_check(&wire, error);
	if (ok) {
		out->kind = (list_kind_t)wire.kind;
		out->version = wire.list_version;
		out->part = wire.part;
		out->parts = wire.parts;
		out->len = wire.text.text_len;
		out->text = g_malloc(out->len + 1);
		if (out->len > 0)
			memcpy(out->text, wire.text.text_val, out->len);
		out->text[out->len] = '\0';
	}
	xdr_free((xdrproc_t)xdr_wire_fetch_reply, &wire);
	return ok;
}
