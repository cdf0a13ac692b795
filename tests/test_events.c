#include "events.h"

#include <string.h>

#include "test.h"

static size_t
complete(const char *text, char id[16])
{
	id[0] = '\0';
	return events_complete(text, strlen(text), id, 16);
}

TEST(only_complete_events_are_returned)
{
	char id[16];

	ck_assert_uint_eq(complete("", id), 0);
	ck_assert_uint_eq(complete("id: 1\ndata: x\n", id), 0);
	ck_assert_str_eq(id, "");
	ck_assert_uint_eq(complete("id: 1\ndata: x\n\nid: 2\nda", id), 15);
	ck_assert_str_eq(id, "1");
	ck_assert_uint_eq(complete("id:7\r\ndata: x\r\n\r\n", id), 17);
	ck_assert_str_eq(id, "7");
	/* An event without an id keeps the previous id. */
	ck_assert_uint_eq(complete("id: 3\ndata: x\n\ndata: y\n\n", id), 24);
	ck_assert_str_eq(id, "3");
	/* "id:" within a data line is not an id. */
	ck_assert_uint_eq(complete("id: 4\ndata: id: 9\n\n", id), 19);
	ck_assert_str_eq(id, "4");
}

TEST(id_that_does_not_fit_is_ignored)
{
	char id[4] = "";

	events_complete("id: 12345\n\n", 11, id, sizeof(id));
	ck_assert_str_eq(id, "");
}

TEST_MAIN("events")
