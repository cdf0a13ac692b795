#include "core/order.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define U64_HEX_DIGITS 16
#define EXPIRY_DIGITS 12
#define MAC_HEX_DIGITS ((size_t)ORDER_MAC_BYTES * 2)
/* Format version, two length-prefixed names and three integers. */
#define MAC_INPUT (2 + 2 * (1 + NAME_LIMIT) + 3 * 8)

/* Number of entries of a team; exists while it has any. */
typedef struct {
	char *name;
	size_t entries;
} order_team_t;

typedef struct {
	uint8_t key[ORDER_MAC_BYTES]; /* hash key; must be the first member */
	uint8_t digest[DIGEST_BYTES];
	order_state_t state;
	uint32_t generation;
	order_team_t *team;
	int64_t expiry_s;
	int status;
	char *content_type;
	GBytes *body;
	GList answer_link; /* in order_table.answers while body is stored */
} order_entry_t;

struct order_table {
	char instance[NAME_LIMIT + 1];
	incarnation_t incarnation;
	uint8_t mac_key[ORDER_MAC_KEY_BYTES];
	int64_t now_s; /* highest time given so far */
	int64_t next_expiry_s;
	size_t limit;
	size_t answer_budget;
	size_t answer_bytes;
	order_entry_t *entries;
	uint32_t *free_entries;
	size_t n_free_entries;
	GHashTable *by_key; /* key bytes -> order_entry_t */
	GHashTable *teams;  /* name -> order_team_t */
	GQueue answers;	    /* entries with a stored body, oldest first */
};

static guint
key_bucket(gconstpointer key)
{
	guint bucket;

	/* A key is a MAC or a hash, so any four bytes are well distributed. */
	memcpy(&bucket, key, sizeof(bucket));
	return bucket;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, ORDER_MAC_BYTES) == 0;
}

static bool
name_valid(const char *name, size_t len)
{
	if (len == 0 || len > NAME_LIMIT)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isalnum(name[i]) && strchr("._-", name[i]) == NULL)
			return false;
	}
	return true;
}

static void
team_free(gpointer data)
{
	order_team_t *team = data;

	g_free(team->name);
	g_free(team);
}

order_table_t *
order_table_create(const char *instance, incarnation_t incarnation,
    const uint8_t mac_key[ORDER_MAC_KEY_BYTES], size_t limit,
    size_t answer_bytes)
{
	order_table_t *table;

	if (!name_valid(instance, strlen(instance)))
		return NULL;
	table = g_new0(order_table_t, 1);
	g_strlcpy(table->instance, instance, sizeof(table->instance));
	table->incarnation = incarnation;
	memcpy(table->mac_key, mac_key, sizeof(table->mac_key));
	table->next_expiry_s = INT64_MAX;
	table->limit = limit;
	table->answer_budget = answer_bytes;
	table->entries = g_new0(order_entry_t, limit);
	table->free_entries = g_new(uint32_t, limit);
	for (size_t i = 0; i < limit; i++)
		table->free_entries[i] = (uint32_t)(limit - 1 - i);
	table->n_free_entries = limit;
	table->by_key = g_hash_table_new(key_bucket, key_equal);
	table->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
	g_queue_init(&table->answers);
	return table;
}

static void
answer_drop(order_table_t *table, order_entry_t *entry)
{
	if (entry->body == NULL)
		return;
	table->answer_bytes -= g_bytes_get_size(entry->body);
	g_queue_unlink(&table->answers, &entry->answer_link);
	g_bytes_unref(entry->body);
	entry->body = NULL;
}

static void
entry_remove(order_table_t *table, order_entry_t *entry)
{
	answer_drop(table, entry);
	g_clear_pointer(&entry->content_type, g_free);
	g_hash_table_remove(table->by_key, entry->key);
	if (--entry->team->entries == 0)
		g_hash_table_remove(table->teams, entry->team->name);
	entry->state = ORDER_UNUSED;
	table->free_entries[table->n_free_entries++] =
	    (uint32_t)(entry - table->entries);
}

