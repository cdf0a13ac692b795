#include <syslog.h>

#include "config/settings.h"
#include "config_case.h"

static const char required_text[] = "instance: i1\n"
				    "zone: n1\n"
				    "http: 0.0.0.0:80\n"
				    "peer: 10.0.0.1:81\n"
				    "platform: [\"http://10.0.0.9:82/\"]\n"
				    "fleet_secrets: [" HASH_A "]\n";

static const char optional_text[] =
    "fleet_secrets: [" HASH_A ", " HASH_B "]\n"
    "seeds: [\"10.0.0.2:81\"]\n"
    "tls: { certificate: /c.pem, key: /k.pem, authority: /a.pem }\n"
    "memory_mb: 16\n"
    "body_limit_kb: 2\n"
    "http_threads: 3\n"
    "connection_limit: 40\n"
    "queue_limit: 5\n"
    "request_deadline_ms: 600\n"
    "log_level: debug\n";

static settings_t *
parse(const char *text, GError **error)
{
	return settings_parse("f", text, strlen(text), error);
}

static bool
settings_try(const char *text, size_t len, GError **error)
{
	g_autoptr(settings_t) settings = settings_parse("f", text, len, error);

	return settings != NULL;
}

/* Guards against defaults that differ from cyclamensail-settings(5). */
TEST(defaults_apply)
{
	g_autoptr(settings_t) settings = parse(required_text, NULL);

	ck_assert_ptr_nonnull(settings);
	ck_assert_str_eq(settings->instance, "i1");
	ck_assert_str_eq(settings->zone, "n1");
	ck_assert_str_eq(settings->http, "0.0.0.0:80");
	ck_assert_str_eq(settings->peer, "10.0.0.1:81");
	ck_assert_str_eq(settings->platform[0], "http://10.0.0.9:82");
	ck_assert_ptr_null(settings->seeds[0]);
	ck_assert_uint_eq(settings->n_fleet_secrets, 1);
	ck_assert_uint_eq(settings->fleet_secrets[0][1], 0x11);
	ck_assert_ptr_null(settings->tls_certificate);
	ck_assert_uint_eq(settings->memory_mb, 128);
	ck_assert_uint_eq(settings->body_limit_kb, 1024);
	ck_assert_uint_eq(settings->http_threads, 4);
	ck_assert_uint_eq(settings->connection_limit, 2048);
	ck_assert_uint_eq(settings->queue_limit, 256);
	ck_assert_uint_eq(settings->request_deadline_ms, 60000);
	ck_assert_int_eq(settings->log_level, LOG_INFO);
}

/* Guards against values that are lost or land in another field. */
TEST(values_arrive_in_their_fields)
{
	g_autofree char *text = text_change(
	    required_text, "fleet_secrets: [" HASH_A "]\n", optional_text);
	g_autoptr(settings_t) settings = parse(text, NULL);

	ck_assert_ptr_nonnull(settings);
	ck_assert_str_eq(settings->seeds[0], "10.0.0.2:81");
	ck_assert_uint_eq(settings->n_fleet_secrets, 2);
	ck_assert_uint_eq(settings->fleet_secrets[1][0], 0xff);
	ck_assert_str_eq(settings->tls_certificate, "/c.pem");
	ck_assert_str_eq(settings->tls_key, "/k.pem");
	ck_assert_str_eq(settings->tls_authority, "/a.pem");
	ck_assert_uint_eq(settings->memory_mb, 16);
	ck_assert_uint_eq(settings->body_limit_kb, 2);
	ck_assert_uint_eq(settings->http_threads, 3);
	ck_assert_uint_eq(settings->connection_limit, 40);
	ck_assert_uint_eq(settings->queue_limit, 5);
	ck_assert_uint_eq(settings->request_deadline_ms, 600);
	ck_assert_int_eq(settings->log_level, LOG_DEBUG);
}

