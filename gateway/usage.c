#include "internal.h"

#include <malloc.h>

/*
 * Gauges of memory by what holds it. What the heap has in use beyond their sum
 * is held by something that isn't counted here.
 *
 * Load pattern: thousands of connections, and a reader every few seconds. The
 * sums are made when they are read.
 */

static void
part_write(GString *text, const char *part, size_t bytes)
{
	g_string_append_printf(
	    text, "memory_bytes{part=\"%s\"} %zu\n", part, bytes);
}

void
usage_write(const gateway_t *gateway, GString *text)
{
	struct mallinfo2 heap = mallinfo2();
	store_memory_t store = store_memory(gateway->store);
	client_memory_t sum = {0};
	GHashTableIter iter;
	gpointer client;

	g_hash_table_iter_init(&iter, gateway->clients);
	while (g_hash_table_iter_next(&iter, &client, NULL)) {
		client_memory_t one = client_memory(client);

		sum.input += one.input;
		sum.output += one.output;
		sum.requests += one.requests;
	}
	part_write(text, "input", sum.input);
	part_write(text, "output", sum.output);
	part_write(text, "requests", sum.requests);
	part_write(text, "events", gateway->event_memory.claimed);
	part_write(text, "relay_answers", gateway->relay_memory.claimed);
	part_write(text, "config", packing_bytes(gateway->packing));
	part_write(text, "replica", store.replica);
	part_write(text, "store_answers", store.unparsed);
	g_string_append_printf(text,
	    "heap_bytes{state=\"used\"} %zu\n"
	    "heap_bytes{state=\"free\"} %zu\n",
	    heap.uordblks + heap.hblkhd, heap.fordblks);
}
