#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cyclamensailctl/command.h"

/* Longest key; HTTP servers commonly refuse header lines above 8 KiB. */
#define KEY_LIMIT 4096

/* Returns what is wrong with a key, or NULL. */
static const char *
key_fault(const char *key, size_t len)
{
	if (len == 0)
		return "the key is empty; write it to standard input";
	if (len > KEY_LIMIT)
		return "the key is longer than 4096 bytes; use a shorter one";
	for (size_t i = 0; i < len; i++) {
		if (key[i] <= 0x20 || key[i] >= 0x7f)
			return "the key has a space, line break or byte "
			       "outside ASCII, which a request can't carry; "
			       "use printable ASCII on one line";
	}
	return NULL;
}

int
hash_key_run(int argc, char **argv)
{
	int n_args = command_parse(argc, argv, "< FILE",
	    "Reads a key from standard input and prints its SHA-256 value for "
	    "the plans\nlist. A line break at the end is not part of the key. "
	    "A key is not accepted\nas an argument, because lists of processes "
	    "and shell histories would show it.",
	    NULL);
	unsigned char hash[crypto_hash_sha256_BYTES];
	char hex[2 * sizeof(hash) + 1];
	char key[KEY_LIMIT + 3]; /* room for CR LF and one byte too many */
	const char *fault;
	size_t len;

	if (n_args < 0)
		return EXIT_USAGE;
	if (n_args > 0)
		return command_usage_error(argv[0],
		    "the key is read from standard input, because arguments "
		    "are visible to other users; consider the given one known "
		    "and replace it");
	len = fread(key, 1, sizeof(key), stdin);
	if (ferror(stdin)) {
		perror("cyclamensailctl hash-key: standard input");
		return EXIT_PROBLEM;
	}
	if (len > 0 && key[len - 1] == '\n')
		len--;
	if (len > 0 && key[len - 1] == '\r')
		len--;
	fault = key_fault(key, len);
	if (fault == NULL) {
		crypto_hash_sha256(hash, (const unsigned char *)key, len);
		puts(sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash)));
	} else {
		fprintf(stderr, "cyclamensailctl hash-key: %s\n", fault);
	}
	sodium_memzero(key, sizeof(key));
	return fault == NULL ? EXIT_OK : EXIT_PROBLEM;
}