/* Guards against an instance that starts with settings that can't work. */
TEST(faults_are_refused)
{
	static const refusal_case_t rows[] = {
	    {"zone left out", "zone: n1\n", "", INVALID,
		"f:1: document: key zone is missing"},
	    {"misspelt key", "zone", "zones", INVALID,
		"f:2: zones: unknown key"},
	    {"key given twice", "zone: n1", "instance: n1", CONFLICT,
		"f:2: instance: is already given in line 1"},
	    {"one port for two listeners", "10.0.0.1:81", "0.0.0.0:80",
		CONFLICT, "f:4: peer: is the same as http"},
	    {"no platform", "[\"http://10.0.0.9:82/\"]", "[]", INVALID,
		"f:5: platform: has 0 items"},
	    {"platform by host name", "10.0.0.9", "platform", INVALID,
		"f:5: platform[0]: is not a URL"},
	    {"platform given twice", "82/\"", "82/\", \"http://10.0.0.9:82\"",
		CONFLICT, "f:5: platform[1]: "},
	    {"seed that can't be connected to", "zone: n1",
		"zone: n1\nseeds: [\"0.0.0.0:81\"]", INVALID,
		"f:3: seeds[0]: "},
	    {"no secret", "[" HASH_A "]", "[]", INVALID,
		"f:6: fleet_secrets: has 0 items"},
	    {"short secret", HASH_A, "0011", INVALID,
		"f:6: fleet_secrets[0]: "},
	    {"three secrets", "[" HASH_A "]",
		"[" HASH_A ", " HASH_B ", " HASH_B "]", INVALID,
		"f:6: fleet_secrets: has 3 secrets"},
	    {"rotation to the same secret", "[" HASH_A "]",
		"[" HASH_A ", " HASH_A "]", CONFLICT,
		"f:6: fleet_secrets: has the same secret"},
	    {"certificate without key", "zone: n1",
		"zone: n1\ntls: { certificate: /c.pem }", INVALID,
		"f:3: tls: key key is missing"},
	    {"too little memory", "zone: n1", "zone: n1\nmemory_mb: 15",
		INVALID, "f:3: memory_mb: "},
	    {"too much memory", "zone: n1", "zone: n1\nmemory_mb: 4097",
		INVALID, "f:3: memory_mb: "},
	    {"body limit 0", "zone: n1", "zone: n1\nbody_limit_kb: 0", INVALID,
		"f:3: body_limit_kb: "},
	    {"65 threads", "zone: n1", "zone: n1\nhttp_threads: 65", INVALID,
		"f:3: http_threads: "},
	    {"log level of another system", "zone: n1",
		"zone: n1\nlog_level: trace", INVALID,
		"f:3: log_level: is not a known value"},
	};

	refusals_check(settings_try, required_text, rows, G_N_ELEMENTS(rows));
}

/* Guards against secrets in messages, which end up in logs. */
TEST(message_shows_no_secret)
{
	g_autofree char *text =
	    text_change(required_text, HASH_A, "hidden" HASH_A);
	GError *error = NULL;

	ck_assert_ptr_null(parse(text, &error));
	ck_assert_ptr_null(strstr(error->message, "hidden"));
	ck_assert_ptr_null(strstr(error->message, "0011"));
	g_clear_error(&error);
}

/* Guards against a read that blocks, or reports another fault. */
TEST(paths_that_are_no_files_are_refused)
{
	static const struct {
		const char *path;
		int code; /* a cs_error_t */
		const char *message;
	} rows[] = {
	    {"/", CS_ERROR_IO, "/:0: file: is a directory; "},
	    {"/nonexistent", CS_ERROR_IO, "/nonexistent:0: file: can't be"},
	    {"/dev/zero", INVALID, "/dev/zero:0: file: has more"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		GError *error = NULL;

		ck_assert_ptr_null(settings_load(rows[i].path, &error));
		ck_assert_int_eq(error->code, rows[i].code);
		prefix_check(error->message, rows[i].message);
		g_clear_error(&error);
	}
}

TEST_MAIN("settings")
