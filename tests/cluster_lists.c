#include "cluster_internal.h"

/* No reader sees half of it. */
void
cluster_publish_file(cluster_t *cluster, const char *name, const char *text)
{
	g_autofree char *path = g_build_filename(cluster->folder, name, NULL);
	g_autoptr(GError) error = NULL;
	bool written = g_file_set_contents(path, text, -1, &error);

	ck_assert_msg(written, "%s", written ? "" : error->message);
}

void
cluster_append_key(GString *text, const char *id, const char *key)
{
	g_autofree char *hash =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

	g_string_append_printf(
	    text, "      - { id: %s, sha256: %s }\n", id, hash);
}

void
cluster_publish_plans(cluster_t *cluster)
{
	g_autoptr(GString) text = g_string_new(NULL);

	g_string_printf(text, "version: %" G_GUINT64_FORMAT "\nteams:\n",
	    ++cluster->versions[PLANS]);
	g_string_append(text,
	    "  - name: parish-nitra\n    plan: volunteer\n    home: stred\n"
	    "    keys:\n");
	cluster_append_key(text, "k1", PARISH_KEY);
	g_string_append(
	    text, "  - name: tag-desk\n    plan: desk\n    keys:\n");
	if (!cluster->desk_key_withdrawn)
		cluster_append_key(text, "k1", DESK_KEY);
	cluster_append_key(text, "spare", SPARE_KEY);
	g_string_append(
	    text, "  - name: guest-house\n    plan: small\n    keys:\n");
	cluster_append_key(text, "k1", GUEST_KEY);
	g_string_append(text, cluster->extra_team->str);
	cluster_publish_file(cluster, "plans.yaml", text->str);
}

/* Engines start with version v1 and role generate of model m. */
static char *
desired_text(const char *version)
{
	if (version == NULL)
		return g_strdup("");
	return g_strdup_printf(", fencing: refuse, desired: [\n"
			       "      { region: stred, model: m, version: %s, "
			       "adapters: [a], role: draft },\n"
			       "      { region: zapad, model: m, version: %s, "
			       "role: draft }]",
	    version, version);
}

void
cluster_publish_allowances(cluster_t *cluster)
{
	g_autofree char *desired = desired_text(cluster->engine_version);
	g_autofree char *parts =
	    cluster->plans_parts > 0
		? g_strdup_printf("plans_parts: %u\n", cluster->plans_parts)
		: g_strdup("");
	g_autofree char *text = g_strdup_printf(
	    "version: %" G_GUINT64_FORMAT "\n%s"
	    "weight_store: { region: zapad, loads_at_a_time: 2 }\n"
	    "zones:\n"
	    "  - { name: stred-1, region: stred, weight: 1 }\n"
	    "  - { name: zapad-1, region: zapad, weight: 1 }\n"
	    "services:\n"
	    "  - { name: epitaph-writer, kind: engine%s }\n"
	    "  - { name: tag-registry, kind: plain, orders: [/orders] }\n"
	    "  - { name: opening-hours, kind: plain, open: true }\n"
	    "plans:\n"
	    "  - { name: volunteer, rate: 100000, burst: 400000, priority: 1,\n"
	    "      use: [{ service: epitaph-writer, regions: [stred] }] }\n"
	    "  - { name: desk, rate: %d, burst: %d, priority: 0,\n"
	    "      use: [{ service: epitaph-writer, regions: [stred, zapad] "
	    "},\n"
	    "            { service: tag-registry, regions: [stred, zapad] }] "
	    "}\n"
	    "  - { name: small, rate: %d, burst: %d, priority: 2,\n"
	    "      use: [{ service: epitaph-writer, regions: [stred, zapad] }] "
	    "}\n",
	    ++cluster->versions[ALLOWANCES], parts, desired, cluster->desk_rate,
	    cluster->desk_burst, cluster->small_rate, cluster->small_burst);

	cluster_publish_file(cluster, "allowances.yaml", text);
}

