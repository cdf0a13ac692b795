#include <sodium.h>
#include <stdio.h>
#include <time.h>

#include "config/diff.h"
#include "config/file.h"
#include "config/lists.h"
#include "config_case.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(allowances_t, allowances_unref)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(fleet_t, fleet_unref)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(plans_t, plans_unref)

static const char plans_text[] =
    "version: 3\n"
    "teams:\n"
    "  - name: alfa\n"
    "    plan: basic\n"
    "    home: north\n"
    "    keys:\n"
    "      - id: one\n"
    "        sha256: " HASH_A "\n"
    "  - name: beta\n"
    "    plan: basic\n"
    "    keys: [{ id: one, sha256: " HASH_B " }]\n";

static const char allowances_text[] =
    "version: 5\n"
    "zones:\n"
    "  - { name: n1, region: north, weight: 2 }\n"
    "  - { name: s1, region: south, weight: 1 }\n"
    "services:\n"
    "  - { name: draft, kind: engine }\n"
    "  - { name: book, kind: plain, orders: [/orders], open: false }\n"
    "plans:\n"
    "  - name: basic\n"
    "    rate: 500\n"
    "    burst: 5000\n"
    "    priority: 1\n"
    "    use:\n"
    "      - { service: draft, regions: [north, south] }\n"
    "      - { service: book, regions: [north] }\n"
    "retired: [i9]\n"
    "weight_store: { region: south, loads_at_a_time: 1 }\n";

static const char fleet_text[] =
    "version: 88\n"
    "instances:\n"
    "  - { name: i1, zone: n1, http: 10.0.0.1:80, peer: 10.0.0.1:81, "
    "state: live }\n"
    "  - { name: i2, zone: n1, http: \"[fd00::1]:80\", peer: 10.0.0.2:81, "
    "state: leaving }\n"
    "targets:\n"
    "  - { name: w1, zone: n1, service: draft, url: \"https://10.0.0.3/\", "
    "slots: 8, state: live }\n"
    "  - { name: w2, zone: n1, service: draft, url: \"http://10.0.0.3:82\", "
    "slots: 8, state: live }\n";

static bool
plans_try(const char *text, size_t len, GError **error)
{
	g_autoptr(plans_t) plans = plans_parse("f", text, len, error);

	return plans != NULL;
}

static bool
allowances_try(const char *text, size_t len, GError **error)
{
	g_autoptr(allowances_t) allowances =
	    allowances_parse("f", text, len, error);

	return allowances != NULL;
}

static bool
fleet_try(const char *text, size_t len, GError **error)
{
	g_autoptr(fleet_t) fleet = fleet_parse("f", text, len, error);

	return fleet != NULL;
}

