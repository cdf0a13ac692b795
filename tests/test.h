#ifndef TESTS_TEST_H
#define TESTS_TEST_H

#include <check.h>
#include <stdlib.h>

/*
 * Defines main() for a test program with one suite. fill adds the test cases.
 * Tests run in this process (no fork), so that sanitizers see leaks.
 */
#define TEST_MAIN(suite_name, fill)                               \
	int main(void)                                            \
	{                                                         \
		Suite *suite = suite_create(suite_name);          \
		SRunner *runner;                                  \
		int failed;                                       \
		fill(suite);                                      \
		runner = srunner_create(suite);                   \
		srunner_set_fork_status(runner, CK_NOFORK);       \
		srunner_run_all(runner, CK_NORMAL);               \
		failed = srunner_ntests_failed(runner);           \
		srunner_free(runner);                             \
		return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE; \
	}

/* Adds one test function as a case of its own. */
#define TEST_ADD(suite, function)                        \
	do {                                             \
		TCase *tcase_ = tcase_create(#function); \
		tcase_add_test(tcase_, function);        \
		suite_add_tcase(suite, tcase_);          \
	} while (0)

#endif
