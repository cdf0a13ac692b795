#include "config/diff.h"
#include "config/lists.h"
#include "config_case.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC(allowances_t, allowances_unref)

#define TEAM_BETA "- {name: beta, plan: basic, keys: []}\n"

static const char plans_text[] =
    "version: 3\n"
    "teams:\n"
    "- {name: alfa, plan: basic, home: north, "
    "keys: [{id: one, sha256: " HASH_A "}]}\n" TEAM_BETA;

static const char allowances_text[] =
    "version: 5\n"
    "zones:\n"
    "- {name: n1, region: north, weight: 2}\n"
    "- {name: s1, region: south, weight: 1}\n"
    "services:\n"
    "- {name: draft, kind: engine}\n"
    "- {name: book, kind: plain, orders: [/orders]}\n"
    "- {name: help, kind: plain}\n"
    "plans:\n"
    "- {name: basic, rate: 500, burst: 5000, priority: 1, use: [\n"
    "   {service: draft, regions: [north]}]}\n"
    "- {name: small, rate: 5, burst: 50, priority: 3, use: [\n"
    "   {service: book, regions: [north]}]}\n";

/* A change and the lines that it has to give after the line of the version. */
typedef struct {
	const char *find;
	const char *replace;
	const char *lines;
} change_t;

static plans_t *
plans_of(const char *text)
{
	return plans_parse("f", text, strlen(text), NULL);
}

static allowances_t *
allowances_of(const char *text)
{
	return allowances_parse("f", text, strlen(text), NULL);
}

/* Compares two texts of one kind and returns the lines, or the message. */
static char *
diff_texts(bool plans, const char *old, const char *new)
{
	GString *lines = g_string_new(NULL);
	plans_t *teams = plans_of(plans_text);
	GError *error = NULL;
	bool done;

	if (plans) {
		plans_t *before = plans_of(old);
		plans_t *after = plans_of(new);

		ck_assert(before != NULL && after != NULL);
		done = diff_plans(before, after, lines, &error);
		plans_unref(before);
		plans_unref(after);
	} else {
		g_autoptr(allowances_t) before = allowances_of(old);
		g_autoptr(allowances_t) after = allowances_of(new);

		ck_assert(before != NULL && after != NULL);
		done = diff_allowances(before, after, teams, lines, &error);
	}
	if (!done) {
		ck_assert_int_eq(error->code, CS_ERROR_CONFLICT);
		g_string_assign(lines, error->message);
		g_clear_error(&error);
	}
	plans_unref(teams);
	return g_string_free(lines, FALSE);
}

static void
changes_run(bool plans, const char *base, const char *version,
    const char *higher, const char *head, const change_t *rows, size_t n_rows)
{
	for (size_t i = 0; i < n_rows; i++) {
		g_autofree char *changed =
		    text_change(base, rows[i].find, rows[i].replace);
		g_autofree char *next = text_change(changed, version, higher);
		g_autofree char *lines = diff_texts(plans, base, next);

		prefix_check(lines, head);
		ck_assert_str_eq(lines + strlen(head), rows[i].lines);
	}
}

/* Guards against a team whose loss of access an operator does not see. */
TEST(plans_changes_are_told)
{
	static const change_t rows[] = {
	    {TEAM_BETA, "", "team beta: removed with keys none\n"},
	    {TEAM_BETA,
		TEAM_BETA "- {name: gama, plan: p, home: south, "
			  "keys: [{id: k, sha256: " HASH_B "}]}\n",
		"team gama: added with plan p, home south, keys k\n"},
	    {"plan: basic", "plan: gold", "team alfa: plan basic -> gold\n"},
	    {", home: north", "",
		"team alfa: home north -> none, its data may leave region "
		"north\n"},
	    {"north", "south", "team alfa: home north -> south\n"},
	    {HASH_A, HASH_B,
		"team alfa: key one withdrawn\nteam alfa: key one granted\n"},
	    {"id: one", "id: two", "team alfa: key one renamed to two\n"},
	    {"keys: [{id: one, sha256: " HASH_A "}]}\n" TEAM_BETA,
		"keys: []}\n- {name: beta, plan: basic, "
		"keys: [{id: one, sha256: " HASH_A "}]}\n",
		"team alfa: key one withdrawn, moved to team beta\n"
		"team beta: key one granted, moved from team alfa\n"},
	    {"\n", " # comment\n", ""},
	};

	changes_run(true, plans_text, "version: 3", "version: 4",
	    "plans: version 3 -> 4\n", rows, G_N_ELEMENTS(rows));
}