/* Guards against faults in any list that YAML itself lets pass. */
TEST(plans_faults_are_refused)
{
	static const refusal_case_t rows[] = {
	    {"version 0", "3", "0", INVALID, "f:1: version: "},
	    {"version that wraps to negative", "3", "9223372036854775808",
		INVALID, "f:1: version: "},
	    {"octal number", "3", "010", INVALID, "f:1: version: "},
	    {"quoted number", "3", "\"3\"", INVALID, "f:1: version: "},
	    {"number with a sign", "3", "+3", INVALID, "f:1: version: "},
	    {"version left out", "version: 3\n", "", INVALID,
		"f:1: document: key version is missing"},
	    {"list in place of a number", "3", "[3]", INVALID,
		"f:1: version: "},
	    {"part without its count", "version: 3\n", "version: 3\npart: 0\n",
		INVALID, "f:2: part: stands alone; write both"},
	    {"count without a part", "version: 3\n", "version: 3\nparts: 2\n",
		INVALID, "f:2: parts: stands alone; write both"},
	    {"part past the last one", "version: 3\n",
		"version: 3\npart: 2\nparts: 2\n", INVALID, "f:2: part: "},
	    {"no part", "version: 3\n", "version: 3\npart: 0\nparts: 0\n",
		INVALID, "f:3: parts: "},
	    {"more parts than the tables hold", "version: 3\n",
		"version: 3\npart: 0\nparts: 257\n", INVALID, "f:3: parts: "},
	    {"team in a part where nobody looks for it", "version: 3\n",
		"version: 3\npart: 0\nparts: 2\n", CONFLICT,
		"f:5: teams[0].name: team alfa belongs to part 1 of 2, this is "
		"part 0; move the team there"},
	    {"misspelt key", "home:", "hom:", INVALID,
		"f:5: teams[0].hom: unknown key; remove it or write one of "
		"name, plan, home, keys"},
	    {"key given twice", "plan: basic", "name: x", CONFLICT,
		"f:4: teams[0].name: is already given in line 3"},
	    {"merge key", "home: north", "<<: {}", INVALID,
		"f:5: teams[0].<<: "},
	    {"team name given twice", "beta", "alfa", CONFLICT,
		"f:9: teams[1].name: has the same value as line 3"},
	    {"key of two teams", HASH_B, HASH_A, CONFLICT,
		"f:11: teams[1].keys[0].sha256: has the same value as line 8"},
	    {"key of two teams in other letters", HASH_B,
		"00112233445566778899AABBCCDDEEFF"
		"00112233445566778899AABBCCDDEEFF",
		CONFLICT, "f:11: teams[1].keys[0].sha256: "},
	    {"short hash", HASH_A, "abcd", INVALID,
		"f:8: teams[0].keys[0].sha256: "},
	    {"hash with another letter", "0011", "g011", INVALID,
		"f:8: teams[0].keys[0].sha256: "},
	    {"upper case name", "alfa", "Alfa", INVALID,
		"f:3: teams[0].name: "},
	    {"name with a dash first", "alfa", "-alfa", INVALID,
		"f:3: teams[0].name: "},
	    {"name of 64 bytes", "alfa", HASH_A, INVALID,
		"f:3: teams[0].name: has 64 bytes"},
	    {"name that YAML reads as a boolean", "north", "no", INVALID,
		"f:5: teams[0].home: is a boolean or null"},
	    {"name left empty", "north", "", INVALID,
		"f:5: teams[0].home: has no value"},
	    {"map in place of a list", "keys: [{", "keys: {a: {", SYNTAX,
		"f:11: document: "},
	    {"text in place of a list", "[{ id: one, sha256: " HASH_B " }]",
		"one", INVALID, "f:11: teams[1].keys: is not a list"},
	    {"NUL byte by escape", "alfa", "\"al\\0fa\"", INVALID,
		"f:3: name: has a control character"},
	    {"line break in a value", "alfa", "\"al\\nfa\"", INVALID,
		"f:3: name: has a control character"},
	    {"terminal escape in the text", "alfa", "al\033fa", SYNTAX,
		"f:3: document: "},
	    {"invalid UTF-8", "alfa", "al\xff", SYNTAX,
		"f:3: document: is not valid UTF-8"},
	    {"alias", "north", "*a", INVALID, "f:5: home: has an alias"},
	    {"anchor", "north", "&a north", INVALID,
		"f:5: home: has an anchor"},
	    {"tag", "3", "!!int 3", INVALID, "f:1: version: has a YAML tag"},
	    {"%TAG lines, which take quadratic time", "version",
		"%TAG !a! a\n---\nversion", INVALID,
		"f:1: document: has a YAML directive"},
	    {"directive after a comment", "version",
		"# 5%\n%YAML 1.1\n---\nversion", INVALID,
		"f:2: document: has a YAML directive"},
	    {"second document", "teams:\n", "teams: []\n---\nteams:\n", INVALID,
		"f:3: document: a second YAML document starts here"},
	    {"list as a key", "version", "[version]", INVALID,
		"f:1: document: a list or map is used as a key"},
	    {"unbounded nesting", "3", "[[[[[[[[[[3]]]]]]]]]]", INVALID,
		"f:1: version: is nested too deeply"},
	};

	refusals_check(plans_try, plans_text, rows, G_N_ELEMENTS(rows));
}

