#include "events.h"

#include <string.h>

/* Copies the id from a line "id: VALUE"; ignores ids that don't fit. */
static void
id_parse(const char *line, size_t len, char *last_id, size_t size)
{
	if (len < 3 || memcmp(line, "id:", 3) != 0)
		return;
	line += 3;
	len -= 3;
	if (len > 0 && *line == ' ') {
		line++;
		len--;
	}
	if (len >= size)
		return;
	memcpy(last_id, line, len);
	last_id[len] = '\0';
}

/*
 * An empty line ends an event. Returns the end of the last complete one, and
 * 0 if there is none.
 */
static size_t
events_end(events_scan_t *scan, const char *text, size_t len)
{
	size_t complete = 0;

	while (scan->scanned < len) {
		const char *end =
		    memchr(text + scan->scanned, '\n', len - scan->scanned);
		size_t line_len;

		if (end == NULL) {
			scan->scanned = len;
			break;
		}
		line_len = (size_t)(end - text) - scan->line;
		if (line_len > 0 && text[scan->line + line_len - 1] == '\r')
			line_len--;
		scan->line = scan->scanned = (size_t)(end - text) + 1;
		if (line_len == 0)
			complete = scan->line;
	}
	return complete;
}

size_t
events_complete(events_scan_t *scan, const char *text, size_t len,
    char *last_id, size_t size)
{
	size_t complete = events_end(scan, text, len);
	size_t pos = 0;

	while (pos < complete) {
		const char *end = memchr(text + pos, '\n', complete - pos);
		size_t line_len = (size_t)(end - text) - pos;

		if (line_len > 0 && text[pos + line_len - 1] == '\r')
			line_len--;
		id_parse(text + pos, line_len, last_id, size);
		pos = (size_t)(end - text) + 1;
	}
	scan->line -= complete;
	scan->scanned -= complete;
	return complete;
}

bool
events_truncated(const char *text, size_t len)
{
	bool inside = false;
	size_t pos = 0;

	/* A line may end with CR alone; the last one is empty here. */
	if (len >= 2 && memcmp(text + len - 2, "\r\r", 2) == 0)
		return false;
	while (pos < len) {
		const char *end = memchr(text + pos, '\n', len - pos);
		size_t line_len;

		if (end == NULL)
			return true;
		line_len = (size_t)(end - text) - pos;
		if (line_len > 0 && text[pos + line_len - 1] == '\r')
			line_len--;
		if (line_len == 0)
			inside = false;
		else if (text[pos] != ':')
			inside = true;
		pos = (size_t)(end - text) + 1;
	}
	return inside;
}
