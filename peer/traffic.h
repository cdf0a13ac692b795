#ifndef PEER_TRAFFIC_H
#define PEER_TRAFFIC_H

#include <stdint.h>

/*
 * Counts the bytes between instances in peer_bytes{direction="in"|"out"}: what
 * the streams of TCP carry, without the headers of TCP and IP.
 */
void traffic_in(int64_t bytes);
void traffic_out(int64_t bytes);

#endif
