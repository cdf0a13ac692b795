#include "lists.h"

#include <sodium.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/log.h"
#include "config/lists.h"

/* Parses a list of any kind. Returns false and sets error when it is invalid.
 */
static bool
list_parse(list_any_t *list, const char *text, size_t len, GError **error)
{
	const char *name = list_kind_name(list->kind);

	switch (list->kind) {
	case LIST_PLANS:
		list->plans = plans_parse(name, text, len, error);
		break;
	case LIST_ALLOWANCES:
		list->allowances = allowances_parse(name, text, len, error);
		break;
	case LIST_FLEET:
	case LIST_COUNT:
		list->fleet = fleet_parse(name, text, len, error);
		break;
	}
	return list->head != NULL;
}

bool
lists_pair_fits(
    const plans_t *plans, const allowances_t *allowances, void *data)
{
	return lists_check_pair(plans, allowances, NULL);
}

static void
verdict_log(const list_any_t *list, lists_verdict_t verdict, const char *source)
{
	const char *name = lists_verdict_name(verdict);

	counter_increment("list_offers", "result", name);
	/* Each watch delivers unchanged lists; they are counted, but not
	 * logged. */
	if (verdict == LISTS_SAME)
		return;
	log_event(verdict == LISTS_ADOPT ? LOG_NOTICE : LOG_WARNING, "list",
	    LOG_S("list", list_kind_name(list->kind)),
	    LOG_I("part", list->kind == LIST_PLANS ? list->plans->part : 0),
	    LOG_I("parts",
		list->kind == LIST_PLANS ? plans_parts(list->plans) : 1),
	    LOG_I("version", list->head->version), LOG_S("result", name),
	    LOG_S("source", source));
}

bool
lists_receive(daemon_t *daemon, list_kind_t kind, const char *text, size_t len,
    const char *source)
{
	g_autoptr(GError) error = NULL;
	list_any_t list = {.kind = kind};
	lists_verdict_t verdict;
	GArray *actions;

	if (!list_parse(&list, text, len, &error)) {
		counter_increment("list_offers", "result", "refused");
		log_event(LOG_ERR, "list_refused",
		    LOG_S("list", list_kind_name(kind)),
		    LOG_S("source", source), LOG_S("error", error->message));
		return false;
	}
	actions = daemon_actions_create();
	pthread_mutex_lock(&daemon->gate_lock);
	verdict = gate_list_offer(daemon->gate, list, clock_now(), actions);
	pthread_mutex_unlock(&daemon->gate_lock);
	verdict_log(&list, verdict, source);
	list_any_clear(&list);
	daemon_execute(daemon, actions);
	return true;
}