/* Guards against a change of rates or regions that is not told, or miscounted.
 */
TEST(allowances_changes_are_told)
{
	static const change_t rows[] = {
	    {"rate: 500", "rate: 600",
		"plan basic: rate 500 -> 600 tokens/s (2 teams)\n"},
	    {"burst: 50,", "burst: 60,",
		"plan small: burst 50 -> 60 tokens (0 teams)\n"},
	    {"priority: 1", "priority: 0",
		"plan basic: priority 1 -> 0 (2 teams)\n"},
	    {"regions: [north]", "regions: [south]",
		"plan basic: service draft loses region north (2 teams)\n"
		"plan basic: service draft gains region south (2 teams)\n"},
	    {"service: draft", "service: help",
		"plan basic: service draft no longer allowed in north "
		"(2 teams)\n"
		"plan basic: service help now allowed in north (2 teams)\n"},
	    {"name: small", "name: tiny",
		"plan small: removed (0 teams)\n"
		"plan tiny: added with rate 5 tokens/s, burst 50 tokens, "
		"priority 3 (0 teams)\n"},
	    {"weight: 1", "weight: 4", "zone s1: weight 1 -> 4\n"},
	    {"region: south", "region: west",
		"zone s1: region south -> west\n"},
	    {"name: s1", "name: s2",
		"zone s1: removed from region south\n"
		"zone s2: added in region south with weight 1\n"},
	    {"name: help, kind: plain", "name: tips, kind: plain, open: true",
		"service help: removed\n"
		"service tips: added, open without a key\n"},
	    {"name: help, kind: plain", "name: help, kind: engine, open: true",
		"service help: kind plain -> engine\n"
		"service help: opened, no key is asked any more\n"},
	    {"[/orders]", "[/a, /b]",
		"service book: orders [/orders] -> [/a /b]\n"},
	    {"{name: draft, kind: engine}",
		"{name: draft, kind: engine, fencing: refuse, desired: [\n"
		" {region: north, model: m, version: v2, adapters: [a], "
		"role: r}]}",
		"service draft: desired in north: none -> m v2 [a] r\n"
		"service draft: fencing ignore -> refuse\n"},
	    {"plans:",
		"weight_store: {region: south, loads_at_a_time: 2}\nplans:",
		"weight store: none -> south, 2 loads at a time\n"},
	    {"plans:", "retired: [i9]\nplans:", "instance i9: retired\n"},
	};

	changes_run(false, allowances_text, "version: 5", "version: 6",
	    "allowances: version 5 -> 6\n", rows, G_N_ELEMENTS(rows));
}

/* Guards against a published change that no instance would adopt. */
TEST(version_has_to_rise)
{
	g_autofree char *same = text_change(plans_text, "alfa", "gama");
	g_autofree char *lower = text_change(same, "3", "2");
	g_autofree char *reverted =
	    text_change(allowances_text, "version: 5", "version: 4");
	g_autofree char *lines = diff_texts(true, plans_text, same);

	prefix_check(lines, "plans:1: version: 3 does not rise");
	g_free(lines);
	lines = diff_texts(true, plans_text, lower);
	prefix_check(lines, "plans:1: version: 2 does not rise");
	g_free(lines);
	lines = diff_texts(false, allowances_text, reverted);
	prefix_check(lines, "allowances:1: version: 4 does not rise");
	g_free(lines);
	lines = diff_texts(false, allowances_text, allowances_text);
	ck_assert_str_eq(lines, "");
}

TEST_MAIN("diff")
