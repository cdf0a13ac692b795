#ifndef TESTS_TEST_H
#define TESTS_TEST_H

#include <check.h>
#include <stdlib.h>

/*
 * List of the tests of a program, sorted by line, as the constructors that
 * register them run in no fixed order.
 */
typedef struct test_entry test_entry_t;
struct test_entry {
	const TTest *test;
	test_entry_t *next;
};

static test_entry_t *test_first;

static inline void
test_register(test_entry_t *entry)
{
	test_entry_t **at = &test_first;

	while (*at != NULL && (*at)->test->line < entry->test->line)
		at = &(*at)->next;
	entry->next = *at;
	*at = entry;
}

/* Defines a test and registers it. */
#define TEST(name)                                                     \
	START_TEST(name);                                              \
	static void __attribute__((constructor)) name##_register(void) \
	{                                                              \
		static test_entry_t entry;                             \
		entry.test = name;                                     \
		test_register(&entry);                                 \
	}                                                              \
	static void name##_fn(int _i CK_ATTRIBUTE_UNUSED)

/*
 * Runs a suite and returns the exit status. Tests run in this process (no
 * fork), so that sanitizers see leaks.
 */
static inline int
test_suite_run(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Runs each test in its own test case. */
static inline int
test_run(const char *name)
{
	Suite *suite = suite_create(name);

	for (test_entry_t *entry = test_first; entry; entry = entry->next) {
		TCase *tcase = tcase_create(entry->test->name);

		tcase_add_test(tcase, entry->test);
		suite_add_tcase(suite, tcase);
	}
	return test_suite_run(suite);
}

/*
 * Runs all tests in one test case, between setup and teardown (NULL: none),
 * with a timeout for each test. CK_RUN_CASE=name selects the case.
 */
static inline int
test_run_case(const char *name, SFun setup, SFun teardown, int timeout_s)
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create(name);

	tcase_add_unchecked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, timeout_s);
	for (test_entry_t *entry = test_first; entry; entry = entry->next)
		tcase_add_test(tcase, entry->test);
	suite_add_tcase(suite, tcase);
	return test_suite_run(suite);
}

/* Defines main() of a program that runs each test in its own test case. */
#define TEST_MAIN(name)                \
	int main(void)                 \
	{                              \
		return test_run(name); \
	}

#endif
