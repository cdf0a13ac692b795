#include <string.h>

#include "platform/store.h"
#include "platform/wire.h"
#include "test.h"

static topology_t *
test_places(void)
{
	topology_t *places = topology_create();

	topology_add(places, "a-1", "a");
	topology_add(places, "b-1", "b");
	return places;
}

#define ROUTE_START                                                         \
	"{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/p/\",\"route_type\":" \
	"\"safe\",\"timeout_ms\":1000,\"service\":\"s\",\"max_attempts\":2"
#define CONFIG_START \
	"{\"version\":7,\"services\":[{\"name\":\"s\"}],\"routes\":["

static catalog_t *
config_decode(const char *text, const topology_t *places, char **problem)
{
	g_autoptr(GError) error = NULL;
	catalog_t *catalog =
	    platform_catalog_read(text, strlen(text), places, &error);

	*problem = catalog ? NULL : g_strdup(error->message);
	return catalog;
}

TEST(config_is_decoded)
{
	topology_t *places = test_places();
	char *problem;
	catalog_t *catalog = config_decode(CONFIG_START ROUTE_START
	    ",\"allowed_regions\":[\"b\",\"elsewhere\"],"
	    "\"new_field\":1},"
	    "{\"host\":\"h\",\"prefix\":\"/p/long/\","
	    "\"route_type\":\"streaming\",\"backends\":[{"
	    "\"service\":\"s\",\"weight\":90}],\"public\":true,"
	    "\"target_latency_ms\":600,\"gap_aim_ms\":400,"
	    "\"resumable\":true}],\"tenants\":[{\"name\":\"t\","
	    "\"api_keys\":[\"k1\",\"k2\"],\"unit\":\"tokens\","
	    "\"rate_per_s\":50,\"burst\":60,\"plain_tokens\":200,"
	    "\"priority\":1,\"allowed_regions\":[]}],\"limits\":{"
	    "\"max_header_bytes\":100,\"idle_timeout_ms\":77}}",
	    places, &problem);
	const catalog_route_t *route;

	ck_assert_msg(catalog != NULL, "%s", problem);
	ck_assert_str_eq(catalog_version(catalog), "7");
	route = catalog_route(catalog, "h:80", 4, "/p/long/x", 9);
	ck_assert(route->open);
	ck_assert_int_eq(route->kind, ROUTE_STREAM);
	/* The maximum of 2 s, 4 * 600 ms objective and 8 * 400 ms pause. */
	ck_assert_int_eq(route->silence_timeout_ms, 3200);
	route = catalog_route(catalog, "H", 1, "/p/lon", 6);
	ck_assert_str_eq(route->name, "r");
	ck_assert(region_set_has(route->regions, 1));
	ck_assert(!region_set_has(route->regions, 0));
	ck_assert_ptr_null(catalog_route(catalog, "other", 5, "/p/x", 4));
	ck_assert_ptr_null(catalog_route(catalog, "h", 1, "/p", 2));
	ck_assert_int_eq(catalog_key_team(catalog, "k2", 2), 0);
	ck_assert_int_eq(catalog_key_team(catalog, "k", 1), -1);
	ck_assert(catalog_requires_key(catalog));
	ck_assert_int_eq(catalog_limits(catalog)->idle_timeout_ms, 77);
	ck_assert_uint_eq(catalog_limits(catalog)->max_header_bytes, 100);
	catalog_unref(catalog);
	topology_destroy(places);
}

/* Guards against a stream that uses its route after a new version came. */
TEST(route_outlives_its_configuration)
{
	topology_t *places = test_places();
	char *problem;
	catalog_t *catalog = config_decode(CONFIG_START ROUTE_START
	    "}],\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"]}]}",
	    places, &problem);
	const catalog_route_t *route;
	const catalog_team_t *team;

	ck_assert_msg(catalog != NULL, "%s", problem);
	route = catalog_route_ref(catalog_route(catalog, "h", 1, "/p/x", 4));
	team = catalog_team_ref(catalog_team(catalog, 0));
	catalog_unref(catalog);
	ck_assert_str_eq(route->name, "r");
	ck_assert_str_eq(catalog_pick_service(route, 5)->name, "s");
	ck_assert_str_eq(team->name, "t");
	catalog_route_unref(route);
	catalog_team_unref(team);
	topology_destroy(places);
}

/* Guards against documents that would allow nothing, or all without a key. */
TEST(config_without_its_lists_is_refused)
{
	static const struct {
		const char *text;
		const char *problem;
	} cases[] = {
	    {"{", "not JSON"},
	    {"[]", "routes"},
	    {"{}", "routes"},
	    {"{\"version\":7,\"routes\":{}}", "routes"},
	    {"{\"version\":7,\"routes\":[],\"tenants\":7}", "tenants"},
	    {"{\"version\":7,\"routes\":[],\"tenants\":null}", "tenants"},
	};
	topology_t *places = test_places();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *problem = NULL;

		ck_assert_ptr_null(
		    config_decode(cases[i].text, places, &problem));
		ck_assert_msg(strstr(problem, cases[i].problem) != NULL,
		    "case %zu: %s", i, problem);
	}
	topology_destroy(places);
}