void
order_table_destroy(order_table_t *table)
{
	if (table == NULL)
		return;
	for (size_t i = 0; i < table->limit; i++) {
		if (table->entries[i].state != ORDER_UNUSED)
			entry_remove(table, &table->entries[i]);
	}
	g_hash_table_destroy(table->by_key);
	g_hash_table_destroy(table->teams);
	g_free(table->entries);
	g_free(table->free_entries);
	sodium_memzero(table->mac_key, sizeof(table->mac_key));
	g_free(table);
}

static uint8_t *
put_name(uint8_t *out, const char *name)
{
	uint8_t *len = out++;

	for (*len = 0; name[*len] != '\0'; (*len)++)
		*out++ = (uint8_t)name[*len];
	return out;
}

static uint8_t *
put_u64(uint8_t *out, uint64_t value)
{
	value = GUINT64_TO_LE(value);
	memcpy(out, &value, sizeof(value));
	return out + sizeof(value);
}

/*
 * Writes the input of the MAC. It is unambiguous, as each field has a fixed
 * length or a length prefix.
 */
static size_t
mac_input(
    uint8_t input[MAC_INPUT], const char *team, const order_ticket_t *ticket)
{
	uint8_t *out = input;

	*out++ = 't';
	*out++ = '1';
	out = put_name(out, team);
	out = put_name(out, ticket->instance);
	out = put_u64(out, ticket->incarnation);
	out = put_u64(out, (uint64_t)ticket->expiry_s);
	out = put_u64(out, ticket->nonce);
	return (size_t)(out - input);
}

bool
order_ticket_issue(const order_table_t *table, const char *team, uint64_t nonce,
    int64_t expiry_s, char *out, size_t size)
{
	uint8_t input[MAC_INPUT];
	char mac_hex[MAC_HEX_DIGITS + 1];
	order_ticket_t ticket = {.incarnation = table->incarnation,
	    .expiry_s = expiry_s,
	    .nonce = nonce};
	int len;

	if (strlen(team) > NAME_LIMIT || expiry_s < 0)
		return false;
	memcpy(ticket.instance, table->instance, sizeof(ticket.instance));
	crypto_auth(
	    ticket.mac, input, mac_input(input, team, &ticket), table->mac_key);
	sodium_bin2hex(mac_hex, sizeof(mac_hex), ticket.mac, ORDER_MAC_BYTES);
	len = snprintf(out, size,
	    "t1.%s.%016" G_GINT64_MODIFIER "x.%" G_GINT64_FORMAT
	    ".%016" G_GINT64_MODIFIER "x.%s",
	    ticket.instance, ticket.incarnation, expiry_s, nonce, mac_hex);
	return len > 0 && (size_t)len < size;
}

/* Parses exactly U64_HEX_DIGITS lower-case hex digits. */
static bool
hex_u64(const char *text, size_t len, uint64_t *value)
{
	if (len != U64_HEX_DIGITS)
		return false;
	*value = 0;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isxdigit(text[i]) || g_ascii_isupper(text[i]))
			return false;
		*value = *value << 4 | (uint64_t)g_ascii_xdigit_value(text[i]);
	}
	return true;
}

static bool
decimal_s(const char *text, size_t len, int64_t *value)
{
	if (len == 0 || len > EXPIRY_DIGITS || (len > 1 && text[0] == '0'))
		return false;
	*value = 0;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isdigit(text[i]))
			return false;
		*value = *value * 10 + g_ascii_digit_value(text[i]);
	}
	return true;
}

static bool
mac_parse(const char *text, size_t len, uint8_t mac[ORDER_MAC_BYTES])
{
	size_t n = 0;

	if (len != MAC_HEX_DIGITS)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (g_ascii_isupper(text[i]))
			return false;
	}
	return sodium_hex2bin(
		   mac, ORDER_MAC_BYTES, text, len, NULL, &n, NULL) == 0 &&
	       n == ORDER_MAC_BYTES;
}

/*
 * Removes the last field from text[0..*len] and returns its start. Fields are
 * parsed from the end, because an instance name may contain dots.
 */
static const char *
field_pop(const char *text, size_t *len, size_t *field_len)
{
	const char *dot = memrchr(text, '.', *len);
	size_t end = *len;

	if (dot == NULL)
		return NULL;
	*len = (size_t)(dot - text);
	*field_len = end - *len - 1;
	return dot + 1;
}

