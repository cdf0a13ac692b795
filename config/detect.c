#include "config/lists.h"
#include "yaml_reader.h"

bool
lists_detect(const char *file, const char *text, size_t len, file_kind_t *kind,
    GError **error)
{
	/* Keys that only one kind of file has, the most telling ones first. */
	static const struct {
		const char *key;
		file_kind_t kind;
	} marks[] = {
	    {"teams", FILE_PLANS},
	    {"plans", FILE_ALLOWANCES},
	    {"zones", FILE_ALLOWANCES},
	    {"services", FILE_ALLOWANCES},
	    {"instances", FILE_FLEET},
	    {"targets", FILE_FLEET},
	    {"instance", FILE_SETTINGS},
	    {"platform", FILE_SETTINGS},
	    {"fleet_secrets", FILE_SETTINGS},
	};
	g_autoptr(yaml_doc_t) doc = yaml_doc_read(file, text, len, error);

	if (doc == NULL)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(marks); i++) {
		if (map_find(doc->root, marks[i].key) != NULL) {
			*kind = marks[i].kind;
			return true;
		}
	}
	return node_refuse(doc->root, error, CS_ERROR_INVALID,
	    "is neither a list nor settings; write the keys of "
	    "cyclamensail-lists(5) or cyclamensail-settings(5)");
}
