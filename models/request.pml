/* SPDX-License-Identifier: Apache-2.0
 *
 * Model of one request at one proxy: attempts, timeouts, answers that cross them, connections that break before and after the
 * last byte was written, a client that disconnects, a restart of the proxy. Checked with SPIN; see check.sh.
 *
 * Balancer and environment are separate, as in the code: the balancer is told how attempts end and decides; it never reads the
 * state of the environment (ran, runs, remembers). The printed trace is replayed against the real Balancer by the bridge test.
 *
 * EFFECT is 0 safe, 1 keyed, 2 unsafe. A MUTATION removes one guard; each must violate the property named next to it:
 *
 *   1  a reset is taken as proof that the attempt never ran, after the last byte   no_effect_twice
 *   2  an attempt is sent while another is outstanding                             one_at_once
 *   3  an answer that arrives after the final one is passed on                     one_answer
 *   4  a key is retried after its deduplication window                             no_effect_twice
 *   5  the failure of the last attempt is not reported to the client               answered
 *   6  a timeout is taken as proof that the attempt never ran                      no_effect_twice
 *   7  a restarted proxy resumes the request that it had sent                      no_effect_twice
 *   8  the window has no margin: an attempt may be read after the key expired      no_effect_twice
 */
#ifndef EFFECT
#define EFFECT 2
#endif
#ifndef MUTATION
#define MUTATION 0
#endif
#ifndef QUIET
#define QUIET 0 /* 1, for longer traces: no client disconnects and no proxy dies */
#endif
#define SAFE 0
#define KEYED 1
#define UNSAFE 2
#define MOST 3 /* attempts; a fourth adds states but no new kind of state */

/* State of the environment. */
byte runs = 0;              /* times that the effect took place */
byte out = 0;               /* attempts on open connections */
byte late = 0;              /* answers in transit that nobody waits for any more */
bool remembers = false;     /* the group deduplicates the key */
byte answers = 0;           /* final answers given to the client */
bool client_waits = true, over = false;

/* The outstanding attempt, as seen by its server. */
bool written, ran;

/* State of the balancer. */
bool finished = false, outstanding = false, may_have_run = false, window_over = false;
byte attempts = 0;

#define MAY_SEND (attempts < MOST && \
  (!may_have_run || EFFECT == SAFE || (EFFECT == KEYED && (!window_over || MUTATION == 4))))

inline Answer() { answers++; finished = true }

inline Send() {
  printf("send\n");
  attempts++; out++;
  outstanding = true;
  written = false; ran = false
}

/* The server executes the request: once for all attempts while the group remembers the key. */
inline Run() {
  ran = true;
  if
  :: EFFECT == KEYED && remembers
  :: else -> runs++; remembers = (EFFECT == KEYED)
  fi
}

/* An attempt has ended without a usable answer. */
inline Again(proves_it_never_ran) {
  out--;
  outstanding = (out > 0);
  if :: !(proves_it_never_ran) -> may_have_run = true :: else fi;
  if
  :: finished
  :: !finished && MAY_SEND -> Send()
  :: !finished && !MAY_SEND -> 
     printf("gives_up\n");
     if :: MUTATION == 5 && attempts == MOST -> finished = true :: else -> Answer() fi
  fi
}

active proctype World() {
  atomic { printf("effect %d\n", EFFECT); Send() }
  do
  :: atomic { outstanding && !written -> written = true }
  :: atomic { outstanding && written && !ran -> Run() }
  :: atomic { outstanding && !written -> printf("end connect_failed\n"); Again(true) }
  :: atomic { outstanding && written && !ran -> printf("end full\n"); Again(true) }
  :: atomic { outstanding && written && ran -> printf("end ok\n");
       out--; outstanding = (out > 0);
       if :: !finished -> Answer() :: else fi }
  :: atomic { outstanding && written && ran -> printf("end error\n"); Again(false) }
  /* A server that breaks a connection may have run the request, may run it later, or never. */
  :: atomic { outstanding && written -> printf("end reset\n");
       if :: !ran -> if :: Run() :: true fi :: else fi;
       Again(MUTATION == 1) }
  /* A timeout closes the connection: the answer may be in transit, and the work may still begin. */
  :: atomic { outstanding && written -> printf("end timeout\n");
       if :: !ran -> if :: Run() :: true fi :: else fi;
       late = 1;
       Again(MUTATION == 6) }
  :: atomic { late > 0 -> late = 0;
       if :: MUTATION == 3 && finished && client_waits -> Answer() :: else fi }
  /* A second attempt in parallel with the first. */
  :: atomic { MUTATION == 2 && outstanding && out == 1 && !finished && attempts < MOST -> Send() }
  :: atomic { !QUIET && client_waits && !finished -> printf("gone\n"); client_waits = false; finished = true }
  :: atomic { EFFECT == KEYED && remembers && !window_over -> printf("window\n"); window_over = true }
  /* The balancer stops a tenth of the window early, so that what was sent in time is read before the group forgets the key. */
  :: atomic { window_over && remembers && (out == 0 || ran || MUTATION == 8) -> remembers = false }
  /* The proxy dies and its connections close. The client gets no answer, and may treat that as final. */
  :: atomic { !QUIET && !finished && outstanding -> printf("dies\n");
       if :: written && !ran -> if :: Run() :: true fi :: else fi;
       out = 0; outstanding = false;
       if
       :: MUTATION == 7 && attempts < MOST -> Send()
       :: MUTATION != 7 || attempts == MOST -> finished = true; client_waits = false
       fi }
  :: atomic { finished && out == 0 && late == 0 -> over = true; break }
  od
}

/* A request has no answer if its client disconnected or its proxy died; all others have exactly one. */
ltl one_answer { [] (answers <= 1) }
ltl answered { [] (over -> (answers == 1 || !client_waits)) }
ltl ends { <> over }
ltl one_at_once { [] (out <= 1) }
ltl no_effect_twice { [] (EFFECT == SAFE || runs <= 1) }