static void
target_append(cluster_t *cluster, GString *text, node_t node, const char *zone,
    const char *service)
{
	if (cluster->absent[node])
		return;
	g_string_append_printf(text,
	    "  - { name: %s, zone: %s, service: %s, url: "
	    "\"http://127.0.0.1:%d\", slots: %d, state: %s }\n",
	    node_names[node], zone, service, cluster->ports[node],
	    cluster->engine_slots, cluster->leaving[node] ? "leaving" : "live");
}

/* Port at which others reach a process. */
static int
port_of(const tcp_relay_t *relay, int port)
{
	return relay ? tcp_relay_port(relay) : port;
}

void
cluster_publish_fleet(cluster_t *cluster)
{
	g_autoptr(GString) text = g_string_new(NULL);

	g_string_printf(text, "version: %" G_GUINT64_FORMAT "\ninstances:\n",
	    ++cluster->versions[FLEET]);
	for (int i = 0; i < NODE_INSTANCES; i++) {
		if (cluster->absent[i])
			continue;
		g_string_append_printf(text,
		    "  - { name: %s, zone: %s, http: 127.0.0.1:%d, peer: "
		    "127.0.0.1:%d, state: %s }\n",
		    node_names[i], i < NODE_Z1 ? "stred-1" : "zapad-1",
		    port_of(cluster->http_relays[i], cluster->ports[i]),
		    port_of(cluster->peer_relays[i], cluster->peer_ports[i]),
		    cluster->leaving[i] ? "leaving" : "live");
	}
	g_string_append(text, "targets:\n");
	target_append(cluster, text, NODE_W1, "stred-1", "epitaph-writer");
	target_append(cluster, text, NODE_W2, "stred-1", "epitaph-writer");
	target_append(cluster, text, NODE_W3, "zapad-1", "epitaph-writer");
	target_append(cluster, text, NODE_R1, "stred-1", "tag-registry");
	target_append(cluster, text, NODE_R2, "zapad-1", "tag-registry");
	cluster_publish_file(cluster, "fleet.yaml", text->str);
}

void
settings_write(cluster_t *cluster, node_t node)
{
	g_autofree char *name =
	    g_strdup_printf("%s-settings.yaml", node_names[node]);
	g_autofree char *text = g_strdup_printf(
	    "instance: %s\nzone: %s\nhttp: 127.0.0.1:%d\npeer: 127.0.0.1:%d\n"
	    "admin: 127.0.0.1:%d\n"
	    "platform: [\"http://127.0.0.1:%d\"]\nseeds: [\"127.0.0.1:%d\", "
	    "\"127.0.0.1:%d\"]\nfleet_secrets: "
	    "[0102030405060708090a0b0c0d0e0f10"
	    "1112131415161718191a1b1c1d1e1f20]\nlog_level: info\n",
	    node_names[node], node < NODE_Z1 ? "stred-1" : "zapad-1",
	    cluster->ports[node], cluster->peer_ports[node],
	    cluster->admin_ports[node],
	    port_of(
		cluster->platform_relays[node], cluster->ports[NODE_PLATFORM]),
	    port_of(
		cluster->peer_relays[NODE_S1], cluster->peer_ports[NODE_S1]),
	    port_of(
		cluster->peer_relays[NODE_Z1], cluster->peer_ports[NODE_Z1]));

	if (cluster->tls) {
		g_autofree char *pair =
		    g_strdup_printf("tls: { certificate: %s/tls.pem, key: "
				    "%s/tls.key%s%s%s }\n",
			cluster->folder, cluster->folder,
			cluster->no_authority[node] ? "" : ", authority: ",
			cluster->no_authority[node] ? "" : cluster->folder,
			cluster->no_authority[node] ? "" : "/tls.pem");
		g_autofree char *plain = text;

		text = g_strconcat(plain, pair, NULL);
	}
	cluster_publish_file(cluster, name, text);
}