bool
order_ticket_parse(const char *text, order_ticket_t *ticket)
{
	size_t len = strnlen(text, ORDER_TICKET_SIZE);
	size_t n;
	const char *field;

	if (len >= ORDER_TICKET_SIZE)
		return false;
	field = field_pop(text, &len, &n);
	if (field == NULL || !mac_parse(field, n, ticket->mac))
		return false;
	field = field_pop(text, &len, &n);
	if (field == NULL || !hex_u64(field, n, &ticket->nonce))
		return false;
	field = field_pop(text, &len, &n);
	if (field == NULL || !decimal_s(field, n, &ticket->expiry_s))
		return false;
	field = field_pop(text, &len, &n);
	if (field == NULL || !hex_u64(field, n, &ticket->incarnation))
		return false;
	if (len < 3 || strncmp(text, "t1.", 3) != 0 ||
	    !name_valid(text + 3, len - 3))
		return false;
	memcpy(ticket->instance, text + 3, len - 3);
	ticket->instance[len - 3] = '\0';
	return true;
}

static void
time_advance(order_table_t *table, int64_t now_s)
{
	table->now_s = MAX(table->now_s, now_s);
}

size_t
order_expire(order_table_t *table, int64_t now_s)
{
	int64_t next_expiry_s = INT64_MAX;
	size_t dropped = 0;

	time_advance(table, now_s);
	if (table->now_s < table->next_expiry_s)
		return 0;
	for (size_t i = 0; i < table->limit; i++) {
		order_entry_t *entry = &table->entries[i];

		if (entry->state == ORDER_UNUSED)
			continue;
		if (entry->expiry_s > table->now_s) {
			next_expiry_s = MIN(next_expiry_s, entry->expiry_s);
			continue;
		}
		entry_remove(table, entry);
		dropped++;
	}
	table->next_expiry_s = next_expiry_s;
	return dropped;
}

static order_begin_t
begin_refuse(refusal_t refusal)
{
	return (order_begin_t){.action = ORDER_REFUSE, .refusal = refusal};
}

static order_team_t *
team_get_or_create(order_table_t *table, const char *name)
{
	order_team_t *team = g_hash_table_lookup(table->teams, name);

	if (team != NULL)
		return team;
	team = g_new0(order_team_t, 1);
	team->name = g_strdup(name);
	g_hash_table_insert(table->teams, team->name, team);
	return team;
}

/*
 * Whether the team may add an entry: it must have fewer entries than are free.
 * A single team can use half of the table and n busy teams 1/(n + 1) each, so
 * no team can fill the table and have all orders of the others refused until
 * its tickets expire.
 */
static bool
team_may_add_entry(const order_table_t *table, const char *name)
{
	const order_team_t *team = g_hash_table_lookup(table->teams, name);

	return table->n_free_entries > (team == NULL ? 0 : team->entries);
}

/* Stores a ticket as running. The caller has checked team_may_add_entry(). */
static order_begin_t
begin_run(order_table_t *table, const char *team,
    const uint8_t key[ORDER_MAC_BYTES], const uint8_t digest[DIGEST_BYTES],
    int64_t expiry_s)
{
	order_begin_t result = {.action = ORDER_RUN};
	uint32_t index = table->free_entries[--table->n_free_entries];
	order_entry_t *entry = &table->entries[index];

	memcpy(entry->key, key, sizeof(entry->key));
	memcpy(entry->digest, digest, sizeof(entry->digest));
	entry->state = ORDER_RUNNING;
	entry->team = team_get_or_create(table, team);
	entry->team->entries++;
	entry->generation = MAX(entry->generation + 1, 1);
	entry->expiry_s = expiry_s;
	entry->status = 0;
	table->next_expiry_s = MIN(table->next_expiry_s, expiry_s);
	g_hash_table_insert(table->by_key, entry->key, entry);
	result.handle.index = index;
	result.handle.generation = entry->generation;
	return result;
}

