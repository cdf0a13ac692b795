#include "core/members.h"

#include <glib.h>
#include <string.h>

#include "core/random.h"
#include "test.h"

/* Simulates instances in virtual time, with message loss and partitions. */
#define WORLD_LIMIT 400

typedef struct {
	places_t *places;
	members_t *nodes[WORLD_LIMIT];
	bool dead[WORLD_LIMIT];
	int side[WORLD_LIMIT]; /* of a partition */
	size_t n;
	time_us_t now;
	uint64_t random;
	unsigned loss_percent;
	uint64_t messages;
	uint64_t entries;
} world_t;

static uint32_t
node_ip(size_t i)
{
	return 0x0a000001u + (uint32_t)i;
}

static member_entry_t
node_entry(size_t i, int zone, incarnation_t incarnation)
{
	return (member_entry_t){
	    .ip = node_ip(i), .zone = zone, .incarnation = incarnation};
}

static void
node_start(world_t *world, size_t i, incarnation_t incarnation)
{
	uint32_t seeds[] = {node_ip(0), node_ip(1), 0x0b000001u};
	member_entry_t self = node_entry(
	    i, (int)(i % (size_t)places_n_zones(world->places)), incarnation);

	if (world->nodes[i] != NULL)
		members_destroy(world->nodes[i]);
	world->nodes[i] = members_create(world->places, &self, seeds,
	    G_N_ELEMENTS(seeds), random_next(&world->random), world->now);
	members_set_ready(world->nodes[i], true);
	world->dead[i] = false;
}

static void
world_create(world_t *world, size_t n)
{
	memset(world, 0, sizeof(*world));
	world->places = places_create();
	places_add(world->places, "a-1", "a");
	places_add(world->places, "b-1", "b");
	places_add(world->places, "c-1", "c");
	world->n = n;
	world->now = US_PER_S;
	world->random = 42;
	for (size_t i = 0; i < n; i++)
		node_start(world, i, 100);
}

static void
world_destroy(world_t *world)
{
	for (size_t i = 0; i < world->n; i++)
		members_destroy(world->nodes[i]);
	places_destroy(world->places);
}

static void
message_pass(world_t *world, size_t from, uint32_t ip)
{
	size_t to = ip - node_ip(0);
	member_entry_t entries[MEMBER_DIGEST_LIMIT];
	size_t n;

	if (to >= world->n)
		return;
	n = members_digest(
	    world->nodes[from], world->now, entries, MEMBER_DIGEST_LIMIT);
	world->messages++;
	world->entries += n;
	if (world->dead[to] || world->side[from] != world->side[to] ||
	    random_next(&world->random) % 100 < world->loss_percent)
		return;
	members_merge(world->nodes[to], entries, n, world->now);
}

static void
world_run(world_t *world, time_us_t time)
{
	for (time_us_t end = world->now + time; world->now < end;) {
		world->now += MEMBER_ROUND_US;
		for (size_t i = 0; i < world->n; i++) {
			uint32_t peers[32];
			size_t n;

			if (world->dead[i])
				continue;
			n = members_round(
			    world->nodes[i], world->now, peers, 32);
			for (size_t j = 0; j < n; j++)
				message_pass(world, i, peers[j]);
		}
	}
}

/* Returns whether every running node counts the running ones as live. */
static bool
world_agrees(const world_t *world)
{
	uint32_t running = 0;

	for (size_t i = 0; i < world->n; i++)
		running += !world->dead[i];
	for (size_t i = 0; i < world->n; i++) {
		if (!world->dead[i] && members_n_live(world->nodes[i],
					   PLACE_NONE, world->now) != running)
			return false;
	}
	return true;
}

TEST(fleet_finds_itself_by_stale_seeds)
{
	world_t world;

	world_create(&world, 84);
	world_run(&world, 3 * US_PER_S);
	ck_assert(world_agrees(&world));
	world_destroy(&world);
}

/* A dead instance must be in no directory after the platform's 6 + 3 s. */
TEST(dead_instance_leaves_every_directory)
{
	world_t world;

	world_create(&world, 84);
	world.loss_percent = 10;
	world_run(&world, 4 * US_PER_S);
	world.dead[5] = true;
	world_run(&world, 9 * US_PER_S);
	for (size_t i = 0; i < world.n; i++) {
		uint32_t ips[WORLD_LIMIT];
		size_t n;

		if (world.dead[i])
			continue;
		n = members_directory(world.nodes[i], 2, REGION_SET_ALL,
		    world.now, ips, WORLD_LIMIT);
		ck_assert_uint_gt(n, 0);
		for (size_t j = 0; j < n; j++)
			ck_assert_uint_ne(ips[j], node_ip(5));
	}
	world_destroy(&world);
}

