#include "common/packing.h"

#include <string.h>
#include <xxhash.h>
#include <zstd.h>

#include "common/error.h"

#define LEVEL 3

typedef struct {
	GBytes *bytes;
	char digest[PACKING_DIGEST_BYTES];
} document_t;

typedef struct {
	GBytes *bytes;
	char document[PACKING_DIGEST_BYTES];
	char base[PACKING_DIGEST_BYTES]; /* "": none */
} frame_t;

struct packing {
	size_t limit;
	GQueue documents; /* document_t, newest first */
	GQueue frames;	  /* frame_t, last used first */
};

void
packing_digest(GBytes *document, char digest[PACKING_DIGEST_BYTES])
{
	gsize len;
	const void *text = g_bytes_get_data(document, &len);

	g_snprintf(digest, PACKING_DIGEST_BYTES, "%016" G_GINT64_MODIFIER "x",
	    (guint64)XXH64(text, len, 0));
}

void
packing_base_set(packing_base_t *base, GBytes *document)
{
	if (base->document != NULL)
		g_bytes_unref(base->document);
	*base = (packing_base_t){0};
	if (document == NULL)
		return;
	base->document = g_bytes_ref(document);
	packing_digest(document, base->digest);
}

/* The window has to reach back over the whole base. */
static int
window_log(size_t len)
{
	int log = 10;

	while (log < 24 && ((size_t)1 << log) < len)
		log++;
	return log;
}

GBytes *
packing_pack(GBytes *document, GBytes *base)
{
	gsize len;
	gsize base_len = 0;
	const void *text = g_bytes_get_data(document, &len);
	const void *base_text = base ? g_bytes_get_data(base, &base_len) : NULL;
	ZSTD_CCtx *context = ZSTD_createCCtx();
	size_t size = ZSTD_compressBound(len);
	void *frame = g_malloc(size);
	size_t n;

	ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, LEVEL);
	ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
	ZSTD_CCtx_setParameter(
	    context, ZSTD_c_windowLog, window_log(len + base_len));
	if (base_len > 0)
		ZSTD_CCtx_refPrefix(context, base_text, base_len);
	n = ZSTD_compress2(context, frame, size, text, len);
	ZSTD_freeCCtx(context);
	if (ZSTD_isError(n)) {
		g_free(frame);
		return NULL;
	}
	return g_bytes_new_take(g_realloc(frame, n), n);
}

GBytes *
packing_unpack(
    const void *frame, size_t len, GBytes *base, size_t limit, GError **error)
{
	gsize base_len = 0;
	const void *base_text = base ? g_bytes_get_data(base, &base_len) : NULL;
	unsigned long long size = ZSTD_getFrameContentSize(frame, len);
	ZSTD_DCtx *context;
	void *text;
	size_t n;

	if (size == ZSTD_CONTENTSIZE_UNKNOWN ||
	    size == ZSTD_CONTENTSIZE_ERROR) {
		g_set_error(error, CS_ERROR, CS_ERROR_SYNTAX,
		    "not a frame with a length");
		return NULL;
	}
	if (size > limit) {
		g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
		    "larger than %zu bytes", limit);
		return NULL;
	}
	context = ZSTD_createDCtx();
	if (base_len > 0)
		ZSTD_DCtx_refPrefix(context, base_text, base_len);
	text = g_malloc(size + 1);
	n = ZSTD_decompressDCtx(context, text, size, frame, len);
	ZSTD_freeDCtx(context);
	if (ZSTD_isError(n) || n != size) {
		g_free(text);
		g_set_error(error, CS_ERROR, CS_ERROR_SYNTAX, "%s",
		    ZSTD_isError(n) ? ZSTD_getErrorName(n) : "truncated");
		return NULL;
	}
	return g_bytes_new_take(text, n);
}

static void
document_free(gpointer data)
{
	document_t *document = data;

	g_bytes_unref(document->bytes);
	g_free(document);
}

static void
frame_free(gpointer data)
{
	frame_t *frame = data;

	g_bytes_unref(frame->bytes);
	g_free(frame);
}

packing_t *
packing_create(size_t limit)
{
	packing_t *packing = g_new0(packing_t, 1);

	packing->limit = limit;
	return packing;
}

void
packing_destroy(packing_t *packing)
{
	g_queue_clear_full(&packing->documents, document_free);
	g_queue_clear_full(&packing->frames, frame_free);
	g_free(packing);
}

