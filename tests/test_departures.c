#include "core/departures.h"

#include "test.h"

#define LIMIT 4

typedef struct {
	departures_t *departures;
	time_us_t now;
} fixture_t;

static fixture_t
fixture_create(void)
{
	return (fixture_t){departures_create(), 10 * US_PER_S};
}

static bool
note(fixture_t *f, uint32_t target, departure_kind_t kind, time_us_t known_at,
    bool told)
{
	departure_t departure = {target, 1, kind, {1, 5}, known_at, true};

	return departures_note(f->departures, &departure, told, f->now);
}

static size_t export(fixture_t *f, bool round)
{
	departure_t out[LIMIT];

	return departures_export(f->departures, out, LIMIT, round, f->now);
}

static bool
keep_none(void *owner, const departure_t *departure)
{
	return false;
}

static bool
keep_all(void *owner, const departure_t *departure)
{
	return true;
}

/* The age counts from the first instance that knew, whoever tells later. */
TEST(departure_only_grows)
{
	fixture_t f = fixture_create();
	const departure_t *departure;

	ck_assert(note(&f, 7, DEPARTURE_REMOVED, f.now, false));
	ck_assert(note(&f, 7, DEPARTURE_LEAVING, f.now - 5, true));
	ck_assert(!note(&f, 7, DEPARTURE_REMOVED, f.now, false));
	ck_assert(!note(&f, 7, DEPARTURE_LEFT, f.now - 3, true));
	departure = departures_find(f.departures, 7, 1);
	ck_assert_int_eq(departure->kind, DEPARTURE_LEAVING);
	ck_assert_int_eq(departure->known_at, f.now - 5);
	/* Another start of the target isn't concerned. */
	ck_assert_ptr_null(departures_find(f.departures, 7, 2));
	departures_destroy(f.departures);
}

TEST(departure_is_told_often_until_others_tell_it)
{
	fixture_t f = fixture_create();

	note(&f, 7, DEPARTURE_LEAVING, f.now, false);
	ck_assert_uint_eq(export(&f, false), 1);
	ck_assert_uint_eq(export(&f, false), 1);
	for (int i = 0; i < DEPARTURE_HEARD_MIN; i++)
		note(&f, 7, DEPARTURE_LEAVING, f.now, true);
	ck_assert_uint_eq(export(&f, false), 0);
	/* Those that missed it hear it in a later round. */
	ck_assert_uint_eq(export(&f, true), 1);
	ck_assert_uint_eq(export(&f, true), 0);
	f.now += DEPARTURE_RETELL_US;
	ck_assert_uint_eq(export(&f, true), 1);
	f.now += DEPARTURE_TELL_US;
	ck_assert_uint_eq(export(&f, true), 0);
	departures_destroy(f.departures);
}

/* The own zone doesn't use the target; rounds reach the region that does. */
TEST(departure_in_another_region_is_told_in_rounds)
{
	fixture_t f = fixture_create();
	departure_t departure = {7, 1, DEPARTURE_LEAVING, {1, 5}, f.now, false};

	departures_note(f.departures, &departure, false, f.now);
	ck_assert_uint_eq(export(&f, false), 0);
	ck_assert_uint_eq(export(&f, true), 1);
	departures_destroy(f.departures);
}

TEST(departures_beyond_the_limit_are_told_next)
{
	fixture_t f = fixture_create();
	unsigned seen = 0;

	for (uint32_t i = 0; i < 3 * LIMIT; i++)
		note(&f, i, DEPARTURE_REMOVED, f.now, false);
	for (int i = 0; i < 3; i++) {
		departure_t out[LIMIT];
		size_t n =
		    departures_export(f.departures, out, LIMIT, false, f.now);

		ck_assert_uint_eq(n, LIMIT);
		for (size_t j = 0; j < n; j++)
			seen |= 1u << out[j].target;
	}
	ck_assert_uint_eq(seen, (1u << 3 * LIMIT) - 1);
	departures_destroy(f.departures);
}

TEST(departure_is_remembered_while_its_target_is_listed)
{
	fixture_t f = fixture_create();

	note(&f, 7, DEPARTURE_LEAVING, f.now, false);
	f.now += DEPARTURE_KEEP_US - 1;
	departures_expire(f.departures, f.now, keep_none, NULL);
	ck_assert_ptr_nonnull(departures_find(f.departures, 7, 1));
	f.now += 1;
	departures_expire(f.departures, f.now, keep_all, NULL);
	ck_assert_ptr_nonnull(departures_find(f.departures, 7, 1));
	departures_expire(f.departures, f.now, keep_none, NULL);
	ck_assert_ptr_null(departures_find(f.departures, 7, 1));
	departures_forget(f.departures, 7, 1);
	departures_destroy(f.departures);
}

TEST_MAIN("departures")
