#ifndef GATEWAY_ATTEMPT_H
#define GATEWAY_ATTEMPT_H

#include "internal.h"

/* Longest head of an answer. */
#define ANSWER_HEAD_LIMIT 65536

/* Callbacks of a connection that carries an attempt; the owner is upstream_t.
 */
extern const tcp_events_t attempt_connection_events;
extern const http_sink_t attempt_sink;

/* No connection could be had: the request hasn't reached anybody. */
void attempt_unreachable(attempt_t *attempt);

#endif