/* Guards against allowances that would divide by zero or mean nothing. */
TEST(allowances_faults_are_refused)
{
	static const refusal_case_t rows[] = {
	    {"weight 0", "weight: 2", "weight: 0", INVALID,
		"f:3: zones[0].weight: "},
	    {"weight over 1000", "weight: 2", "weight: 1001", INVALID,
		"f:3: zones[0].weight: "},
	    {"zone name given twice", "name: s1", "name: n1", CONFLICT,
		"f:4: zones[1].name: "},
	    {"kind that does not exist", "engine", "motor", INVALID,
		"f:6: services[0].kind: is not a known value; write one of "
		"engine, plain"},
	    {"service given twice", "name: book", "name: draft", CONFLICT,
		"f:7: services[1].name: "},
	    {"orders of an engine", "plain", "engine", CONFLICT,
		"f:7: services[1].orders: "},
	    {"orders without a team", "open: false", "open: true", CONFLICT,
		"f:7: services[1].open: "},
	    {"boolean that is a word", "open: false", "open: no", INVALID,
		"f:7: services[1].open: "},
	    {"order path that never matches", "/orders", "orders", INVALID,
		"f:7: services[1].orders[0]: "},
	    {"order path with a parent", "/orders", "/a/../b", INVALID,
		"f:7: services[1].orders[0]: "},
	    {"order path with an escape", "/orders", "/a%2fb", INVALID,
		"f:7: services[1].orders[0]: "},
	    {"order path given twice", "/orders", "/a, /a", CONFLICT,
		"f:7: services[1].orders[1]: "},
	    {"desired state of a plain service", "orders: [/orders]",
		"desired: []", CONFLICT, "f:7: services[1].desired: "},
	    {"fencing of a plain service", "orders: [/orders]",
		"fencing: refuse", CONFLICT, "f:7: services[1].fencing: "},
	    {"desired state in a region without a zone", "kind: engine",
		"kind: engine, desired: [{ region: west, model: m, "
		"version: v2, role: r }]",
		CONFLICT, "f:6: services[0].desired[0].region: "},
	    {"two desired states in a region", "kind: engine",
		"kind: engine, desired: [{ region: north, model: m, "
		"version: v2, role: r }, { region: north, model: m, "
		"version: v3, role: r }]",
		CONFLICT, "f:6: services[0].desired[1].region: "},
	    {"more adapters than are kept", "kind: engine",
		"kind: engine, desired: [{ region: north, model: m, "
		"version: v2, role: r, "
		"adapters: [a, b, c, d, e, f, g, h, i] }]",
		INVALID, "f:6: services[0].desired[0].adapters: "},
	    {"fewer loads than zones that load", "kind: engine",
		"kind: engine, desired: [{ region: north, model: m, "
		"version: v2, role: r }, { region: south, model: m, "
		"version: v2, role: r }]",
		CONFLICT, "f:17: weight_store.loads_at_a_time: "},
	    {"weight store nowhere", "region: south, loads",
		"region: west, loads", CONFLICT, "f:17: weight_store.region: "},
	    {"rate 0", "500", "0", INVALID, "f:10: plans[0].rate: "},
	    {"rate that overflows", "500", "1000000001", INVALID,
		"f:10: plans[0].rate: "},
	    {"burst 0", "5000", "0", INVALID, "f:11: plans[0].burst: "},
	    {"burst that overflows", "5000", "1000000000001", INVALID,
		"f:11: plans[0].burst: "},
	    {"priority 4", "priority: 1", "priority: 4", INVALID,
		"f:12: plans[0].priority: "},
	    {"service that does not exist", "service: draft", "service: drafts",
		CONFLICT, "f:14: plans[0].use[0].service: drafts is not"},
	    {"service used twice", "service: book", "service: draft", CONFLICT,
		"f:15: plans[0].use[1].service: "},
	    {"region without a zone", "[north]", "[east]", CONFLICT,
		"f:15: plans[0].use[1].regions[0]: no zone is in region east"},
	    {"region given twice", "south]", "north]", CONFLICT,
		"f:14: plans[0].use[0].regions[1]: "},
	    {"zone parts of 0/0", "[north]", "[]", INVALID,
		"f:15: plans[0].use[1].regions: has 0 items"},
	    {"plans list of no part", "retired", "plans_parts: 0\nretired",
		INVALID, "f:16: plans_parts: "},
	    {"more parts than the tables hold", "retired",
		"plans_parts: 257\nretired", INVALID, "f:16: plans_parts: "},
	    {"retired that is no list", "[i9]", "i9", INVALID,
		"f:16: retired: "},
	};

	refusals_check(
	    allowances_try, allowances_text, rows, G_N_ELEMENTS(rows));
}

