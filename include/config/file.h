#ifndef CONFIG_FILE_H
#define CONFIG_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* Largest list or settings file in bytes; the platform's largest value. */
#define FILE_LIMIT (1 << 20)

/*
 * Reads a whole file of at most FILE_LIMIT bytes. The caller frees *text, which
 * has a NUL byte after its *len bytes. Errors are CS_ERROR_IO for a file that
 * can't be read or is a directory, CS_ERROR_INVALID for one that is too long.
 */
bool file_read(const char *path, char **text, size_t *len, GError **error);

#endif
