/** Answers of a faulty upstream, written to the socket past evhttp. */
#ifndef JD_FAKES_FAULTY_ANSWER_H
#define JD_FAKES_FAULTY_ANSWER_H

#include <event2/http.h>
#include <stdbool.h>

#include "core/rng.h"

/** What a faulty upstream does with some of its answers. */
enum answer_fault {
	ANSWER_SOUND,
	ANSWER_REPEATS_REFUSAL, /* once more on the same connection */
	ANSWER_CUT,		/* closes within the head */
	ANSWER_ENDLESS,		/* bytes go on in the head or the body */
	ANSWER_FAULT_COUNT,
};

const char *answer_fault_name(enum answer_fault f);

/** Writes the refusal of the request @id as the answer to @req. */
void faulty_answer_refuse(struct evhttp_request *req, const char *id);
/** Writes a part of the head of a success; the caller closes. */
void faulty_answer_cut(struct evhttp_request *req, const char *id,
		       struct rng *rng);
/** Starts an answer without end. */
void faulty_answer_start(struct evhttp_request *req, const char *id,
			 struct rng *rng);
/** Continues it; call this again and again. False once the caller closed. */
bool faulty_answer_continue(struct evhttp_request *req);

#endif
