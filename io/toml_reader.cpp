#include <stdexcept>

/*
 * Some invalid texts, such as "[\x01", fail an assertion of the library, which
 * aborts in a debug build and is undefined behaviour with NDEBUG. Here a failed
 * assertion throws, and toml_read() reports it as a finding.
 */
[[noreturn]] static void assertion_failed()
{
	throw std::logic_error("assertion");
}
#undef NDEBUG
#define TOML_ASSERT(expr) ((expr) ? static_cast<void>(0) : assertion_failed())
#include <toml++/toml.h>

#include <cstdlib>
#include <cstring>
#include <string>

extern "C" {
#include "core/mem.h"
}
#include "io/toml_reader.h"

namespace
{

char *copy(const std::string &s)
{
	return static_cast<char *>(mem_dup(s.data(), s.size()));
}

void add_value(struct toml_text *out, const std::string &path,
	       const toml::node &node)
{
	auto *v = static_cast<struct toml_value *>(
		mem_zalloc(1, sizeof(struct toml_value)));
	std::string text;

	v->type = TOML_OTHER;
	if (const auto *s = node.as_string()) {
		v->type = TOML_STRING;
		text = s->get();
	} else if (const auto *i = node.as_integer()) {
		v->type = TOML_INTEGER;
		v->integer = i->get();
		text = std::to_string(v->integer);
	} else if (const auto *b = node.as_boolean()) {
		v->type = TOML_BOOLEAN;
		v->boolean = b->get();
		text = v->boolean ? "true" : "false";
	} else if (node.is_table()) {
		v->type = TOML_TABLE;
		text = "a table";
	} else if (node.is_array()) {
		v->type = TOML_ARRAY;
		text = "an array";
	} else {
		text = "a value of another type";
	}
	v->path = copy(path);
	v->text = copy(text);
	v->line = static_cast<int>(node.source().begin.line);
	v->column = static_cast<int>(node.source().begin.column);
	list_push_back(&out->values, &v->link);
}

void flatten(struct toml_text *out, const std::string &path,
	     const toml::node &node)
{
	if (!path.empty())
		add_value(out, path, node);
	if (const auto *table = node.as_table()) {
		for (const auto &[key, child] : *table) {
			std::string name(key.str());
			flatten(out, path.empty() ? name : path + "." + name,
				child);
		}
	} else if (const auto *array = node.as_array()) {
		size_t i = 0;
		for (const auto &child : *array)
			flatten(out, path + "[" + std::to_string(i++) + "]",
				child);
	}
}

void add_syntax_finding(struct findings *f, const char *file, uint32_t line,
			uint32_t column, const char *found)
{
	struct finding_opts o = {};

	o.file = file;
	o.line = static_cast<int>(line);
	o.column = static_cast<int>(column);
	o.field = "(syntax)";
	o.expected = "TOML";
	o.found = found;
	findings_add(f, &o);
}

} // namespace

extern "C" struct toml_text *toml_read(const char *file, const char *text,
				       struct findings *f)
{
	auto *out = static_cast<struct toml_text *>(
		mem_zalloc(1, sizeof(struct toml_text)));

	out->file = copy(file);
	list_init(&out->values);
	try {
		toml::table root = toml::parse(std::string_view(text));
		flatten(out, "", root);
		return out;
	} catch (const toml::parse_error &e) {
		std::string reason(e.description());
		auto position = e.source().begin;

		add_syntax_finding(f, file, position.line, position.column,
				   reason.c_str());
	} catch (const std::logic_error &) {
		add_syntax_finding(f, file, 0, 0,
				   "text that is not valid TOML");
	}
	toml_delete(out);
	return nullptr;
}

extern "C" void toml_delete(struct toml_text *t)
{
	struct list *l;

	if (!t)
		return;
	while (!list_empty(&t->values)) {
		l = t->values.next;
		auto *v = list_entry(l, struct toml_value, link);
		list_remove(l);
		free(v->path);
		free(v->text);
		free(v);
	}
	free(t->file);
	free(t);
}

extern "C" const struct toml_value *toml_find(const struct toml_text *t,
					      const char *path)
{
	for (struct list *l = t->values.next; l != &t->values; l = l->next) {
		auto *v = list_entry(l, struct toml_value, link);

		if (!strcmp(v->path, path))
			return v;
	}
	return nullptr;
}
