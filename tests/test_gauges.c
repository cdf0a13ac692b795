#include <string.h>

#include "internal.h"
#include "test.h"

static target_t *
put(targets_t *targets, const char *id, target_state_t state)
{
	target_entry_t entry = {
	    .ip = 1, .port = 80, .slots = 8, .state = state, .started_ms = 1};

	g_strlcpy(entry.id, id, sizeof(entry.id));
	g_strlcpy(entry.service, "pen", sizeof(entry.service));
	return targets_put(targets, &entry, US_PER_S);
}

TEST(gauges_show_what_requests_are_placed_by)
{
	topology_t *topology = topology_create();
	service_state_t state = {.name = "pen"};
	gateway_t gateway = {.topology = topology};
	g_autoptr(GString) text = g_string_new(NULL);
	target_t *target;

	topology_add(topology, "a-1", "a");
	topology_add(topology, "b-1", "b");
	gateway.targets = targets_create(topology, 0);
	gateway.service_states = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(gateway.service_states, state.name, &state);
	target = put(gateway.targets, "t1", TARGET_READY);
	put(gateway.targets, "t2", TARGET_DRAINING);
	target->pace.slowness = 1.5;
	pace_note_stated(&target->pace, 2.5, US_PER_S);
	urgency_note(&state.urgency, 0, 1, US_PER_S);
	urgency_note(&state.urgency, 2, 9, US_PER_S);
	gateway.region_loads[1] = (region_load_t){
	    .services = {{target_short_id("pen"), 7, 0}}, .n = 1};
	gauges_write(&gateway, text, US_PER_S);
	ck_assert_ptr_nonnull(strstr(text->str,
	    "target_slowness{target=\"t1\",service=\"pen\"} 1.500\n"));
	ck_assert_ptr_nonnull(strstr(text->str,
	    "target_stated_pace{target=\"t1\",service=\"pen\"} 2.500\n"));
	ck_assert_ptr_nonnull(strstr(
	    text->str, "service_reserve{service=\"pen\",class=\"2\"} 0.100\n"));
	ck_assert_ptr_nonnull(
	    strstr(text->str, "region_room{service=\"pen\",region=\"b\"} 7\n"));
	ck_assert_ptr_nonnull(
	    strstr(text->str, "service_prompt_token_us{service=\"pen\"}"));
	/* Nothing is sent to it. */
	ck_assert_ptr_null(strstr(text->str, "t2"));
	g_hash_table_destroy(gateway.service_states);
	targets_destroy(gateway.targets);
	topology_destroy(topology);
}

TEST_MAIN("gauges")
