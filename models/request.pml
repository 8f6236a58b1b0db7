/* SPDX-License-Identifier: Apache-2.0
 *
 * The life of one request at one proxy: attempts, time-outs, answers that cross them, connections that break before and after
 * the last byte was written, a client that leaves, a restart of the proxy. Checked with SPIN: see check.sh.
 *
 * The module and the world are apart, as in the code: the module hears of ends and decides, and never looks at what the world
 * knows (ran, runs, remembers). What is printed is what the bridge replays against the real module.
 *
 * EFFECT is 0 safe, 1 keyed, 2 unsafe. A MUTATION takes one guard away; each must be found by the property named with it:
 *
 *   1  a reset is taken for never having run, though the last byte was written     no_effect_twice
 *   2  an attempt is sent while one is out                                         one_at_once
 *   3  an answer that comes after the final one is passed on                       one_answer
 *   4  a key is repeated when its window is over                                   no_effect_twice
 *   5  the failure of the last attempt is told nobody                              answered
 *   6  an attempt that timed out is taken for one that never ran                   no_effect_twice
 *   7  a restarted proxy takes up the request that it had sent                     no_effect_twice
 *   8  the window has no margin: an attempt may be read after the group forgot     no_effect_twice
 */
#ifndef EFFECT
#define EFFECT 2
#endif
#ifndef MUTATION
#define MUTATION 0
#endif
#ifndef QUIET
#define QUIET 0 /* 1, for walks that get farther: no client leaves and no proxy dies */
#endif
#define SAFE 0
#define KEYED 1
#define UNSAFE 2
#define MOST 3 /* attempts; a fourth adds states and no kind of them */

/* The world's truth. */
byte runs = 0;              /* times that the effect took place */
byte out = 0;               /* attempts on open connections */
byte late = 0;              /* answers on their way that nobody waits for any more */
bool remembers = false;     /* the group drops a repeat of the key */
byte answers = 0;           /* final answers that the client was given */
bool client_waits = true, over = false;

/* The attempt that is out, as its server sees it. */
bool written, ran;

/* The module's knowledge. */
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

/* The server does the work: once for all attempts while the group remembers the key. */
inline Run() {
  ran = true;
  if
  :: EFFECT == KEYED && remembers
  :: else -> runs++; remembers = (EFFECT == KEYED)
  fi
}

/* An attempt has ended without an answer that counts. */
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
  /* A server that breaks a connection may have run what came on it, or not, or run it yet. */
  :: atomic { outstanding && written -> printf("end reset\n");
       if :: !ran -> if :: Run() :: true fi :: else fi;
       Again(MUTATION == 1) }
  /* Given up by closing the connection: the answer may be on its way, and the work may begin all the same. */
  :: atomic { outstanding && written -> printf("end timeout\n");
       if :: !ran -> if :: Run() :: true fi :: else fi;
       late = 1;
       Again(MUTATION == 6) }
  :: atomic { late > 0 -> late = 0;
       if :: MUTATION == 3 && finished && client_waits -> Answer() :: else fi }
  /* A second attempt beside the first. */
  :: atomic { MUTATION == 2 && outstanding && out == 1 && !finished && attempts < MOST -> Send() }
  :: atomic { !QUIET && client_waits && !finished -> printf("gone\n"); client_waits = false; finished = true }
  :: atomic { EFFECT == KEYED && remembers && !window_over -> printf("window\n"); window_over = true }
  /* The module stops a tenth of the window early: by the time that the group forgets, what was sent in time has been read. */
  :: atomic { window_over && remembers && (out == 0 || ran || MUTATION == 8) -> remembers = false }
  /* The proxy dies: its connections close. The client is told nothing, which it may take for an end. */
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

/* A request that its client left, or that died with its proxy, has no answer; all others have one. */
ltl one_answer { [] (answers <= 1) }
ltl answered { [] (over -> (answers == 1 || !client_waits)) }
ltl ends { <> over }
ltl one_at_once { [] (out <= 1) }
ltl no_effect_twice { [] (EFFECT == SAFE || runs <= 1) }
