#include "common/error.h"

G_DEFINE_QUARK(cs - error - quark, cs_error)