/* Guards against members that can't be reached or are counted twice. */
TEST(fleet_faults_are_refused)
{
	static const refusal_case_t rows[] = {
	    {"port 0", "10.0.0.1:80", "10.0.0.1:0", INVALID,
		"f:3: instances[0].http: "},
	    {"port over 65535", "10.0.0.1:80", "10.0.0.1:65536", INVALID,
		"f:3: instances[0].http: "},
	    {"no port", "10.0.0.1:80", "10.0.0.1", INVALID,
		"f:3: instances[0].http: "},
	    {"host name, which would need DNS", "10.0.0.1:80", "host:80",
		INVALID, "f:3: instances[0].http: "},
	    {"two spellings of an address", "fd00::1", "fd00:0::1", INVALID,
		"f:4: instances[1].http: is not in the usual form; write "
		"[fd00::1]:80"},
	    {"user name in an address", "10.0.0.1:80", "a@10.0.0.1:80", INVALID,
		"f:3: instances[0].http: "},
	    {"address of every interface", "10.0.0.1:80", "0.0.0.0:80", INVALID,
		"f:3: instances[0].http: can't be"},
	    {"address given twice", "10.0.0.1:81", "10.0.0.1:80", CONFLICT,
		"f:3: instances[0].peer: has the same value as line 3"},
	    {"target with an instance's address", "https://10.0.0.3/",
		"http://10.0.0.1", CONFLICT, "f:6: targets[0].url: "},
	    {"same target by its default port", "http://10.0.0.3:82",
		"http://10.0.0.3:443", CONFLICT, "f:7: targets[1].url: "},
	    {"scheme that is not HTTP", "https://", "ftp://", INVALID,
		"f:6: targets[0].url: "},
	    {"URL with a path", "0.3/", "0.3/a", INVALID,
		"f:6: targets[0].url: "},
	    {"URL with a query", "0.3/", "0.3/?a", INVALID,
		"f:6: targets[0].url: "},
	    {"URL with a host name", "10.0.0.3/", "host/", INVALID,
		"f:6: targets[0].url: "},
	    {"slots 0", "slots: 8", "slots: 0", INVALID,
		"f:6: targets[0].slots: "},
	    {"slots over 4096", "slots: 8", "slots: 4097", INVALID,
		"f:6: targets[0].slots: "},
	    {"state that does not exist", "leaving", "gone", INVALID,
		"f:4: instances[1].state: "},
	    {"instance given twice", "name: i2", "name: i1", CONFLICT,
		"f:4: instances[1].name: "},
	    {"target given twice", "name: w2", "name: w1", CONFLICT,
		"f:7: targets[1].name: "},
	};

	refusals_check(fleet_try, fleet_text, rows, G_N_ELEMENTS(rows));
}

/* Guards against values that are lost or land in another field. */
TEST(values_arrive_in_their_fields)
{
	g_autoptr(plans_t) plans =
	    plans_parse("f", plans_text, strlen(plans_text), NULL);
	g_autoptr(allowances_t) allowances = allowances_parse(
	    "f", allowances_text, strlen(allowances_text), NULL);
	g_autoptr(fleet_t) fleet =
	    fleet_parse("f", fleet_text, strlen(fleet_text), NULL);
	const plan_t *plan;

	ck_assert_ptr_nonnull(plans);
	ck_assert_uint_eq(plans->head.version, 3);
	ck_assert_int_eq(plans->head.refs, 1);
	ck_assert_str_eq(plans->head.text, plans_text);
	ck_assert_str_eq(plans_find_team(plans, "alfa")->home, "north");
	ck_assert_ptr_null(plans_find_team(plans, "beta")->home);
	ck_assert_uint_eq(plans->teams[1].keys[0].hash[0], 0xff);
	ck_assert_ptr_nonnull(allowances);
	plan = allowances_find_plan(allowances, "basic");
	ck_assert_int_eq(plan->rate, 500);
	ck_assert_int_eq(plan->burst, 5000);
	ck_assert_int_eq(plan->priority, 1);
	ck_assert_str_eq(plan_find_use(plan, "draft")->regions[1], "south");
	ck_assert_uint_eq(allowances->zones[0].weight, 2);
	ck_assert_str_eq(allowances->services[1].orders[0], "/orders");
	ck_assert_ptr_null(allowances->services[0].orders[0]);
	ck_assert_str_eq(allowances->retired[0], "i9");
	ck_assert_ptr_nonnull(fleet);
	ck_assert_str_eq(fleet->instances[1].http, "[fd00::1]:80");
	ck_assert_int_eq(fleet->instances[1].state, MEMBER_LEAVING);
	ck_assert_str_eq(fleet->targets[0].url, "https://10.0.0.3");
	ck_assert_uint_eq(fleet->targets[1].slots, 8);
}

