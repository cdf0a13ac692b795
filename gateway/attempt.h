#ifndef GATEWAY_ATTEMPT_H
#define GATEWAY_ATTEMPT_H

#include "internal.h"

/* Size limit for the head of a response. */
#define RESPONSE_HEAD_LIMIT 65536

/*
 * Callbacks for a connection that carries an attempt; their owner is the
 * upstream_t.
 */
extern const tcp_events_t attempt_connection_events;
extern const http_sink_t attempt_sink;

/* Called when no connection could be established: the request was not sent. */
void attempt_unreachable(attempt_t *attempt);

#endif
