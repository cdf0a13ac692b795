#include <string.h>

#include "config/diff.h"
#include "list_head.h"

/* What each line is appended to, and the number of teams for each plan. */
typedef struct {
	GString *lines;
	GHashTable *teams; /* plan name -> count; NULL: not known */
} diff_t;

static void plan_append(const diff_t *diff, const plan_t *plan,
    const char *format, ...) G_GNUC_PRINTF(3, 4);

static void
plan_append(const diff_t *diff, const plan_t *plan, const char *format, ...)
{
	va_list args;
	guint teams;

	g_string_append_printf(diff->lines, "plan %s: ", plan->name);
	va_start(args, format);
	g_string_append_vprintf(diff->lines, format, args);
	va_end(args);
	if (diff->teams != NULL) {
		teams = GPOINTER_TO_UINT(
		    g_hash_table_lookup(diff->teams, plan->name));
		g_string_append_printf(diff->lines, " (%u %s)", teams,
		    teams == 1 ? "team" : "teams");
	}
	g_string_append_c(diff->lines, '\n');
}

/* Reports the regions of one use that the other one does not have. */
static void
regions_diff(const diff_t *diff, const plan_t *plan, const plan_use_t *use,
    const plan_use_t *other, const char *what)
{
	for (char **region = use->regions; *region != NULL; region++) {
		if (!g_strv_contains(
			(const char *const *)other->regions, *region))
			plan_append(diff, plan, "service %s %s region %s",
			    use->service, what, *region);
	}
}

/* Reports the services in plan that the other version of it does not use. */
static void
services_diff(const diff_t *diff, const plan_t *plan, const plan_t *other,
    const char *what)
{
	for (size_t i = 0; i < plan->n_use; i++) {
		const plan_use_t *use = &plan->use[i];
		g_autofree char *regions = NULL;

		if (plan_find_use(other, use->service) != NULL)
			continue;
		regions = g_strjoinv(", ", use->regions);
		plan_append(diff, plan, "service %s %s in %s", use->service,
		    what, regions);
	}
}

static void
plan_diff(const diff_t *diff, const plan_t *before, const plan_t *after)
{
	if (before->rate != after->rate)
		plan_append(diff, after,
		    "rate %" G_GINT64_FORMAT " -> %" G_GINT64_FORMAT
		    " tokens/s",
		    before->rate, after->rate);
	if (before->burst != after->burst)
		plan_append(diff, after,
		    "burst %" G_GINT64_FORMAT " -> %" G_GINT64_FORMAT " tokens",
		    before->burst, after->burst);
	if (before->priority != after->priority)
		plan_append(diff, after, "priority %d -> %d", before->priority,
		    after->priority);
	services_diff(diff, before, after, "no longer allowed");
	services_diff(diff, after, before, "now allowed");
	for (size_t i = 0; i < after->n_use; i++) {
		const plan_use_t *use = &after->use[i];
		const plan_use_t *old = plan_find_use(before, use->service);

		if (old == NULL)
			continue;
		regions_diff(diff, after, old, use, "loses");
		regions_diff(diff, after, use, old, "gains");
	}
}

static void
plans_diff(
    const diff_t *diff, const allowances_t *before, const allowances_t *after)
{
	for (size_t i = 0; i < before->n_plans; i++) {
		const plan_t *plan = &before->plans[i];

		if (allowances_find_plan(after, plan->name) == NULL)
			plan_append(diff, plan, "removed");
	}
	for (size_t i = 0; i < after->n_plans; i++) {
		const plan_t *plan = &after->plans[i];
		const plan_t *old = allowances_find_plan(before, plan->name);

		if (old != NULL)
			plan_diff(diff, old, plan);
		else
			plan_append(diff, plan,
			    "added with rate %" G_GINT64_FORMAT
			    " tokens/s, burst %" G_GINT64_FORMAT
			    " tokens, priority %d",
			    plan->rate, plan->burst, plan->priority);
	}
}

/* Writes "model version [adapters] role", or "none". */
static char *
desired_text(const desired_t *desired)
{
	g_autofree char *adapters = NULL;

	if (desired == NULL)
		return g_strdup("none");
	adapters = g_strjoinv(" ", desired->adapters);
	return g_strdup_printf("%s %s [%s] %s", desired->model,
	    desired->version, adapters, desired->role);
}

static void
desired_line(GString *lines, const char *service, const char *region,
    const desired_t *before, const desired_t *after)
{
	g_autofree char *old = desired_text(before);
	g_autofree char *new = desired_text(after);

	if (strcmp(old, new) != 0)
		g_string_append_printf(lines,
		    "service %s: desired in %s: %s -> %s\n", service, region,
		    old, new);
}

static void
desired_diff(GString *lines, const service_t *before, const service_t *after)
{
	for (size_t i = 0; i < before->n_desired; i++) {
		const desired_t *old = &before->desired[i];

		desired_line(lines, after->name, old->region, old,
		    service_find_desired(after, old->region));
	}
	for (size_t i = 0; i < after->n_desired; i++) {
		const desired_t *new = &after->desired[i];

		if (service_find_desired(before, new->region) == NULL)
			desired_line(
			    lines, after->name, new->region, NULL, new);
	}
	if (before->refuses_fences != after->refuses_fences)
		g_string_append_printf(lines, "service %s: fencing %s\n",
		    after->name,
		    after->refuses_fences ? "ignore -> refuse"
					  : "refuse -> ignore");
}

