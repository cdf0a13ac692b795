#ifndef PEER_TRAFFIC_H
#define PEER_TRAFFIC_H

#include <stdint.h>

/*
 * Counts the bytes between instances in peer_bytes{direction="in"|"out"}: what
 * the streams of TCP carry, without the headers of TCP and IP.
 */
void traffic_in(int64_t bytes);
void traffic_out(int64_t bytes);

/* What was counted already of one socket. */
typedef struct {
	uint64_t in;
	uint64_t out;
} traffic_t;

/*
 * Counts what a connected socket has moved since the last call, as the kernel
 * says, because libtirpc doesn't tell. seen is zero for a new socket.
 */
void traffic_update(traffic_t *seen, int fd);

#endif
