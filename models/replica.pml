/* SPDX-License-Identifier: Apache-2.0
 *
 * Three copies of what one origin writes: its own (0) and two more (1, 2). It writes a claim (1), takes it back (2), and claims
 * something else (3). Parts pass between all; they are lost (nothing happens), doubled (as often as one likes), and one may be
 * on its way for as long as it likes. Copy 1, the donor, may die and start with nothing; copy 2 has to ask another then. What
 * was claimed and taken back ends at one moment.
 * Checked with SPIN: see check.sh.
 *
 * Every step raises what somebody knows, or spends a fault; `over` is when nothing more can be learned.
 *
 * A MUTATION takes one rule away; each must be found by the property named with it:
 *
 *   1  what takes the place of an entry may end before it                 never_back
 *   2  a part counts as known without what goes before it                 nothing_missed
 *   3  who catches up waits for a donor that has died                     in_the_end
 *   4  nobody compares: only what was missed by no message is known       in_the_end
 *   5  an entry is taken whatever has taken its place                     never_back
 *
 * Mutation 9 breaks nothing, but is not what the code does: for the bridge.
 */
#ifndef MUTATION
#define MUTATION 0
#endif

byte last = 0;          /* written */
byte holds[3];          /* bits: entry n is bit n */
byte upto[3];
bool up[3], taken_back[3];
bool ended = false, ended_first = false; /* the claim and its removal; by mutation 1 the removal alone */
byte starts = 0, sent = 0;
bool faults = true, back = false, missed = false, over = false;

/* A part on its way. */
bool flying = false;
byte f_after, f_upto, f_holds;

#define BIT(n) (1 << (n))
#define HAS(o, n) ((holds[o] & BIT(n)) != 0)
#define OVER(n) ((n) < 3 && (ended || ((n) == 2 && ended_first)))

inline Take(o, n) {
  if
  :: OVER(n) || HAS(o, n) || (n == 1 && HAS(o, 2) && MUTATION != 5) -> skip
  :: else ->
    if :: n == 1 && taken_back[o] -> back = true :: else fi;
    holds[o] = holds[o] | BIT(n);
    if :: n == 2 -> taken_back[o] = true; holds[o] = holds[o] & ~BIT(1) :: else fi
  fi
}

/* Of the numbers over `after`, up to `end`, what `bits` has. */
inline Merge(o, after, end, bits) {
  if :: (bits & BIT(1)) && after < 1 && end >= 1 -> Take(o, 1) :: else fi;
  if :: (bits & BIT(2)) && after < 2 && end >= 2 -> Take(o, 2) :: else fi;
  if :: (bits & BIT(3)) && after < 3 && end >= 3 -> Take(o, 3) :: else fi;
  if
  :: (after <= upto[o] || MUTATION == 2) && end > upto[o] -> upto[o] = end
  :: else
  fi;
  if
  :: (upto[o] >= 3 && !HAS(o, 3)) || (!ended && upto[o] >= 2 && HAS(o, 1) && !taken_back[o]) -> missed = true
  :: else
  fi;
  Holds(o)
}

inline Holds(o) { printf("holds %d %d %d\n", o, holds[o], upto[o] + (MUTATION == 9 -> 1 : 0)) }

/* All that the origin has, as it writes it; and what a comparison brings, from whoever is there. */
#define NEWS(o) \
  atomic { up[o] && upto[o] < last && (MUTATION != 4 || upto[o] + 1 == last) -> \
    printf("told %d 0 %d %d\n", o, upto[o], upto[0]); Merge(o, upto[o], upto[0], holds[0]) }
#define TOLD(o, by) \
  atomic { MUTATION != 4 && up[o] && up[by] && upto[o] < upto[by] && !(o == 2 && by == 0) -> \
    printf("told %d %d %d %d\n", o, by, upto[o], upto[by]); Merge(o, upto[o], upto[by], holds[by]) }
/* Copy 2 hears the origin directly only once it looks for another donor. */
#define ASKS \
  atomic { MUTATION != 4 && MUTATION != 3 && up[2] && !up[1] && upto[2] < last -> \
    printf("told 2 0 %d %d\n", upto[2], upto[0]); Merge(2, upto[2], upto[0], holds[0]) }
#define PURGES(o) \
  atomic { up[o] && ((ended && (holds[o] & (BIT(1) | BIT(2)))) || (ended_first && HAS(o, 2))) -> \
    if :: ended -> holds[o] = holds[o] & BIT(3) :: else -> holds[o] = holds[o] & ~BIT(2) fi; \
    printf("purges %d\n", o); Holds(o) }

active proctype World() {
  up[0] = true; up[1] = true; up[2] = true;
  do
  :: atomic { last < 3 -> last++; printf("writes %d\n", last); Take(0, last); upto[0] = last; Holds(0) }
  :: NEWS(1)
  :: TOLD(1, 2)
  :: TOLD(2, 1)
  :: ASKS
  :: PURGES(0)
  :: PURGES(1)
  :: PURGES(2)
  :: atomic { faults && !flying && sent < 2 && last > 0 -> sent++; flying = true;
       if :: f_after = 0 :: last > 1 -> f_after = 1 :: last > 2 -> f_after = 2 fi;
       f_upto = last; f_holds = holds[0];
       printf("sends %d %d\n", f_after, f_upto) }
  :: atomic { flying && up[1] -> flying = false; printf("comes 1\n"); Merge(1, f_after, f_upto, f_holds) }
  :: atomic { flying && up[2] -> flying = false; printf("comes 2\n"); Merge(2, f_after, f_upto, f_holds) }
  :: atomic { flying -> flying = false }
  :: atomic { last >= 2 && !ended && MUTATION == 1 && !ended_first -> ended_first = true; printf("skips\n") }
  :: atomic { last >= 2 && !ended -> ended = true; printf("ends\n") }
  :: atomic { faults && up[1] && starts < 1 -> up[1] = false; printf("dies\n") }
  :: atomic { faults && !up[1] && starts < 1 -> starts++; up[1] = true; holds[1] = 0; upto[1] = 0;
       taken_back[1] = false; printf("starts\n") }
  :: faults -> faults = false
  :: else -> over = true; break
  od
}

#define SAME(o) (!up[o] || (upto[o] == last && holds[o] == holds[0]))

ltl never_back { [] !back }
ltl nothing_missed { [] !missed }
ltl in_the_end { [] (over -> (SAME(1) && SAME(2) && last == 3)) }