static void
store_append(GString *lines, const allowances_t *allowances)
{
	if (allowances->store_region == NULL)
		g_string_append(lines, "none");
	else
		g_string_append_printf(lines, "%s, %u loads at a time",
		    allowances->store_region, allowances->store_loads);
}

static void
store_diff(
    GString *lines, const allowances_t *before, const allowances_t *after)
{
	if (g_strcmp0(before->store_region, after->store_region) == 0 &&
	    before->store_loads == after->store_loads)
		return;
	g_string_append(lines, "weight store: ");
	store_append(lines, before);
	g_string_append(lines, " -> ");
	store_append(lines, after);
	g_string_append_c(lines, '\n');
}

static void
service_diff(GString *lines, const service_t *before, const service_t *after)
{
	g_autofree char *old = g_strjoinv(" ", before->orders);
	g_autofree char *new = g_strjoinv(" ", after->orders);

	if (before->kind != after->kind)
		g_string_append_printf(lines, "service %s: kind %s\n",
		    after->name,
		    after->kind == SERVICE_PLAIN ? "engine -> plain"
						 : "plain -> engine");
	if (strcmp(old, new) != 0)
		g_string_append_printf(lines,
		    "service %s: orders [%s] -> [%s]\n", after->name, old, new);
	if (before->open != after->open)
		g_string_append_printf(lines, "service %s: %s\n", after->name,
		    after->open ? "opened, no key is asked any more"
				: "closed, a key is asked from now on");
	desired_diff(lines, before, after);
}

static void
services_list_diff(
    GString *lines, const allowances_t *before, const allowances_t *after)
{
	for (size_t i = 0; i < before->n_services; i++) {
		const char *name = before->services[i].name;

		if (allowances_find_service(after, name) == NULL)
			g_string_append_printf(
			    lines, "service %s: removed\n", name);
	}
	for (size_t i = 0; i < after->n_services; i++) {
		const service_t *service = &after->services[i];
		const service_t *old =
		    allowances_find_service(before, service->name);

		if (old != NULL) {
			service_diff(lines, old, service);
			continue;
		}
		g_string_append_printf(lines, "service %s: added%s\n",
		    service->name, service->open ? ", open without a key" : "");
		desired_diff(lines, &(service_t){0}, service);
	}
}

static void
zones_diff(
    GString *lines, const allowances_t *before, const allowances_t *after)
{
	for (size_t i = 0; i < before->n_zones; i++) {
		const zone_t *zone = &before->zones[i];

		if (allowances_find_zone(after, zone->name) == NULL)
			g_string_append_printf(lines,
			    "zone %s: removed from region %s\n", zone->name,
			    zone->region);
	}
	for (size_t i = 0; i < after->n_zones; i++) {
		const zone_t *zone = &after->zones[i];
		const zone_t *old = allowances_find_zone(before, zone->name);

		if (old == NULL) {
			g_string_append_printf(lines,
			    "zone %s: added in region %s with weight %u\n",
			    zone->name, zone->region, zone->weight);
			continue;
		}
		if (strcmp(old->region, zone->region) != 0)
			g_string_append_printf(lines,
			    "zone %s: region %s -> %s\n", zone->name,
			    old->region, zone->region);
		if (old->weight != zone->weight)
			g_string_append_printf(lines,
			    "zone %s: weight %u -> %u\n", zone->name,
			    old->weight, zone->weight);
	}
}

/* Reports the names in list that the other version of it does not have. */
static void
retired_diff(GString *lines, char **list, char **other, const char *what)
{
	for (; *list != NULL; list++) {
		if (!g_strv_contains((const char *const *)other, *list))
			g_string_append_printf(
			    lines, "instance %s: %s\n", *list, what);
	}
}

static GHashTable *
teams_count(const plans_t *plans)
{
	GHashTable *teams;

	if (plans == NULL)
		return NULL;
	teams = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < plans->n_teams; i++) {
		char *plan = plans->teams[i].plan;
		guint count =
		    GPOINTER_TO_UINT(g_hash_table_lookup(teams, plan));

		g_hash_table_insert(teams, plan, GUINT_TO_POINTER(count + 1));
	}
	return teams;
}

bool
diff_allowances(const allowances_t *before, const allowances_t *after,
    const plans_t *plans, GString *lines, GError **error)
{
	g_autoptr(GHashTable) teams = teams_count(plans);
	diff_t diff = {lines, teams};
	bool changed;

	if (!list_head_check_rise(
		&before->head, &after->head, "allowances", &changed, error))
		return false;
	if (!changed)
		return true;
	g_string_append_printf(lines,
	    "allowances: version %" G_GUINT64_FORMAT " -> %" G_GUINT64_FORMAT
	    "\n",
	    before->head.version, after->head.version);
	zones_diff(lines, before, after);
	services_list_diff(lines, before, after);
	store_diff(lines, before, after);
	plans_diff(&diff, before, after);
	retired_diff(lines, after->retired, before->retired, "retired");
	retired_diff(
	    lines, before->retired, after->retired, "no longer retired");
	return true;
}
