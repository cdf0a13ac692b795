#ifndef COMMON_ERROR_H
#define COMMON_ERROR_H

#include <glib.h>

/*
 * GError domain of the project. Each message states what is wrong. Most also
 * end with how to fix it; those about platform data and caller requests don't.
 */
#define CS_ERROR (cs_error_quark())

typedef enum {
	CS_ERROR_SYNTAX,   /* text is not well-formed */
	CS_ERROR_INVALID,  /* well-formed, but a value is not allowed */
	CS_ERROR_CONFLICT, /* values contradict each other */
	CS_ERROR_IO,	   /* a file, socket or platform read failed */
	CS_ERROR_AUTH,	   /* a peer message is not authentic or was replayed */
	CS_ERROR_TIMEOUT,
} cs_error_t;

GQuark cs_error_quark(void);

#endif