/* The clock may be behind that of the instance's earlier start. */
TEST(restart_with_older_incarnation_is_accepted)
{
	world_t world;

	world_create(&world, 9);
	world_run(&world, 3 * US_PER_S);
	world.dead[4] = true;
	world_run(&world, US_PER_S);
	node_start(&world, 4, 7);
	world_run(&world, 6 * US_PER_S);
	ck_assert(world_agrees(&world));
	ck_assert_uint_gt(members_self(world.nodes[4])->incarnation, 100);
	world_destroy(&world);
}

TEST(cut_heals_and_each_side_serves_alone)
{
	world_t world;

	world_create(&world, 30);
	world_run(&world, 3 * US_PER_S);
	for (size_t i = 0; i < world.n; i++)
		world.side[i] = i % 3 == 0;
	world_run(&world, 6 * US_PER_S);
	ck_assert_uint_eq(
	    members_n_live(world.nodes[0], PLACE_NONE, world.now), 10);
	ck_assert_uint_eq(
	    members_n_live(world.nodes[1], PLACE_NONE, world.now), 20);
	memset(world.side, 0, sizeof(world.side));
	world_run(&world, 6 * US_PER_S);
	ck_assert(world_agrees(&world));
	world_destroy(&world);
}

TEST(whole_fleet_killed_at_once_comes_back)
{
	world_t world;

	world_create(&world, 40);
	world_run(&world, 3 * US_PER_S);
	for (size_t i = 0; i < world.n; i++)
		node_start(&world, i, 200);
	world_run(&world, 3 * US_PER_S);
	ck_assert(world_agrees(&world));
	world_destroy(&world);
}

/* At the planned size, a node's messages must not grow with the fleet. */
TEST(messages_of_a_node_are_bounded)
{
	world_t world;
	double per_node_second;

	world_create(&world, WORLD_LIMIT);
	world_run(&world, 5 * US_PER_S);
	world.messages = 0;
	world.entries = 0;
	world_run(&world, 4 * US_PER_S);
	per_node_second = (double)world.messages / WORLD_LIMIT / 4;
	ck_assert_double_le(per_node_second,
	    (MEMBER_NEAR_FANOUT + MEMBER_FAR_FANOUT + 2) * 4.0);
	ck_assert_uint_le(world.entries, world.messages * MEMBER_DIGEST_LIMIT);
	world_destroy(&world);
}

TEST(directory_prefers_region_then_permitted_ones)
{
	world_t world;
	uint32_t ips[8];
	size_t n;

	world_create(&world, 3); /* one instance per region */
	world_run(&world, 2 * US_PER_S);
	n = members_directory(world.nodes[2], 0, 1u << 1, world.now, ips, 8);
	ck_assert_uint_eq(n, 1);
	ck_assert_uint_eq(ips[0], node_ip(0));
	members_set_leaving(world.nodes[0]);
	world_run(&world, US_PER_S);
	n = members_directory(world.nodes[2], 0, 1u << 1, world.now, ips, 8);
	ck_assert_uint_eq(n, 1);
	ck_assert_uint_eq(ips[0], node_ip(1));
	/* All instances of permitted regions are leaving: they are still used.
	 */
	members_set_leaving(world.nodes[1]);
	world_run(&world, US_PER_S);
	n = members_directory(world.nodes[2], 0, 1u << 1, world.now, ips, 8);
	ck_assert_uint_eq(n, 1);
	ck_assert_uint_eq(ips[0], node_ip(0));
	/* All are being replaced: none, rather than one of a region that is not
	 * permitted. */
	members_set_ready(world.nodes[0], false);
	members_set_ready(world.nodes[1], false);
	world_run(&world, US_PER_S);
	n = members_directory(world.nodes[2], 0, 1u << 1, world.now, ips, 8);
	ck_assert_uint_eq(n, 0);
	/* All permitted ones are dead: any region is used. */
	world.dead[0] = true;
	world.dead[1] = true;
	world_run(&world, 5 * US_PER_S);
	n = members_directory(world.nodes[2], 0, 1u << 1, world.now, ips, 8);
	ck_assert_uint_eq(n, 1);
	ck_assert_uint_eq(ips[0], node_ip(2));
	world_destroy(&world);
}

TEST(few_instances_care_for_a_key)
{
	world_t world;

	world_create(&world, 84);
	world_run(&world, 3 * US_PER_S);
	for (uint64_t key = 1; key < 50; key++) {
		unsigned carers = 0;

		for (size_t i = 0; i < world.n; i += 3)
			carers += members_cares_for(
			    world.nodes[i], key, 2, world.now);
		ck_assert_uint_eq(carers, 2);
	}
	world_destroy(&world);
}

TEST_MAIN("members")
