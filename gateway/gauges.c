#include "internal.h"

/*
 * Gauges of what requests are placed by: paces of targets, the part of an
 * engine that each class leaves free, and what may be sent to other regions.
 *
 * Load pattern: hundreds of targets whose figures change with every answer, and
 * a reader every few seconds. The text is made when it is read, so that answers
 * cost nothing; it has three lines for each target that may be used.
 */

static void
target_write(const target_t *target, GString *text, time_us_t now)
{
	g_string_append_printf(text,
	    "target_slowness{target=\"%s\",service=\"%s\"} %.3f\n"
	    "target_stated_pace{target=\"%s\",service=\"%s\"} %.3f\n"
	    "target_in_flight{target=\"%s\",service=\"%s\"} %u\n",
	    target->entry.id, target->entry.service, target->pace.slowness,
	    target->entry.id, target->entry.service,
	    pace_stated(&target->pace, now), target->entry.id,
	    target->entry.service, target_in_flight(target, now));
}

static void
targets_write(const gateway_t *gateway, GString *text, time_us_t now)
{
	for (size_t i = 0; i < targets_count(gateway->targets); i++) {
		const target_t *target = targets_at(gateway->targets, i);

		if (target_is_usable(gateway->targets, target))
			target_write(target, text, now);
	}
}

static void
service_write(const gateway_t *gateway, const service_state_t *service_state,
    GString *text)
{
	const pace_model_t *model =
	    targets_model(gateway->targets, service_state->name);

	if (model != NULL)
		g_string_append_printf(text,
		    "service_first_token_ms{service=\"%s\"} %.2f\n"
		    "service_prompt_token_us{service=\"%s\"} %.2f\n",
		    service_state->name, model->first_ms, service_state->name,
		    1000 * model->token_ms);
	for (int class = 0; class < URGENCY_CLASSES; class ++)
		g_string_append_printf(text,
		    "service_reserve{service=\"%s\",class=\"%d\"} %.3f\n",
		    service_state->name, class,
		    urgency_reserve(&service_state->urgency, class));
	for (int i = 0; i < topology_n_regions(gateway->topology); i++) {
		const region_load_t *load = &gateway->region_loads[i];
		uint32_t service = target_short_id(service_state->name);

		for (size_t j = 0; j < load->n; j++) {
			if (load->services[j].service != service)
				continue;
			g_string_append_printf(text,
			    "region_room{service=\"%s\",region=\"%s\"} %u\n",
			    service_state->name,
			    topology_region_name(gateway->topology, i),
			    load->services[j].room);
		}
	}
}

void
gauges_write(const gateway_t *gateway, GString *text, time_us_t now)
{
	GHashTableIter iter;
	gpointer service_state;

	targets_write(gateway, text, now);
	g_hash_table_iter_init(&iter, gateway->service_states);
	while (g_hash_table_iter_next(&iter, NULL, &service_state))
		service_write(gateway, service_state, text);
}
