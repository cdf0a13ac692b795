#include "core/poison.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

/* Lost targets kept for each body: twice the number that has it refused. */
#define TARGET_LIMIT ((size_t)2 * POISON_LIMIT)

typedef struct {
	uint64_t name_hash;
	time_us_t lost_at;
} lost_target_t;

typedef struct {
	uint64_t name_hash;
	uint32_t lost;
} zone_count_t;

typedef struct {
	uint8_t digest[DIGEST_BYTES]; /* hash key; must be the first member */
	uint32_t own_count;	      /* losses counted by this instance */
	uint32_t zone_count;	      /* highest count in this zone */
	time_us_t zone_raised_at;     /* when a stamp last raised zone_count */
	time_us_t own_lost_at;
	time_us_t last_raised_at;
	lost_target_t targets[TARGET_LIMIT];
	zone_count_t other_zones[POISON_ZONE_LIMIT];
	bool refused;
	bool may_leave_region; /* see poison_allow_remote() */
	GList age_link;	       /* in poison_table.suspects or .refused */
	GList own_link;
} poison_entry_t;

struct poison_table {
	char zone[NAME_LIMIT + 1];
	size_t limit;
	GHashTable *by_digest;
	GQueue suspects; /* below POISON_LIMIT; latest raised at the tail */
	GQueue refused;
	GQueue own_losses; /* entries with losses recorded here, latest first */
};

static guint
digest_bucket(gconstpointer digest)
{
	guint bucket;

	memcpy(&bucket, digest, sizeof(bucket));
	return bucket;
}

static gboolean
digest_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, DIGEST_BYTES) == 0;
}

/* Never 0, which marks an unused array element. */
static uint64_t
name_hash(const char *name)
{
	return XXH64(name, strlen(name), 0) | 1;
}

poison_table_t *
poison_table_create(const char *zone, size_t limit)
{
	poison_table_t *table = g_new0(poison_table_t, 1);

	g_strlcpy(table->zone, zone, sizeof(table->zone));
	table->limit = limit;
	table->by_digest =
	    g_hash_table_new_full(digest_bucket, digest_equal, NULL, g_free);
	return table;
}

void
poison_table_destroy(poison_table_t *table)
{
	if (table == NULL)
		return;
	g_hash_table_destroy(table->by_digest);
	g_free(table);
}

void
poison_digest(const uint8_t key[POISON_KEY_BYTES], const char *service,
    const void *body, size_t len, uint8_t digest[DIGEST_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, key, POISON_KEY_BYTES, DIGEST_BYTES);
	/* The NUL separates service and body unambiguously. */
	crypto_generichash_update(
	    &state, (const unsigned char *)service, strlen(service) + 1);
	crypto_generichash_update(&state, body, len);
	crypto_generichash_final(&state, digest, DIGEST_BYTES);
}

static GQueue *
entry_queue(poison_table_t *table, const poison_entry_t *entry)
{
	return entry->refused ? &table->refused : &table->suspects;
}

static void
entry_remove(poison_table_t *table, poison_entry_t *entry)
{
	g_queue_unlink(entry_queue(table, entry), &entry->age_link);
	if (entry->own_count > 0)
		g_queue_unlink(&table->own_losses, &entry->own_link);
	g_hash_table_remove(table->by_digest, entry->digest);
}

static size_t
queue_expire(poison_table_t *table, GQueue *queue, time_us_t now)
{
	size_t dropped = 0;

	while (!g_queue_is_empty(queue)) {
		poison_entry_t *entry = g_queue_peek_head(queue);

		if (entry->last_raised_at + POISON_TTL_US > now)
			break;
		entry_remove(table, entry);
		dropped++;
	}
	return dropped;
}

size_t
poison_expire(poison_table_t *table, time_us_t now)
{
	return queue_expire(table, &table->suspects, now) +
	       queue_expire(table, &table->refused, now);
}

/* Evicts the oldest entry; refused bodies only when there is no suspect. */
static void
table_evict(poison_table_t *table)
{
	poison_entry_t *oldest = g_queue_peek_head(&table->suspects);

	if (oldest == NULL)
		oldest = g_queue_peek_head(&table->refused);
	if (oldest != NULL)
		entry_remove(table, oldest);
}

static poison_entry_t *
entry_get_or_create(poison_table_t *table, const uint8_t digest[DIGEST_BYTES])
{
	poison_entry_t *entry = g_hash_table_lookup(table->by_digest, digest);

	if (entry != NULL)
		return entry;
	if (g_hash_table_size(table->by_digest) >= table->limit)
		table_evict(table);
	entry = g_new0(poison_entry_t, 1);
	memcpy(entry->digest, digest, DIGEST_BYTES);
	entry->zone_raised_at = INT64_MIN;
	entry->age_link.data = entry;
	entry->own_link.data = entry;
	g_queue_push_tail_link(&table->suspects, &entry->age_link);
	g_hash_table_insert(table->by_digest, entry->digest, entry);
	return entry;
}

static uint32_t
entry_total(const poison_entry_t *entry)
{
	uint32_t total = entry->zone_count;

	for (size_t i = 0; i < POISON_ZONE_LIMIT; i++)
		total += entry->other_zones[i].lost;
	return total;
}

