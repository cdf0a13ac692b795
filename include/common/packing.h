#ifndef COMMON_PACKING_H
#define COMMON_PACKING_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Compressed copies of documents, as Zstandard frames (RFC 8878) with a
 * checksum. A frame may refer to an older document, its base, as a dictionary;
 * it then holds little more than what has changed. Readers name their base by
 * its digest.
 *
 * Load pattern: a document of 1 MB of which a few hundred bytes change every
 * second, sent to dozens of readers that mostly have the one before.
 */

#define PACKING_DIGEST_BYTES 17 /* with the terminating NUL */

/* Not cryptographic (XXH64): readers and senders trust each other. */
void packing_digest(GBytes *document, char digest[PACKING_DIGEST_BYTES]);

/* The document that a reader has while an answer may refer to it. */
typedef struct {
	GBytes *document;		   /* NULL: none */
	char digest[PACKING_DIGEST_BYTES]; /* "": none */
} packing_base_t;

/* document NULL: clears it. */
void packing_base_set(packing_base_t *base, GBytes *document);

/* base NULL: none. Returns NULL if the document can't be compressed. */
GBytes *packing_pack(GBytes *document, GBytes *base);

/*
 * Restores a document of at most limit bytes. base: that of the frame, or NULL.
 * Returns NULL and sets error when the frame is damaged, too large, or of
 * another base.
 */
GBytes *packing_unpack(
    const void *frame, size_t len, GBytes *base, size_t limit, GError **error);

/*
 * The newest document and some before it, as bases, and the frames that were
 * made of them. limit: bytes of the older documents, at most PACKING_BASES.
 */
#define PACKING_BASES 7
#define PACKING_FRAMES 8

typedef struct packing packing_t;

packing_t *packing_create(size_t limit);
void packing_destroy(packing_t *packing);

void packing_put(packing_t *packing, GBytes *document);

/* NULL: there is none. */
GBytes *packing_newest(const packing_t *packing);

/*
 * Returns a frame of the document, which needn't be one of those held. It
 * refers to the base with this digest if that is held; *relative tells. base
 * NULL: the reader has none. Returns NULL if it can't be compressed.
 */
GBytes *packing_frame(
    packing_t *packing, GBytes *document, const char *base, bool *relative);

/*
 * The same of a document in base64, as text in base64. NULL: it can't be
 * compressed. Free the result.
 */
char *packing_frame_text(
    packing_t *packing, const char *document, const char *base, bool *relative);

/*
 * Restores a document from such text, in base64. digest: of the base that the
 * frame refers to, which has to be the reader's; NULL: none.
 */
char *packing_unpack_text(const char *frame, const char *digest,
    const packing_base_t *base, size_t limit, GError **error);

/* Returns the bytes of the documents and frames that are held. */
size_t packing_bytes(const packing_t *packing);

#endif
