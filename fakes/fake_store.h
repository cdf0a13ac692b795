#ifndef FAKES_FAKE_STORE_H
#define FAKES_FAKE_STORE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Stand-in for the platform's metadata store: ranges in pages and watches over
 * items with revisions, as far as a reader sees them.
 */
typedef struct fake_store fake_store_t;

typedef enum {
	STORE_WORKS,
	STORE_REFUSES, /* 503 */
	STORE_RESETS,  /* each connection */
	STORE_SILENT,  /* no answer */
	STORE_FORGETS, /* cuts the watches and loses their history */
} store_mode_t;

fake_store_t *fake_store_create(uint16_t *port);
void fake_store_destroy(fake_store_t *store);

/* value NULL deletes. */
void fake_store_put(fake_store_t *store, const char *key, const char *value);

/* Changes an item without a watch ever telling it. */
void fake_store_put_unseen(
    fake_store_t *store, const char *key, const char *value);
/*
 * Loses the history before now. Pending watches of this prefix are told so, the
 * others wait on and hear nothing of it.
 */
void fake_store_forget(fake_store_t *store, const char *prefix);
void fake_store_set_mode(fake_store_t *store, store_mode_t mode);

int64_t fake_store_revision(fake_store_t *store);

/*
 * Comes back from the copy of that revision: later changes are lost, their
 * revisions are given out again, and the era rises by one. Connections stay.
 */
void fake_store_restore(fake_store_t *store, int64_t revision);

/* Items in one page of a range. */
void fake_store_set_page(fake_store_t *store, unsigned items);
/* Sends answers at this rate; 0: at once. */
void fake_store_set_rate(fake_store_t *store, unsigned bytes_per_s);
unsigned fake_store_calls(fake_store_t *store);

#endif
