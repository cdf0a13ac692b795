#include <dlfcn.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform_world.h"

/*
 * Preloaded into an instance: stalls the iteration of its event loop that reads
 * a request with the field X-Stall, before the instance looks at the request.
 */
ssize_t
recv(int fd, void *data, size_t len, int flags)
{
	static ssize_t (*real)(int, void *, size_t, int);
	static const char field[] = "X-Stall";
	ssize_t n;

	if (real == NULL)
		real = (ssize_t(*)(int, void *, size_t, int))dlsym(
		    RTLD_NEXT, "recv");
	n = real(fd, data, len, flags);
	if (n > 0 && memmem(data, (size_t)n, field, sizeof(field) - 1) != NULL)
		usleep(STALL_MS * 1000);
	return n;
}
