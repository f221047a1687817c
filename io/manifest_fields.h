/** The fields of the manifest: a table for each kind of section. */
#ifndef JD_IO_MANIFEST_FIELDS_H
#define JD_IO_MANIFEST_FIELDS_H

#include "core/manifest.h"
#include "io/field.h"

enum manifest_section {
	SECTION_DATA_CENTRE,
	SECTION_ORGANISATION,
	SECTION_ROUTE,
	SECTION_COUNT,
};

extern const struct field_table manifest_sections[SECTION_COUNT];

/** Adds a struct with default values to the section; owned by @m. */
void *manifest_add(struct manifest *m, enum manifest_section s);

/** The struct called @name; NULL if there is none. */
const void *manifest_find(const struct manifest *m, enum manifest_section s,
			  const char *name);

/** The struct after @pos, the first one if NULL; NULL at the end. */
const void *manifest_next(const struct manifest *m, enum manifest_section s,
			  const void *pos);

#endif
