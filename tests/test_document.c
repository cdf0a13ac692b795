#include <string.h>

#include "common/document.h"
#include "common/error.h"
#include "test.h"

static json_t *
read_text(const char *text)
{
	g_autoptr(GError) error = NULL;
	json_t *root = document_read(text, strlen(text), &error);

	ck_assert_msg(root != NULL, "%s", error ? error->message : "");
	return root;
}

static const char *
large(const json_t *root, const char *member)
{
	return document_large_number(json_object_get(root, member));
}

/* Guards against a document that is lost for one number. */
TEST(large_number_costs_only_its_member)
{
	json_t *root = read_text(
	    "{\"int\":100000000000000000000,\"real\":1.5e999,"
	    "\"low\":-9223372036854775809,\"text\":\"1e999 \\\" 1e999\","
	    "\"held\":9223372036854775807,\"list\":[7,1E+400],"
	    "\"in\":{\"x\":99999999999999999999}}");

	ck_assert_str_eq(large(root, "int"), "100000000000000000000");
	ck_assert_str_eq(large(root, "real"), "1.5e999");
	ck_assert_str_eq(large(root, "low"), "-9223372036854775809");
	ck_assert_str_eq(
	    json_string_value(json_object_get(root, "text")), "1e999 \" 1e999");
	ck_assert(
	    json_integer_value(json_object_get(root, "held")) == INT64_MAX);
	ck_assert_ptr_null(large(root, "held"));
	ck_assert_ptr_null(large(root, "text"));
	ck_assert_ptr_null(large(root, "absent"));
	ck_assert_str_eq(document_large_number(
			     json_array_get(json_object_get(root, "list"), 1)),
	    "1E+400");
	ck_assert_str_eq(
	    large(json_object_get(root, "in"), "x"), "99999999999999999999");
	json_decref(root);
}

TEST(string_may_hold_a_nul_byte)
{
	json_t *root = read_text("{\"name\":\"a\\u0000b\",\"n\":1}");

	ck_assert_uint_eq(json_string_length(json_object_get(root, "name")), 3);
	json_decref(root);
}

TEST(text_that_is_not_json_is_refused)
{
	static const char *const invalid[] = {"", "{", "{\"a\":1e999",
	    "{\"a\":1e9999e}", "{\"a\":99999999999999999999-1}", "\"\\",
	    "[99999999999999999999,\"\\", "\xff\xfe"};

	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		g_autoptr(GError) error = NULL;

		ck_assert_msg(document_read(invalid[i], strlen(invalid[i]),
				  &error) == NULL,
		    "case %zu", i);
		ck_assert(g_error_matches(error, CS_ERROR, CS_ERROR_SYNTAX));
	}
}

TEST_MAIN("document")
