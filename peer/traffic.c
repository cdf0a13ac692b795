#include "traffic.h"

#include <pthread.h>

#include "common/counter.h"

static pthread_once_t counters_once = PTHREAD_ONCE_INIT;
static counter_t *counter_in;
static counter_t *counter_out;

static void
counters_create(void)
{
	counter_in = counter_get("peer_bytes", "direction", "in");
	counter_out = counter_get("peer_bytes", "direction", "out");
}

void
traffic_in(int64_t bytes)
{
	pthread_once(&counters_once, counters_create);
	counter_add(counter_in, bytes);
}

void
traffic_out(int64_t bytes)
{
	pthread_once(&counters_once, counters_create);
	counter_add(counter_out, bytes);
}
