/* SPDX-License-Identifier: Apache-2.0
 *
 * Model of a server list: discovery reports one server to one proxy over a watch, by changes and by full lists; lines are
 * garbled or repeated, watches break, and the proxy restarts with its last list. Checked with SPIN; see check.sh.
 *
 * A MUTATION removes one guard; each must violate the property named next to it:
 *
 *   1  a garbled line is skipped, and its watch continues        no_divergence
 *   2  a restarted proxy uses only its cached list               kept_up
 *   3  requests are still sent to a draining server              drains_kept
 *   4  a change older than the known revision is applied         never_back
 *   5  a broken watch is not opened again                        kept_up
 *   6  a new watch starts at revision 0, and applies the old changes to the present state            no_divergence
 */
#ifndef MUTATION
#define MUTATION 0
#endif
#define MOST 4 /* revisions */
#define READY 0
#define DRAINING 1
#define GONE 2

/* Discovery: state of the server at each revision. */
byte revision = 0;
byte phase[5];

/* The watch, and the one line in transit. */
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
     /* A delta holds only what differs between the two revisions. */
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
  /* A watch starts at the requested revision, with the changes since then or with a full list. */
  :: atomic { asks && !watch -> watch = true; asks = false; line = true; again = false; to = revision; told = revision;
       asked = (MUTATION == 6 -> 0 : known); from = asked;
       if :: !has_list -> whole = true :: has_list -> whole = true :: has_list -> whole = false fi }
  :: atomic { watch && !line && told < revision -> line = true; again = false; whole = false; from = told; to = revision; told = revision }
  /* An agent that lost its position repeats an old line. */
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
/* The proxy watches or is about to; once all revisions were sent, it knows the latest. */
ltl kept_up { [] (watch || asks) && [] ((watch && !line && told == revision) -> known == revision) }
