#include <string.h>

#include "internal.h"

/* CR LF, after each header and as the empty line after the last one. */
#define LINE_END_BYTES 2

typedef struct {
	const char *end; /* of the last value scanned */
	bool has_gap;
	unsigned int content_lengths; /* number of Content-Length headers */
} head_scan_t;

static enum MHD_Result
header_scan(void *cls, enum MHD_ValueKind kind, const char *name,
    size_t name_len, const char *value, size_t value_len)
{
	head_scan_t *scan = cls;

	/* One buffer holds all headers, so this is the gap between them. */
	if ((uintptr_t)name - (uintptr_t)scan->end > LINE_END_BYTES)
		scan->has_gap = true;
	if (g_ascii_strcasecmp(name, "Content-Length") == 0)
		scan->content_lengths++;
	scan->end = value + value_len;
	return MHD_YES;
}

bool
head_is_unambiguous(
    struct MHD_Connection *connection, const char *method, const char *version)
{
	head_scan_t scan = {.end = version + strlen(version)};
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

	MHD_get_connection_values_n(
	    connection, MHD_HEADER_KIND, header_scan, &scan);
	if (info == NULL ||
	    (uintptr_t)method + info->header_size - (uintptr_t)scan.end >
		(uintptr_t)2 * LINE_END_BYTES)
		scan.has_gap = true;
	return !scan.has_gap && scan.content_lengths <= 1;
}