static order_begin_t
begin_repeat(const order_entry_t *entry, const uint8_t digest[DIGEST_BYTES])
{
	order_begin_t result = {.action = ORDER_REPLAY};

	if (memcmp(entry->digest, digest, DIGEST_BYTES) != 0)
		return begin_refuse(REFUSAL_TICKET_INVALID);
	switch (entry->state) {
	case ORDER_RUNNING:
		return begin_refuse(REFUSAL_ORDER_RUNNING);
	case ORDER_COMPLETED:
		break;
	case ORDER_UNUSED:
	case ORDER_UNKNOWN:
		return begin_refuse(REFUSAL_TICKET_UNKNOWN);
	}
	result.replay.status = entry->status;
	g_strlcpy(result.replay.content_type, entry->content_type,
	    sizeof(result.replay.content_type));
	if (entry->body != NULL)
		result.replay.body = g_bytes_ref(entry->body);
	return result;
}

/*
 * Checks that this incarnation issued the ticket to the team and that it has
 * not expired. A ticket of an earlier incarnation can't be verified; its order
 * may have run and must never be started.
 */
static refusal_t
ticket_check(
    const order_table_t *table, const char *team, const order_ticket_t *ticket)
{
	uint8_t input[MAC_INPUT];

	if (ticket->incarnation != table->incarnation)
		return REFUSAL_TICKET_UNKNOWN;
	if (crypto_auth_verify(ticket->mac, input,
		mac_input(input, team, ticket), table->mac_key) != 0)
		return REFUSAL_TICKET_INVALID;
	if (ticket->expiry_s <= table->now_s)
		return REFUSAL_TICKET_UNKNOWN;
	return REFUSAL_NONE;
}

/* Computes the key of an order dispatched by its issuer via this instance. */
static void
delegated_key(const char *team, const order_ticket_t *ticket,
    uint8_t key[ORDER_MAC_BYTES])
{
	uint8_t input[MAC_INPUT];

	crypto_generichash(key, ORDER_MAC_BYTES, input,
	    mac_input(input, team, ticket), NULL, 0);
}

static order_begin_t
begin_key(order_table_t *table, const char *team,
    const uint8_t key[ORDER_MAC_BYTES], const uint8_t digest[DIGEST_BYTES],
    int64_t expiry_s)
{
	const order_entry_t *entry = g_hash_table_lookup(table->by_key, key);

	if (entry != NULL)
		return begin_repeat(entry, digest);
	if (!team_may_add_entry(table, team))
		order_expire(table, table->now_s);
	if (!team_may_add_entry(table, team))
		return begin_refuse(REFUSAL_ORDER_TABLE_FULL);
	return begin_run(table, team, key, digest, expiry_s);
}

static order_begin_t
begin_other_issuer(order_table_t *table, const char *team,
    const order_ticket_t *ticket, const uint8_t digest[DIGEST_BYTES],
    order_origin_t origin)
{
	order_begin_t result = {.action = ORDER_FORWARD};
	uint8_t key[ORDER_MAC_BYTES];

	switch (origin) {
	case ORDER_FROM_CALLER:
		memcpy(result.forward.instance, ticket->instance,
		    sizeof(result.forward.instance));
		result.forward.incarnation = ticket->incarnation;
		return result;
	case ORDER_FROM_PEER:
		/* It was not run here, but may have run at its issuer. */
		return begin_refuse(REFUSAL_TICKET_UNKNOWN);
	case ORDER_FROM_ISSUER:
		break;
	}
	if (ticket->expiry_s <= table->now_s)
		return begin_refuse(REFUSAL_TICKET_UNKNOWN);
	delegated_key(team, ticket, key);
	return begin_key(table, team, key, digest, ticket->expiry_s);
}

order_begin_t
order_begin(order_table_t *table, const char *team, const char *text,
    const uint8_t digest[DIGEST_BYTES], order_origin_t origin, int64_t now_s)
{
	order_ticket_t ticket;
	refusal_t refusal;

	time_advance(table, now_s);
	if (strlen(team) > NAME_LIMIT || !order_ticket_parse(text, &ticket))
		return begin_refuse(REFUSAL_TICKET_INVALID);
	if (strcmp(ticket.instance, table->instance) != 0)
		return begin_other_issuer(table, team, &ticket, digest, origin);
	refusal = ticket_check(table, team, &ticket);
	if (refusal != REFUSAL_NONE)
		return begin_refuse(refusal);
	return begin_key(table, team, ticket.mac, digest, ticket.expiry_s);
}