static size_t
bases_bytes(const packing_t *packing)
{
	size_t sum = 0;

	for (const GList *item = packing->documents.head; item != NULL;
	     item = item->next) {
		const document_t *document = item->data;

		if (item != packing->documents.head)
			sum += g_bytes_get_size(document->bytes);
	}
	return sum;
}

void
packing_put(packing_t *packing, GBytes *bytes)
{
	document_t *document = g_new0(document_t, 1);

	document->bytes = g_bytes_ref(bytes);
	packing_digest(bytes, document->digest);
	g_queue_push_head(&packing->documents, document);
	while (packing->documents.length > 1 + PACKING_BASES ||
	       bases_bytes(packing) > packing->limit)
		document_free(g_queue_pop_tail(&packing->documents));
	g_queue_clear_full(&packing->frames, frame_free);
}

GBytes *
packing_newest(const packing_t *packing)
{
	const document_t *document =
	    g_queue_peek_head((GQueue *)&packing->documents);

	return document ? document->bytes : NULL;
}

static const document_t *
base_find(const packing_t *packing, const char *digest)
{
	for (const GList *item = packing->documents.head;
	     digest != NULL && item != NULL; item = item->next) {
		const document_t *document = item->data;

		if (strcmp(document->digest, digest) == 0)
			return document;
	}
	return NULL;
}

static GBytes *
frame_find(const packing_t *packing, const char *document, const char *base)
{
	for (const GList *item = packing->frames.head; item != NULL;
	     item = item->next) {
		const frame_t *frame = item->data;

		if (strcmp(frame->document, document) == 0 &&
		    strcmp(frame->base, base) == 0)
			return frame->bytes;
	}
	return NULL;
}

GBytes *
packing_frame(
    packing_t *packing, GBytes *document, const char *digest, bool *relative)
{
	const document_t *base = base_find(packing, digest);
	char own[PACKING_DIGEST_BYTES];
	GBytes *bytes;
	frame_t *frame;

	*relative = base != NULL;
	packing_digest(document, own);
	bytes = frame_find(packing, own, base ? base->digest : "");
	if (bytes != NULL)
		return g_bytes_ref(bytes);
	bytes = packing_pack(document, base ? base->bytes : NULL);
	if (bytes == NULL)
		return NULL;
	frame = g_new0(frame_t, 1);
	frame->bytes = g_bytes_ref(bytes);
	g_strlcpy(frame->document, own, sizeof(frame->document));
	if (base != NULL)
		g_strlcpy(frame->base, base->digest, sizeof(frame->base));
	g_queue_push_head(&packing->frames, frame);
	if (packing->frames.length > PACKING_FRAMES)
		frame_free(g_queue_pop_tail(&packing->frames));
	return bytes;
}

static GBytes *
text_decode(const char *text)
{
	gsize len = 0;
	guchar *data = g_base64_decode(text, &len);

	return g_bytes_new_take(data, len);
}

static char *
text_encode(GBytes *bytes)
{
	return g_base64_encode(
	    g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));
}

char *
packing_frame_text(
    packing_t *packing, const char *text, const char *base, bool *relative)
{
	g_autoptr(GBytes) document = text_decode(text);
	g_autoptr(GBytes) frame =
	    packing_frame(packing, document, base, relative);

	return frame ? text_encode(frame) : NULL;
}

char *
packing_unpack_text(const char *text, const char *digest,
    const packing_base_t *base, size_t limit, GError **error)
{
	g_autoptr(GBytes) frame = text_decode(text);
	g_autoptr(GBytes) document = NULL;

	if (digest != NULL && strcmp(digest, base->digest) != 0) {
		g_set_error(error, CS_ERROR, CS_ERROR_CONFLICT,
		    "refers to another base");
		return NULL;
	}
	document = packing_unpack(g_bytes_get_data(frame, NULL),
	    g_bytes_get_size(frame), digest ? base->document : NULL, limit,
	    error);
	return document ? text_encode(document) : NULL;
}

size_t
packing_bytes(const packing_t *packing)
{
	GBytes *newest = packing_newest(packing);
	size_t sum = bases_bytes(packing);

	if (newest != NULL)
		sum += g_bytes_get_size(newest);
	for (const GList *item = packing->frames.head; item != NULL;
	     item = item->next)
		sum += g_bytes_get_size(((const frame_t *)item->data)->bytes);
	return sum;
}
