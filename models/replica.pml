/* SPDX-License-Identifier: Apache-2.0
 *
 * Three copies of one origin's entries: its own (0) and two others (1, 2). The origin writes a claim (1), releases it (2), and
 * writes another claim (3). Intervals are exchanged between all copies; they may be lost (nothing happens) or duplicated, and one
 * may be delayed for any time. Copy 1, the donor, may die and restart empty; copy 2 has to choose another donor then. The claim
 * and its release expire at the same moment.
 * Checked with SPIN: see check.sh.
 *
 * Every step adds to the knowledge of some copy or uses up a fault; `over` is set when nothing more can be learned.
 *
 * A MUTATION removes one rule; the property named with it must detect it:
 *
 *   1  the replacement of an entry may expire before it                   never_back
 *   2  an interval counts as known although there is a gap before it      nothing_missed
 *   3  a copy that catches up keeps waiting for a donor that has died     in_the_end
 *   4  copies are never compared, so that lost updates stay lost          in_the_end
 *   5  an entry is merged although it has been replaced                   never_back
 *
 * Mutation 9 violates no property, but differs from the code: the bridge test has to detect it.
 */
#ifndef MUTATION
#define MUTATION 0
#endif

byte last = 0;          /* last sequence number written */
byte holds[3];          /* bit set: bit n is entry n */
byte upto[3];
bool up[3], saw_release[3];
bool ended = false, ended_first = false; /* the claim and its release have expired; with mutation 1 the release alone */
byte starts = 0, sent = 0;
bool faults = true, back = false, missed = false, over = false;

/* An interval in flight. */
bool in_flight = false;
byte f_after, f_upto, f_holds;

#define ENTRY_BIT(n) (1 << (n))
#define HAS(o, n) ((holds[o] & ENTRY_BIT(n)) != 0)
#define EXPIRED(n) ((n) < 3 && (ended || ((n) == 2 && ended_first)))

inline MergeEntry(o, n) {
  if
  :: EXPIRED(n) || HAS(o, n) || (n == 1 && HAS(o, 2) && MUTATION != 5) -> skip
  :: else ->
    if :: n == 1 && saw_release[o] -> back = true :: else fi;
    holds[o] = holds[o] | ENTRY_BIT(n);
    if :: n == 2 -> saw_release[o] = true; holds[o] = holds[o] & ~ENTRY_BIT(1) :: else fi
  fi
}

/* Merges the entries in `bits` with numbers after `after` and up to `end`. */
inline Merge(o, after, end, bits) {
  if :: (bits & ENTRY_BIT(1)) && after < 1 && end >= 1 -> MergeEntry(o, 1) :: else fi;
  if :: (bits & ENTRY_BIT(2)) && after < 2 && end >= 2 -> MergeEntry(o, 2) :: else fi;
  if :: (bits & ENTRY_BIT(3)) && after < 3 && end >= 3 -> MergeEntry(o, 3) :: else fi;
  if
  :: (after <= upto[o] || MUTATION == 2) && end > upto[o] -> upto[o] = end
  :: else
  fi;
  if
  :: (upto[o] >= 3 && !HAS(o, 3)) || (!ended && upto[o] >= 2 && HAS(o, 1) && !saw_release[o]) -> missed = true
  :: else
  fi;
  Holds(o)
}

inline Holds(o) { printf("holds %d %d %d\n", o, holds[o], upto[o] + (MUTATION == 9 -> 1 : 0)) }

/* An update with all entries of the origin; and a pull from any live copy after a comparison. */
#define UPDATED(o) \
  atomic { up[o] && upto[o] < last && (MUTATION != 4 || upto[o] + 1 == last) -> \
    printf("told %d 0 %d %d\n", o, upto[o], upto[0]); Merge(o, upto[o], upto[0], holds[0]) }
#define PULLS(o, by) \
  atomic { MUTATION != 4 && up[o] && up[by] && upto[o] < upto[by] && !(o == 2 && by == 0) -> \
    printf("told %d %d %d %d\n", o, by, upto[o], upto[by]); Merge(o, upto[o], upto[by], holds[by]) }
/* Copy 2 pulls from the origin directly only once it needs another donor. */
#define PULLS_FROM_ORIGIN \
  atomic { MUTATION != 4 && MUTATION != 3 && up[2] && !up[1] && upto[2] < last -> \
    printf("told 2 0 %d %d\n", upto[2], upto[0]); Merge(2, upto[2], upto[0], holds[0]) }
#define PURGES(o) \
  atomic { up[o] && ((ended && (holds[o] & (ENTRY_BIT(1) | ENTRY_BIT(2)))) || (ended_first && HAS(o, 2))) -> \
    if :: ended -> holds[o] = holds[o] & ENTRY_BIT(3) :: else -> holds[o] = holds[o] & ~ENTRY_BIT(2) fi; \
    printf("purges %d\n", o); Holds(o) }

active proctype World() {
  up[0] = true; up[1] = true; up[2] = true;
  do
  :: atomic { last < 3 -> last++; printf("writes %d\n", last); MergeEntry(0, last); upto[0] = last; Holds(0) }
  :: UPDATED(1)
  :: PULLS(1, 2)
  :: PULLS(2, 1)
  :: PULLS_FROM_ORIGIN
  :: PURGES(0)
  :: PURGES(1)
  :: PURGES(2)
  :: atomic { faults && !in_flight && sent < 2 && last > 0 -> sent++; in_flight = true;
       if :: f_after = 0 :: last > 1 -> f_after = 1 :: last > 2 -> f_after = 2 fi;
       f_upto = last; f_holds = holds[0];
       printf("sends %d %d\n", f_after, f_upto) }
  :: atomic { in_flight && up[1] -> in_flight = false; printf("comes 1\n"); Merge(1, f_after, f_upto, f_holds) }
  :: atomic { in_flight && up[2] -> in_flight = false; printf("comes 2\n"); Merge(2, f_after, f_upto, f_holds) }
  :: atomic { in_flight -> in_flight = false }
  :: atomic { last >= 2 && !ended && MUTATION == 1 && !ended_first -> ended_first = true; printf("skips\n") }
  :: atomic { last >= 2 && !ended -> ended = true; printf("ends\n") }
  :: atomic { faults && up[1] && starts < 1 -> up[1] = false; printf("dies\n") }
  :: atomic { faults && !up[1] && starts < 1 -> starts++; up[1] = true; holds[1] = 0; upto[1] = 0;
       saw_release[1] = false; printf("starts\n") }
  :: faults -> faults = false
  :: else -> over = true; break
  od
}

#define SAME(o) (!up[o] || (upto[o] == last && holds[o] == holds[0]))

ltl never_back { [] !back }
ltl nothing_missed { [] !missed }
ltl in_the_end { [] (over -> (SAME(1) && SAME(2) && last == 3)) }