/* Updates the entry's queue and age after one of its counts rose. */
static void
entry_count_raised(poison_table_t *table, poison_entry_t *entry, time_us_t now)
{
	g_queue_unlink(entry_queue(table, entry), &entry->age_link);
	entry->last_raised_at = now;
	entry->refused = entry_total(entry) >= POISON_LIMIT;
	g_queue_push_tail_link(entry_queue(table, entry), &entry->age_link);
}

time_us_t
poison_refused_until(
    poison_table_t *table, const uint8_t digest[DIGEST_BYTES], time_us_t now)
{
	const poison_entry_t *entry;

	poison_expire(table, now);
	entry = g_hash_table_lookup(table->by_digest, digest);
	if (entry == NULL || !entry->refused)
		return 0;
	return entry->last_raised_at + POISON_TTL_US;
}

/*
 * Records the loss of a target. Returns false when the loss is already known,
 * as the request was dispatched before the target was last lost.
 */
static bool
target_record_loss(poison_entry_t *entry, const char *target,
    time_us_t dispatched_at, time_us_t now)
{
	uint64_t hash = name_hash(target);
	lost_target_t *replaced = &entry->targets[0];

	for (size_t i = 0; i < TARGET_LIMIT; i++) {
		lost_target_t *lost = &entry->targets[i];

		if (lost->name_hash == hash) {
			if (dispatched_at <= lost->lost_at)
				return false;
			replaced = lost;
			break;
		}
		if (replaced->name_hash != 0 &&
		    (lost->name_hash == 0 || lost->lost_at < replaced->lost_at))
			replaced = lost;
	}
	replaced->name_hash = hash;
	replaced->lost_at = now;
	return true;
}

uint32_t
poison_record_loss(poison_table_t *table, const uint8_t digest[DIGEST_BYTES],
    const char *target, time_us_t dispatched_at, time_us_t now)
{
	poison_entry_t *entry;

	poison_expire(table, now);
	entry = entry_get_or_create(table, digest);
	if (!target_record_loss(entry, target, dispatched_at, now))
		return entry_total(entry);
	if (entry->own_count > 0)
		g_queue_unlink(&table->own_losses, &entry->own_link);
	g_queue_push_head_link(&table->own_losses, &entry->own_link);
	entry->own_lost_at = now;
	entry->own_count = dispatched_at > entry->zone_raised_at
			       ? entry->zone_count + 1
			       : entry->own_count + 1;
	entry->zone_count = MAX(entry->zone_count, entry->own_count);
	entry_count_raised(table, entry, now);
	return entry_total(entry);
}

/* Returns the count of another zone; zones beyond the limit share the last. */
static uint32_t *
other_zone_count(poison_entry_t *entry, const char *zone)
{
	uint64_t hash = name_hash(zone);
	size_t i = 0;

	while (i < POISON_ZONE_LIMIT - 1 &&
	       entry->other_zones[i].name_hash != 0 &&
	       entry->other_zones[i].name_hash != hash)
		i++;
	entry->other_zones[i].name_hash = hash;
	return &entry->other_zones[i].lost;
}

static void
stamp_merge(poison_table_t *table, const poison_stamp_t *stamp,
    const char *zone, time_us_t now)
{
	/* Higher counts have no further effect and could overflow the sum. */
	uint32_t lost = MIN(stamp->targets_lost, POISON_LIMIT);
	poison_entry_t *entry;
	uint32_t *count;

	if (lost == 0)
		return;
	entry = entry_get_or_create(table, stamp->digest);
	count = &entry->zone_count;
	if (strcmp(zone, table->zone) != 0)
		count = other_zone_count(entry, zone);
	if (lost <= *count)
		return;
	*count = lost;
	if (count == &entry->zone_count)
		entry->zone_raised_at = now;
	entry_count_raised(table, entry, now);
}

void
poison_merge(poison_table_t *table, const heartbeat_t *peer, time_us_t now)
{
	size_t n = MIN(peer->n_poison, HEARTBEAT_POISON_LIMIT);

	poison_expire(table, now);
	for (size_t i = 0; i < n; i++)
		stamp_merge(table, &peer->poison[i], peer->zone, now);
}

void
poison_allow_remote(poison_table_t *table, const uint8_t digest[DIGEST_BYTES])
{
	poison_entry_t *entry = g_hash_table_lookup(table->by_digest, digest);

	if (entry != NULL)
		entry->may_leave_region = true;
}

static void
stamps_fill(const poison_table_t *table, heartbeat_t *heartbeat,
    bool remote_region, time_us_t now)
{
	heartbeat->n_poison = 0;
	for (const GList *item = table->own_losses.head; item != NULL;
	     item = item->next) {
		const poison_entry_t *entry = item->data;
		poison_stamp_t *stamp;

		if (heartbeat->n_poison == HEARTBEAT_POISON_LIMIT ||
		    entry->own_lost_at + POISON_TTL_US <= now)
			break;
		if (remote_region && !entry->may_leave_region)
			continue;
		stamp = &heartbeat->poison[heartbeat->n_poison++];
		memcpy(stamp->digest, entry->digest, DIGEST_BYTES);
		stamp->targets_lost = entry->own_count;
	}
}

void
poison_fill(const poison_table_t *table, heartbeat_t *heartbeat, time_us_t now)
{
	stamps_fill(table, heartbeat, false, now);
}

void
poison_fill_remote(
    const poison_table_t *table, heartbeat_t *heartbeat, time_us_t now)
{
	stamps_fill(table, heartbeat, true, now);
}

size_t
poison_count(const poison_table_t *table)
{
	return g_hash_table_size(table->by_digest);
}
