#include "cluster_internal.h"

#include <stdio.h>

/* The inode of the client's socket of a connection on loopback, or 0. */
static unsigned long
socket_inode(int client_port, int relay_port)
{
	char line[512];
	unsigned long found = 0;
	FILE *file = fopen("/proc/self/net/tcp", "re");

	while (found == 0 && file != NULL &&
	       fgets(line, sizeof(line), file) != NULL) {
		unsigned int local;
		unsigned int remote;
		unsigned long inode;

		if (sscanf(line,
			"%*d: %*8x:%x %*8x:%x %*x %*x:%*x %*x:%*x %*x %*d %*d "
			"%lu",
			&local, &remote, &inode) == 3 &&
		    (int)local == client_port && (int)remote == relay_port)
			found = inode;
	}
	if (file != NULL)
		fclose(file);
	return found;
}

static bool
process_holds_socket(pid_t pid, unsigned long inode)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	g_autofree char *wanted = g_strdup_printf("socket:[%lu]", inode);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;
	bool found = false;

	while (!found && dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *fd = g_build_filename(path, name, NULL);
		g_autofree char *link = g_file_read_link(fd, NULL);

		found = g_strcmp0(link, wanted) == 0;
	}
	if (dir != NULL)
		g_dir_close(dir);
	return found;
}

/* The instance that opened a connection; all use the same address. */
static int
connection_source(void *user, int client_port, int relay_port)
{
	const cluster_t *cluster = user;
	unsigned long inode = socket_inode(client_port, relay_port);

	for (int i = 0; inode != 0 && i < NODE_INSTANCES; i++) {
		if (cluster->pids[i] > 0 &&
		    process_holds_socket(cluster->pids[i], inode))
			return i;
	}
	return NODE_COUNT;
}

void
cluster_relay(cluster_t *cluster)
{
	for (int i = 0; i < NODE_INSTANCES; i++) {
		cluster->http_relays[i] = tcp_relay_create(
		    cluster->ports[i], connection_source, cluster);
		cluster->peer_relays[i] = tcp_relay_create(
		    cluster->peer_ports[i], connection_source, cluster);
		cluster->platform_relays[i] =
		    tcp_relay_create(cluster->ports[NODE_PLATFORM], NULL, NULL);
	}
	cluster_publish_fleet(cluster);
}

void
cluster_link(cluster_t *cluster, node_t a, node_t b, tcp_relay_mode_t mode)
{
	tcp_relay_set(cluster->http_relays[a], (int)b, mode);
	tcp_relay_set(cluster->peer_relays[a], (int)b, mode);
	tcp_relay_set(cluster->http_relays[b], (int)a, mode);
	tcp_relay_set(cluster->peer_relays[b], (int)a, mode);
}

void
cluster_link_zones(cluster_t *cluster, tcp_relay_mode_t mode)
{
	for (int a = NODE_S1; a <= NODE_S2; a++) {
		for (int b = NODE_Z1; b <= NODE_Z2; b++)
			cluster_link(cluster, (node_t)a, (node_t)b, mode);
	}
}

void
cluster_link_platform(cluster_t *cluster, node_t node, tcp_relay_mode_t mode)
{
	tcp_relay_set(cluster->platform_relays[node], 0, mode);
}
