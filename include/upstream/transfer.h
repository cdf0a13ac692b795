#ifndef UPSTREAM_TRANSFER_H
#define UPSTREAM_TRANSFER_H

#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"

/*
 * HTTP requests to targets and to other instances, all run by one thread with
 * libcurl's multi interface. A slow consumer pauses its own transfer only.
 *
 * All callbacks of a transfer run on the transfer thread, in the order on_head,
 * on_data ..., on_done; on_done is called exactly once, also after a cancel.
 * They must not block.
 */
typedef struct transfer_engine transfer_engine_t;
typedef struct transfer transfer_t;

typedef enum {
	TRANSFER_OK,	  /* the answer is complete */
	TRANSFER_UNSENT,  /* no byte of the request was written */
	TRANSFER_LOST,	  /* failed after bytes were or may have been written */
	TRANSFER_TIMEOUT, /* no progress in time; bytes were written */
	TRANSFER_CANCELLED, /* transfer_cancel() before the answer was complete
			     */
} transfer_result_t;

typedef struct {
	int status;
	const char *content_type; /* "" when missing */
	const char *retry_after;  /* NULL when missing */
	const char *execution; /* X-Cyclamensail-Ran of an instance, or NULL */
	int reported_load;     /* header X-Load: requests held; -1: missing */
} transfer_head_t;

typedef struct {
	void (*on_head)(void *user, const transfer_head_t *head);
	/*
	 * Accepts all len bytes and returns true, or accepts none and returns
	 * false; the transfer then pauses until transfer_resume().
	 */
	bool (*on_data)(void *user, const char *data, size_t len);
	void (*on_done)(void *user, transfer_result_t result);
} transfer_callbacks_t;

typedef struct {
	const char *method; /* GET, HEAD or POST */
	const char *url;
	const char *const *headers; /* NULL-terminated "Name: value" lines */
	/*
	 * PEM file of the authority that must have signed the certificate
	 * of an https URL; NULL: the system's. Certificate and address are
	 * always verified; a transfer whose verification fails ends as
	 * TRANSFER_UNSENT.
	 */
	const char *authority;
	const char *body; /* copied; NULL for none */
	size_t body_len;
	/*
	 * Use a new connection and close it afterwards. libcurl resends a
	 * request by itself when a reused connection turns out to be closed,
	 * which could run an order twice.
	 */
	bool single_send;
	/*
	 * A transfer that has not started by then ends as TRANSFER_UNSENT: the
	 * process was suspended, and the decision to send may be outdated.
	 */
	time_us_t start_by;
	time_us_t connect_timeout_us;
	time_us_t idle_timeout_us; /* longest time without a byte */
} transfer_spec_t;

/*
 * Starts the thread. capacity is the maximum number of transfers that exist at
 * a time. Returns NULL when the thread can't be started.
 */
transfer_engine_t *transfer_engine_create(unsigned int capacity);

/* Cancels all transfers, waits for the thread and frees it. */
void transfer_engine_destroy(transfer_engine_t *engine);

/*
 * Starts a transfer; may be called from any thread, also from a callback.
 * Returns a reference that the caller releases with transfer_unref(), or NULL
 * when capacity is reached or the engine is stopping; no callback runs then.
 */
transfer_t *transfer_start(transfer_engine_t *engine,
    const transfer_spec_t *spec, const transfer_callbacks_t *callbacks,
    void *user);
void transfer_unref(transfer_t *transfer);

/* May be called from any thread, any number of times. */
void transfer_resume(transfer_t *transfer);
void transfer_cancel(transfer_t *transfer);

#endif
