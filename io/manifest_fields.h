/** The tables of the manifest's fields: one for each kind of section. */
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

/** A new struct of the section, with its defaults. */
void *manifest_add(struct manifest *m, enum manifest_section s);

/** The struct of that name; NULL for none. */
const void *manifest_find(const struct manifest *m, enum manifest_section s,
			  const char *name);

/** The first of the section after @pos (NULL to start); NULL at the end. */
const void *manifest_next(const struct manifest *m, enum manifest_section s,
			  const void *pos);

#endif
