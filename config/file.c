#include "config/file.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/error.h"

/* Reads up to size bytes. Returns the number read, or -1 with errno. */
static ssize_t
read_up_to(int fd, char *buffer, size_t size)
{
	size_t len = 0;

	while (len < size) {
		ssize_t n = read(fd, buffer + len, size - len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return -1;
		if (n == 0)
			break;
		len += (size_t)n;
	}
	return (ssize_t)len;
}

bool
file_read(const char *path, char **text, size_t *len, GError **error)
{
	g_autofree char *buffer = NULL;
	struct stat status;
	ssize_t n = -1;
	int fd = open(path, O_RDONLY | O_CLOEXEC);

	if (fd >= 0 && fstat(fd, &status) == 0 && S_ISDIR(status.st_mode)) {
		close(fd);
		g_set_error(error, CS_ERROR, CS_ERROR_IO,
		    "%s:0: file: is a directory; give the path of a file",
		    path);
		return false;
	}
	if (fd >= 0) {
		int saved;

		/* One byte more than allowed shows that it is too long. */
		buffer = g_malloc(FILE_LIMIT + 2);
		n = read_up_to(fd, buffer, FILE_LIMIT + 1);
		saved = errno;
		close(fd);
		errno = saved;
	}
	if (n < 0) {
		g_set_error(error, CS_ERROR, CS_ERROR_IO,
		    "%s:0: file: can't be read (%s); check the path and its "
		    "permissions",
		    path, g_strerror(errno));
		return false;
	}
	if (n > FILE_LIMIT) {
		g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
		    "%s:0: file: has more than %d bytes; make it shorter", path,
		    FILE_LIMIT);
		return false;
	}
	buffer[n] = '\0';
	*text = g_steal_pointer(&buffer);
	*len = (size_t)n;
	return true;
}