/* Guards against a pair in force in which a team has no plan or no zone. */
TEST(pair_faults_are_refused)
{
	static const struct {
		const char *find;
		const char *replace;
		const char *message; /* NULL: accepted */
	} rows[] = {
	    {"basic", "basic", NULL},
	    {"basic", "gold", "plans:4: teams[0].plan: plan gold of team alfa"},
	    {"north", "east", "plans:5: teams[0].home: no zone"},
	    {"north", "west", "plans:5: teams[0].home: plan basic allows no"},
	};
	g_autofree char *wider = text_change(allowances_text, "services:",
	    "  - { name: w1, region: west, "
	    "weight: 1 }\nservices:");
	g_autoptr(allowances_t) allowances =
	    allowances_parse("f", wider, strlen(wider), NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_autofree char *text =
		    text_change(plans_text, rows[i].find, rows[i].replace);
		g_autoptr(plans_t) plans =
		    plans_parse("f", text, strlen(text), NULL);
		GError *error = NULL;
		bool matches = lists_check_pair(plans, allowances, &error);

		ck_assert_int_eq(matches, rows[i].message == NULL);
		if (!matches) {
			ck_assert_int_eq(error->code, CONFLICT);
			prefix_check(error->message, rows[i].message);
		}
		g_clear_error(&error);
	}
}

static plans_t *
part_parse(const char *file, unsigned part, const char *version,
    const char *team, const char *hash)
{
	g_autofree char *text = g_strdup_printf(
	    "version: %s\npart: %u\nparts: 2\nteams:\n  - name: %s\n"
	    "    plan: basic\n    keys: [{ id: one, sha256: %s }]\n",
	    version, part, team, hash);
	plans_t *plans = plans_parse(file, text, strlen(text), NULL);

	ck_assert_ptr_nonnull(plans);
	return plans;
}

/* Guards against a key of two teams that is not seen because their entries are
 * in different files, and against a part that stands in for another one. */
TEST(parts_are_checked_together)
{
	static const char *const files[] = {"f", "g"};
	plans_t *one = part_parse("f", 1, "3", "alfa", HASH_A);
	plans_t *good = part_parse("g", 0, "3", "beta", HASH_B);
	plans_t *shared = part_parse("g", 0, "3", "beta", HASH_A);
	plans_t *pair[] = {one, good};
	GError *error = NULL;

	ck_assert(lists_check_parts(pair, files, 2, &error));
	pair[1] = shared;
	ck_assert(!lists_check_parts(pair, files, 2, &error));
	ck_assert_msg(g_str_has_prefix(error->message,
			  "g:7: teams[0].keys: key one is also a key of team "
			  "alfa in f; remove it"),
	    "%s", error->message);
	g_clear_error(&error);
	pair[1] = one;
	ck_assert(!lists_check_parts(pair, files, 2, &error));
	ck_assert_msg(g_str_has_prefix(error->message,
			  "g:2: part: is a second plans list with part 1"),
	    "%s", error->message);
	g_clear_error(&error);
	plans_unref(one);
	plans_unref(good);
	plans_unref(shared);
}

/* Guards against a new division that no instance would take. */
TEST(new_division_needs_versions_above_the_sum)
{
	plans_t *old[] = {part_parse("f", 0, "3", "beta", HASH_B),
	    part_parse("f", 1, "4", "alfa", HASH_A)};
	plans_t *next[] = {part_parse("f", 0, "7", "beta", HASH_B),
	    part_parse("f", 1, "8", "alfa", HASH_A)};
	plans_t *before = plans_combine(old, 2);
	plans_t *after = plans_combine(next, 2);
	bool changed;
	GError *error = NULL;

	ck_assert(plans_check_rise(before, after, &changed, &error));
	ck_assert(changed);
	ck_assert(!plans_check_rise(after, before, &changed, &error));
	ck_assert_msg(g_str_has_prefix(error->message,
			  "plans-0-of-2:1: version: 3 does not rise"),
	    "%s", error->message);
	g_clear_error(&error);
	/* The list in one piece that replaces both has to be above 7. */
	next[0]->parts = 1;
	ck_assert(!plans_check_rise(before, next[0], &changed, &error));
	ck_assert_msg(strstr(error->message, "write a number above 7") != NULL,
	    "%s", error->message);
	g_clear_error(&error);
	next[0]->head.version = 8;
	ck_assert(plans_check_rise(before, next[0], &changed, &error));
	plans_unref(before);
	plans_unref(after);
	for (int i = 0; i < 2; i++) {
		plans_unref(old[i]);
		plans_unref(next[i]);
	}
}