#define SOUND_ROUTE                                                  \
	"{\"name\":\"sound\",\"host\":\"h\",\"prefix\":\"/sound/\"," \
	"\"route_type\":\"safe\",\"service\":\"s\"}"
#define TEAMS "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"]}"

/*
 * Guards against a document that is lost for one part, and against a part that
 * can't be read and is taken for absent.
 */
TEST(unreadable_part_costs_only_itself)
{
	static const struct {
		const char *routes; /* besides the sound one */
		const char *rest;
		const char *problem;
		const char *path; /* of which nothing else is known, or NULL */
		const char *key;
		bool incomplete;
	} cases[] = {
	    {"{\"host\":\"h\",\"prefix\":\"/x/\"},", TEAMS "]}",
		"routes[0]: route_type", "/x/y", NULL, false},
	    {"{\"host\":\"h\",\"prefix\":\"/x/\",\"route_type\":\"odd\"},",
		TEAMS "]}", "routes[0]: route_type", "/x/y", NULL, false},
	    {"{\"host\":\"h\",\"prefix\":\"/x/\",\"route_type\":"
	     "\"safe\",\"service\":\"unknown\"},",
		TEAMS "]}", "routes[0]: unknown", "/x/y", NULL, false},
	    {"{\"host\":\"h\",\"prefix\":\"/x/\",\"route_type\":"
	     "\"safe\",\"service\":\"s\",\"allowed_regions\":\"b\"},",
		TEAMS "]}", "routes[0]: allowed_regions", "/x/y", NULL, false},
	    {"{\"host\":\"h\",\"prefix\":\"/x/\",\"route_type\":"
	     "\"safe\",\"service\":\"s\",\"timeout_ms\":-1e999},",
		TEAMS "]}", "routes[0]: timeout_ms", "/x/y", NULL, false},
	    {"{\"host\":7,\"prefix\":\"/x/\",\"route_type\":\"safe\","
	     "\"service\":\"s\"},",
		TEAMS "]}", "routes[0]: host", NULL, NULL, true},
	    {"", TEAMS ",{\"name\":5,\"api_keys\":[\"k2\"]}]}",
		"tenants[1]: name", NULL, "k2", false},
	    {"",
		TEAMS ",{\"name\":\"u\",\"rate_per_s\":\"x\","
		      "\"api_keys\":[\"k2\"]}]}",
		"tenants[1]: rate_per_s", NULL, "k2", false},
	    {"",
		TEAMS ",{\"name\":\"u\",\"api_keys\":[\"k2\"]},"
		      "{\"name\":\"v\",\"api_keys\":[\"k2\"]},"
		      "{\"name\":\"w\",\"api_keys\":[\"k2\"]}]}",
		"another team", NULL, "k2", false},
	    {"", TEAMS ",{\"name\":\"u\",\"api_keys\":[5]}]}", "api_keys", NULL,
		NULL, true},
	    {"", TEAMS ",{\"name\":\"u\",\"api_keys\":[\"k\\u0000x\"]}]}",
		"api_keys", NULL, NULL, true},
	    {"", TEAMS ",{\"name\":\"u\",\"api_keys\":\"k2\"}]}", "api_keys",
		NULL, NULL, true},
	    {"", TEAMS "],\"limits\":{\"idle_timeout_ms\":\"x\"}}",
		"idle_timeout_ms", NULL, NULL, false},
	    {"", TEAMS "],\"limits\":{\"max_body_bytes\":-1}}",
		"max_body_bytes", NULL, NULL, false},
	};
	topology_t *places = test_places();

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *problem;
		g_autofree char *text =
		    g_strdup_printf("%s%s" SOUND_ROUTE "],%s", CONFIG_START,
			cases[i].routes, cases[i].rest);
		catalog_t *catalog = config_decode(text, places, &problem);
		int team;

		ck_assert_msg(catalog != NULL, "case %zu: %s", i, problem);
		ck_assert_msg(catalog_n_problems(catalog) >= 1 &&
				  strstr(catalog_problem(catalog, 0),
				      cases[i].problem) != NULL,
		    "case %zu: %s", i, catalog_problem(catalog, 0));
		ck_assert_str_eq(catalog_version(catalog), "7");
		ck_assert(
		    !catalog_route(catalog, "h", 1, "/sound/x", 8)->unreadable);
		team = catalog_key_team(catalog, "k1", 2);
		ck_assert(!catalog_team(catalog, team)->unreadable);
		ck_assert_int_eq(
		    catalog_is_incomplete(catalog), cases[i].incomplete);
		if (cases[i].path != NULL)
			ck_assert(catalog_route(catalog, "h", 1, cases[i].path,
			    strlen(cases[i].path))
				      ->unreadable);
		if (cases[i].key != NULL) {
			team = catalog_key_team(
			    catalog, cases[i].key, strlen(cases[i].key));
			ck_assert(catalog_team(catalog, team)->unreadable);
		}
		ck_assert_int_eq(catalog_key_team(catalog, "k", 1), -1);
		ck_assert_int_eq(
		    catalog_limits(catalog)->idle_timeout_ms, 15000);
		catalog_unref(catalog);
	}
	topology_destroy(places);
}

