#include "common/error.h"

/* G_DEFINE_QUARK keeps its result in a variable that threads write unlocked. */
GQuark
cs_error_quark(void)
{
	return g_quark_from_static_string("cs-error-quark");
}
