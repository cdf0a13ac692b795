#include "traffic.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

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

void
traffic_update(traffic_t *seen, int fd)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);

	memset(&info, 0, sizeof(info));
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return;
	/* A kernel before 4.19 leaves bytes_sent at 0. */
	if (info.tcpi_bytes_received > seen->in)
		traffic_in((int64_t)(info.tcpi_bytes_received - seen->in));
	if (info.tcpi_bytes_sent > seen->out)
		traffic_out((int64_t)(info.tcpi_bytes_sent - seen->out));
	seen->in = info.tcpi_bytes_received;
	seen->out = info.tcpi_bytes_sent;
}