/* Returns a plans list of at most limit bytes with as many teams as fit. */
static GString *
plans_fill(size_t limit)
{
	GString *text = g_string_new("version: 1\nteams:\n");

	for (unsigned i = 0; text->len + 128 <= limit; i++) {
		g_autofree char *hash = g_compute_checksum_for_data(
		    G_CHECKSUM_SHA256, (const guchar *)&i, sizeof(i));

		g_string_append_printf(text,
		    "- {name: t%u, plan: p, keys: [{id: a, sha256: %s}]}\n", i,
		    hash);
	}
	return text;
}

/*
 * Guards against quadratic checks: a list of the largest size has to be in
 * force within seconds, and the bound leaves room for sanitizers.
 */
TEST(largest_list_is_parsed_quickly)
{
	g_autoptr(GString) text = plans_fill(FILE_LIMIT);
	GError *error = NULL;
	clock_t start = clock();
	plans_t *plans = plans_parse("f", text->str, text->len, &error);
	double seconds = (double)(clock() - start) / CLOCKS_PER_SEC;

	ck_assert_ptr_nonnull(plans);
	printf("%zu bytes, %zu teams: %.3f s\n", text->len, plans->n_teams,
	    seconds);
	ck_assert_double_lt(seconds, 5.0);
	plans_unref(plans);
	while (text->len <= FILE_LIMIT)
		g_string_append_c(text, '#');
	ck_assert(!plans_try(text->str, text->len, &error));
	refusal_check(&(const refusal_case_t){"over 1 MB", NULL, NULL, INVALID,
			  "f:0: file: has 1048577 bytes"},
	    &error);
}

/* Guards against a NUL byte that hides the rest of the text. */
TEST(nul_byte_is_refused)
{
	static const char text[] = "version: 1\nteams: []\n\0teams";
	GError *error = NULL;

	ck_assert(!plans_try(text, sizeof(text) - 1, &error));
	refusal_check(&(const refusal_case_t){"NUL byte", NULL, NULL, SYNTAX,
			  "f:3: document: has a NUL byte"},
	    &error);
	ck_assert(!plans_try("", 0, &error));
	refusal_check(&(const refusal_case_t){"empty text", NULL, NULL, INVALID,
			  "f:1: document: is not a map"},
	    &error);
}

/*
 * Guards against damaged texts that crash, leak or are refused without a
 * reason. The seed is fixed, so that a failure can be repeated.
 */
TEST(damaged_texts_are_handled)
{
	static const char *const bases[LIST_COUNT] = {
	    plans_text, allowances_text, fleet_text};
	static const text_try_t tries[LIST_COUNT] = {
	    plans_try, allowances_try, fleet_try};
	static const char bytes[] = "{}[]:,-&*!|>'\"%@#?\n \t~0a\\\xc3\xff";
	g_autoptr(GRand) random = g_rand_new_with_seed(20260131);

	for (int round = 0; round < 6000; round++) {
		list_kind_t kind = (list_kind_t)(round % LIST_COUNT);
		g_autofree char *text = g_strdup(bases[kind]);
		gint32 len = (gint32)strlen(text);
		int n_changes = g_rand_int_range(random, 1, 4);
		g_autofree char *label = g_strdup_printf("round %d", round);
		GError *error = NULL;

		for (int i = 0; i < n_changes; i++)
			text[g_rand_int_range(random, 0, len)] =
			    bytes[g_rand_int_range(
				random, 0, sizeof(bytes) - 1)];
		if (!tries[kind](text, (size_t)len, &error))
			message_check(error, label);
		g_clear_error(&error);
	}
}

/* Guards against demo lists that no longer match the demo's keys. */
TEST(example_keys_belong_to_their_teams)
{
	static const char *const keys[][2] = {
	    {"demo-parish-key", "parish-nitra"},
	    {"demo-desk-key", "tag-desk"},
	    {"demo-guest-key", "guest-house"},
	};
	g_autofree char *text = NULL;
	size_t len;
	g_autoptr(plans_t) plans = NULL;

	ck_assert(file_read(EXAMPLES "/plans.yaml", &text, &len, NULL));
	plans = plans_parse("f", text, len, NULL);
	ck_assert_ptr_nonnull(plans);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		uint8_t hash[KEY_HASH_BYTES];
		const key_owner_t *owner;

		crypto_hash_sha256(hash, (const unsigned char *)keys[i][0],
		    strlen(keys[i][0]));
		owner = plans_find_key(plans, hash);
		ck_assert_ptr_nonnull(owner);
		ck_assert_str_eq(owner->team->name, keys[i][1]);
	}
}

TEST_MAIN("lists_parse")
