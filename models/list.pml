/* SPDX-License-Identifier: Apache-2.0
 *
 * The life of a list: discovery tells one proxy of one server over a watch, by changes and by whole lists; lines come garbled
 * or again, watches break, the proxy restarts with the last list it had. Checked with SPIN: see check.sh.
 *
 * A MUTATION takes one guard away; each must be found by the property named with it:
 *
 *   1  a garbled line is passed over, and its watch goes on      no_divergence
 *   2  a restarted proxy goes by its cached list alone           kept_up
 *   3  a server that drains is still sent to                     drains_kept
 *   4  a change older than what is known is taken                never_back
 *   5  a watch that broke is not opened again                    kept_up
 *   6  a new watch asks from its beginning, and takes what it is told for changes of the present     no_divergence
 */
#ifndef MUTATION
#define MUTATION 0
#endif
#define MOST 4 /* revisions */
#define READY 0
#define DRAINING 1
#define GONE 2

/* Discovery: what the server was at each revision. */
byte revision = 0;
byte phase[5];

/* The watch, and the one line that is on its way. */
bool watch = false, line = false, whole, again;
byte from, to, told = 0;

/* The proxy. */
byte known = 0, known_phase = GONE;
bool has_list = false, asks = true;
bool went_back = false, diverged = false, sent_to_draining = false;
byte restarts = 0, breaks = 0, repeats = 0, asked = 0;

inline Lose() { watch = false; line = false; asks = (MUTATION != 5) }

inline Take() {
  line = false;
  if
  :: whole -> known = to; known_phase = phase[to]; has_list = true; printf("full %d\n", known_phase)
  :: !whole && to < known && MUTATION != 4 -> printf("ignored\n")
  :: !whole && !(to < known && MUTATION != 4) ->
     if :: to < known -> went_back = true :: else fi;
     /* It holds what differs between the two, and nothing of a server that did not change. */
     if :: phase[to] != phase[from] -> known_phase = phase[to]; printf("delta %d\n", known_phase) :: else fi;
     known = to
  fi;
  if :: known_phase != phase[known] -> diverged = true :: else fi
}

active proctype World() {
  phase[0] = READY;
  do
  :: atomic { revision < MOST ->
       if :: phase[revision + 1] = READY :: phase[revision + 1] = DRAINING :: phase[revision + 1] = GONE fi;
       revision++ }
  /* A watch begins from the revision that it is asked from: with what changed since, or with the whole list. */
  :: atomic { asks && !watch -> watch = true; asks = false; line = true; again = false; to = revision; told = revision;
       asked = (MUTATION == 6 -> 0 : known); from = asked;
       if :: !has_list -> whole = true :: has_list -> whole = true :: has_list -> whole = false fi }
  :: atomic { watch && !line && told < revision -> line = true; again = false; whole = false; from = told; to = revision; told = revision }
  /* An agent that has lost its place says an old line again. */
  :: atomic { watch && !line && has_list && known > 0 && repeats < 1 -> repeats++; line = true; again = true; whole = false; from = known - 1; to = known - 1 }
  :: atomic { line -> Take() }
  :: atomic { line && breaks < 2 -> breaks++;
       if :: MUTATION == 1 -> line = false :: else -> Lose() fi }
  :: atomic { watch && breaks < 2 -> breaks++; Lose() }
  :: atomic { has_list && restarts < 1 -> restarts++; watch = false; line = false; asks = (MUTATION != 2); printf("restart %d\n", known_phase) }
  :: atomic { has_list && (known_phase == READY || (MUTATION == 3 && known_phase == DRAINING)) ->
       if :: known_phase == DRAINING -> sent_to_draining = true :: else fi;
       printf("sends\n") }
  :: atomic { has_list && known_phase != READY && MUTATION != 3 -> printf("sends_not\n") }
  od
}

ltl never_back { [] !went_back }
ltl no_divergence { [] !diverged }
ltl drains_kept { [] !sent_to_draining }
/* It watches or is about to; and once it has been told all, it knows the present. */
ltl kept_up { [] (watch || asks) && [] ((watch && !line && told == revision) -> known == revision) }
