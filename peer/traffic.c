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

/* States of a connection whose other end has sent FIN. */
enum {
	STATE_TIME_WAIT = 6,
	STATE_CLOSE, /* after a shutdown of both ends */
	STATE_CLOSE_WAIT,
	STATE_LAST_ACK,
	STATE_CLOSING = 11
};

/* Bytes received; the kernel counts a FIN as one, which is no byte of data. */
static uint64_t
data_received(const struct tcp_info *info)
{
	switch (info->tcpi_state) {
	case STATE_TIME_WAIT:
	case STATE_CLOSE:
	case STATE_CLOSE_WAIT:
	case STATE_LAST_ACK:
	case STATE_CLOSING:
		return info->tcpi_bytes_received > 0
			   ? info->tcpi_bytes_received - 1
			   : 0;
	default:
		return info->tcpi_bytes_received;
	}
}

void
traffic_update(traffic_t *seen, int fd)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);
	uint64_t received;

	memset(&info, 0, sizeof(info));
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return;
	/* A kernel before 4.19 leaves bytes_sent at 0. */
	received = data_received(&info);
	if (received > seen->in)
		traffic_in((int64_t)(received - seen->in));
	if (info.tcpi_bytes_sent > seen->out)
		traffic_out((int64_t)(info.tcpi_bytes_sent - seen->out));
	seen->in = received;
	seen->out = info.tcpi_bytes_sent;
}