execution_t
order_execution(
    order_table_t *table, const char *team, const char *text, int64_t now_s)
{
	order_ticket_t ticket;
	const order_entry_t *entry;

	time_advance(table, now_s);
	if (strlen(team) > NAME_LIMIT || !order_ticket_parse(text, &ticket))
		return EXECUTION_NOT_RUN; /* never issued */
	if (strcmp(ticket.instance, table->instance) != 0)
		return EXECUTION_UNKNOWN;
	switch (ticket_check(table, team, &ticket)) {
	case REFUSAL_NONE:
		break;
	case REFUSAL_TICKET_INVALID:
		return EXECUTION_NOT_RUN; /* never issued to this team */
	default:
		return EXECUTION_UNKNOWN;
	}
	entry = g_hash_table_lookup(table->by_key, ticket.mac);
	if (entry == NULL)
		return EXECUTION_NOT_RUN;
	return entry->state == ORDER_COMPLETED ? EXECUTION_COMPLETED
					       : EXECUTION_UNKNOWN;
}

/* Returns NULL for a stale handle. */
static order_entry_t *
entry_get(const order_table_t *table, order_handle_t handle)
{
	order_entry_t *entry;

	if (handle.index >= table->limit)
		return NULL;
	entry = &table->entries[handle.index];
	if (entry->state == ORDER_UNUSED ||
	    entry->generation != handle.generation)
		return NULL;
	return entry;
}

static order_entry_t *
entry_running(const order_table_t *table, order_handle_t handle)
{
	order_entry_t *entry = entry_get(table, handle);

	if (entry == NULL || entry->state != ORDER_RUNNING)
		return NULL;
	return entry;
}

bool
order_may_dispatch(order_table_t *table, order_handle_t handle, int64_t now_s)
{
	const order_entry_t *entry = entry_running(table, handle);

	time_advance(table, now_s);
	return entry != NULL && entry->expiry_s > table->now_s;
}

void
order_settle_unsent(order_table_t *table, order_handle_t handle)
{
	order_entry_t *entry = entry_running(table, handle);

	if (entry != NULL)
		entry_remove(table, entry);
}

void
order_settle_unknown(order_table_t *table, order_handle_t handle)
{
	order_entry_t *entry = entry_running(table, handle);

	if (entry != NULL)
		entry->state = ORDER_UNKNOWN;
}

/* Stores a body; drops the oldest bodies, not their entries, if necessary. */
static void
answer_store(
    order_table_t *table, order_entry_t *entry, const void *body, size_t len)
{
	if (len > ORDER_ANSWER_LIMIT || len > table->answer_budget)
		return;
	while (table->answer_bytes + len > table->answer_budget)
		answer_drop(table, g_queue_peek_head(&table->answers));
	entry->body = g_bytes_new(body, len);
	entry->answer_link.data = entry;
	g_queue_push_tail_link(&table->answers, &entry->answer_link);
	table->answer_bytes += len;
}

void
order_settle_completed(order_table_t *table, order_handle_t handle, int status,
    const char *content_type, const void *body, size_t len)
{
	order_entry_t *entry = entry_running(table, handle);

	if (entry == NULL)
		return;
	entry->state = ORDER_COMPLETED;
	entry->status = status;
	if (content_type == NULL)
		content_type = "";
	entry->content_type = strlen(content_type) > ORDER_CONTENT_TYPE_LIMIT
				  ? g_strdup("application/octet-stream")
				  : g_strdup(content_type);
	answer_store(table, entry, body, len);
}

order_state_t
order_state(const order_table_t *table, order_handle_t handle)
{
	const order_entry_t *entry = entry_get(table, handle);

	return entry == NULL ? ORDER_UNUSED : entry->state;
}

size_t
order_count(const order_table_t *table)
{
	return table->limit - table->n_free_entries;
}

size_t
order_answer_bytes(const order_table_t *table)
{
	return table->answer_bytes;
}
