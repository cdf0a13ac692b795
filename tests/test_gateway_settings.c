#include "config/gateway_settings.h"

#include <string.h>

#include "test.h"

#define BASE                                                             \
	"gateway:\n  instance: i1\n  zone: a-1\n  callers: 10.0.0.1:1\n" \
	"  health: 10.0.0.1:2\n  directory: 10.0.0.1:3\n"                \
	"  peer: 10.0.0.1:4\n  metrics: 10.0.0.1:5\n"                    \
	"  store: 10.0.0.9:6\n  zones: {\"a-1\":\"a\",\"b-1\":\"b\"}\n"

static gateway_settings_t *
parse(const char *text, GError **error)
{
	return gateway_settings_parse("f", text, strlen(text), error);
}

TEST(settings_have_defaults_and_json_values)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(gateway_settings_t) settings =
	    parse(BASE "  seeds: [\"10.0.0.2:9\",\"10.0.0.3:9\"]\n"
		       "  grace_s: 12\n",
		&error);

	ck_assert_msg(settings != NULL, "%s", error ? error->message : "");
	ck_assert_uint_eq(settings->grace_s, 12);
	ck_assert_uint_eq(settings->memory_mb, 256);
	ck_assert_str_eq(settings->seeds[1], "10.0.0.3:9");
	ck_assert_int_eq(topology_n_regions(settings->places), 2);
	ck_assert(gateway_settings_present(BASE));
	ck_assert(!gateway_settings_present("instance: gateway:\n"));
}

TEST(fault_names_line_and_key)
{
	static const struct {
		const char *text;
		const char *why;
	} cases[] = {
	    {"gateway: {}\n", "instance"},
	    {BASE "  grace_s: 0\n", "grace_s"},
	    {BASE "  memory_mb: lots\n", "memory_mb"},
	    {BASE "  surprise: 1\n", "surprise"},
	    {BASE "  seeds: [nowhere]\n", "seeds"},
	    {BASE "other: 1\n", "other"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GError) error = NULL;

		ck_assert_ptr_null(parse(cases[i].text, &error));
		ck_assert_msg(strstr(error->message, cases[i].why) != NULL,
		    "case %zu: %s", i, error->message);
		ck_assert_msg(g_str_has_prefix(error->message, "f:"), "%s",
		    error->message);
	}
}

TEST(zone_and_addresses_are_checked_together)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = g_strdup(BASE);

	strstr(text, "zone: a-1")[8] = '9';
	ck_assert_ptr_null(parse(text, &error));
	ck_assert_ptr_nonnull(strstr(error->message, "zone"));
	g_clear_error(&error);
	strstr(text, "zone: a-9")[8] = '1';
	strstr(text, "0.1:5")[4] = '4';
	ck_assert_ptr_null(parse(text, &error));
	ck_assert_ptr_nonnull(strstr(error->message, "same as peer"));
}

TEST_MAIN("gateway_settings")