TEST(version_that_cannot_be_read_is_none)
{
	static const char *const versions[] = {
	    "\"7\"", "0", "-3", "1.5", "null", "[]", "1e999", "-1e30"};
	static const struct {
		const char *json;
		const char *version;
	} valid[] = {{"9223372036854775807", "9223372036854775807"},
	    {"18446744073709551616", "18446744073709551616"}, {"3.0", "3"},
	    {"1e21", "1000000000000000000000"}};
	topology_t *places = test_places();

	for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
		char *problem;
		g_autofree char *text = g_strdup_printf(
		    "{\"version\":%s,\"routes\":[]}", versions[i]);
		catalog_t *catalog = config_decode(text, places, &problem);

		ck_assert_msg(catalog != NULL, "case %zu: %s", i, problem);
		ck_assert_str_eq(catalog_version(catalog), VERSION_NONE);
		ck_assert(strstr(catalog_problem(catalog, 0), "version"));
		catalog_unref(catalog);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(valid); i++) {
		char *problem;
		g_autofree char *text = g_strdup_printf(
		    "{\"version\":%s,\"routes\":[]}", valid[i].json);
		catalog_t *catalog = config_decode(text, places, &problem);

		ck_assert_str_eq(catalog_version(catalog), valid[i].version);
		ck_assert_uint_eq(catalog_n_problems(catalog), 0);
		catalog_unref(catalog);
	}
	topology_destroy(places);
}

/* Guards against a limit that is too high to be held, and loses the document.
 */
TEST(limit_beyond_the_highest_counts_as_that)
{
	topology_t *places = test_places();
	char *problem;
	catalog_t *catalog = config_decode(
	    "{\"version\":7,\"services\":[{\"name\":\"s\","
	    "\"max_connections\":99999999999999999999}],\"routes\":[{"
	    "\"host\":\"h\",\"prefix\":\"/p/\",\"route_type\":"
	    "\"safe\",\"timeout_ms\":1e300,\"service\":\"s\"}],"
	    "\"tenants\":[{\"name\":\"t\",\"rate_per_s\":1e999,"
	    "\"api_keys\":[\"k\"]}]}",
	    places, &problem);

	ck_assert_msg(catalog != NULL, "%s", problem);
	ck_assert_uint_eq(catalog_n_problems(catalog), 0);
	ck_assert_int_eq(
	    catalog_route(catalog, "h", 1, "/p/x", 4)->timeout_ms, 1000000000);
	ck_assert_double_eq(catalog_team(catalog, 0)->rate, 1e15);
	ck_assert_uint_eq(
	    catalog_service(catalog, 0)->connection_limit, 1000000000);
	catalog_unref(catalog);
	topology_destroy(places);
}

#define TARGET_FIELDS                                                     \
	"\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"b-1\"," \
	"\"version\":\"v\",\"slots\":6,\"state\":\"ready\","              \
	"\"cold_remaining_ms\":1500.5,\"seq\":3"

TEST(target_entry_is_decoded_or_rejected)
{
	static const char *const invalid[] = {
	    "{}",
	    "[]",
	    "\xff\xfe",
	    "{\"service\":7}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"b-1\"}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"x\","
	    "\"version\":\"v\",\"slots\":6,\"state\":\"ready\","
	    "\"cold_remaining_ms\":0,\"seq\":3}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"b-1\","
	    "\"version\":\"v\",\"slots\":\"6\",\"state\":\"ready\","
	    "\"cold_remaining_ms\":0,\"seq\":3}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"b-1\","
	    "\"version\":\"v\",\"slots\":6,\"state\":\"asleep\","
	    "\"cold_remaining_ms\":0,\"seq\":3}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"b-1\","
	    "\"version\":\"v\",\"slots\":6,\"state\":\"ready\",\"seq\":3}",
	    "{" TARGET_FIELDS ",\"born\":1e999}",
	    "{" TARGET_FIELDS ",\"born\":99999999999999999999}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:70000\","
	    "\"zone\":\"b-1\",\"version\":\"v\",\"slots\":6,"
	    "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":3}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:-1\","
	    "\"zone\":\"b-1\",\"version\":\"v\",\"slots\":6,"
	    "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":3}",
	};
	static const char valid[] =
	    "{" TARGET_FIELDS ",\"born\":9,\"remaining_ms\":250,\"new\":{}}";
	topology_t *places = test_places();
	g_autoptr(GError) error = NULL;
	target_entry_t entry;

	ck_assert(platform_target_read(
	    "w1", valid, strlen(valid), places, &entry, &error));
	ck_assert_str_eq(entry.id, "w1");
	ck_assert_uint_eq(entry.ip, 0x0a000001);
	ck_assert_uint_eq(entry.port, 80);
	ck_assert_int_eq(entry.zone, 1);
	ck_assert_int_eq(entry.cold_ms, 1500);
	ck_assert_int_eq(entry.started_ms, 9);
	ck_assert_int_eq(entry.remaining_ms, 250);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		g_autoptr(GError) entry_error = NULL;

		ck_assert_msg(
		    !platform_target_read("w1", invalid[i], strlen(invalid[i]),
			places, &entry, &entry_error),
		    "case %zu", i);
		ck_assert_ptr_nonnull(entry_error);
	}
	topology_destroy(places);
}

/* Another writer's entry must not exhaust the stack. */
TEST(deeply_nested_entry_is_rejected)
{
	enum { DEPTH = 300000 };
	topology_t *places = test_places();
	g_autoptr(GString) text = g_string_new("{" TARGET_FIELDS ",\"x\":");
	g_autoptr(GError) error = NULL;
	target_entry_t entry;

	for (int i = 0; i < DEPTH; i++)
		g_string_append_c(text, '[');
	for (int i = 0; i < DEPTH; i++)
		g_string_append_c(text, ']');
	g_string_append_c(text, '}');
	ck_assert(!platform_target_read(
	    "w1", text->str, text->len, places, &entry, &error));
	ck_assert_ptr_nonnull(error);
	topology_destroy(places);
}

/* What an answer with this field, NULL: without it, states of a rate. */
static response_rate_t
response_rate(const char *name, target_rate_t rate, const char *value)
{
	http_field_t field = {
	    {name, strlen(name)}, {value, value ? strlen(value) : 0}};
	http_head_t head = {
	    .status = 200, .fields = &field, .n_fields = value ? 1 : 0};
	target_response_t response;

	platform_response_read(&head, "id", &response);
	return response.rates[rate];
}

/* A value that can't be read neither sets nor ends a rate. */
TEST(rates_of_a_target_are_decimal_numbers)
{
	g_autofree char *long_number = g_strnfill(80, '1');
	const char *const malformed[] = {
	    "", "x", "1 2", "-1", "nan", "inf", "1e999", "1,5", long_number};
	static const char *const names[TARGET_RATE_COUNT] = {
	    [TARGET_RATE_REQUESTS] = "Server-Limit",
	    [TARGET_RATE_REFUSALS] = "Server-Brittle"};
	static const struct {
		const char *text;
		double per_s;
	} valid[] = {{"0", 0}, {"1", 1}, {"1.4", 1.4}, {"1e12", 1e12}};

	for (target_rate_t rate = 0; rate < TARGET_RATE_COUNT; rate++) {
		ck_assert_int_eq(
		    response_rate(names[rate], rate, NULL).kind, RATE_ABSENT);
		for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
			ck_assert_int_eq(
			    response_rate(names[rate], rate, malformed[i]).kind,
			    RATE_MALFORMED);
		for (size_t i = 0; i < G_N_ELEMENTS(valid); i++) {
			response_rate_t response =
			    response_rate(names[rate], rate, valid[i].text);

			ck_assert_int_eq(response.kind, RATE_STATED);
			ck_assert_double_eq(response.per_s, valid[i].per_s);
		}
	}
}

/* Guards against a target that is used after it has said that it leaves. */
TEST(leaving_target_says_so_in_its_answer)
{
	static const struct {
		const char *name;
		const char *value;
		bool leaving;
	} fields[] = {{"Server-Leaving", "1", true},
	    {"server-leaving", "1", true}, {"Server-Leaving", "0", false},
	    {"Server-Leaving", "", false}, {"Server-Leaving", "11", false},
	    {"Server-Load", "1", false}};

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		http_field_t field = {{fields[i].name, strlen(fields[i].name)},
		    {fields[i].value, strlen(fields[i].value)}};
		http_head_t head = {
		    .status = 200, .fields = &field, .n_fields = 1};
		target_response_t response;

		platform_response_read(&head, "id", &response);
		ck_assert(response.leaving == fields[i].leaving);
	}
}

TEST_MAIN("platform_decode")
