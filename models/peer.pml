/* SPDX-License-Identifier: Apache-2.0
 *
 * One member of the fleet of proxies at three observers: it answers or does not, is suspected, buried, contradicts, crashes, and
 * is started anew under a boot that may be the lesser one. Statements pass between all but the member and the third observer,
 * whose link is cut; they are lost (nothing happens) and come again (an observer tells what it holds as often as it likes).
 * Checked with SPIN: see check.sh.
 *
 * Every step raises what somebody holds, or spends a fault, so that a run ends: `over` is when nothing more can be learned. What
 * then holds, holds for ever.
 *
 * A MUTATION takes one rule away; each must be found by the property named with it:
 *
 *   1  an observer takes what it was told last, not what wins             never_back
 *   2  the member does not contradict                                     in_the_end
 *   3  nobody tells the member that it is held for dead                   in_the_end
 *   4  it contradicts under the incarnation that it is accused in         in_the_end
 *   5  a new process does not raise its incarnation over its predecessor's     in_the_end
 *   6  observers do not tell each other                                   in_the_end
 *   7  the death of one that answers here is taken on another's word      not_buried
 *   8  a suspicion does not expire                                        in_the_end
 *
 * Mutation 9 breaks nothing, but is not what the code does: for the bridge.
 */
#ifndef MUTATION
#define MUTATION 0
#endif
#define ALIVE 0
#define SUSPECT 1
#define FAULTY 2
#define MOST 12 /* incarnations; never reached */

/* The member. */
bool up = true;
byte own_inc = 0, own_boot = 2;

/* What the observers hold of it, and whether it has answered them since it last did not. */
byte inc[3], boot[3], state[3];
bool fresh[3];

byte doubts = 0, crashes = 0, starts = 0;
bool faults = true, went_back = false, buried = false, over = false;

#define BEATS(i, c, s, j, d, t) ((i) > (j) || ((i) == (j) && ((c) > (d) || ((c) == (d) && (s) > (t)))))
#define NEWS(o, i, c, s) BEATS(i, c, s, inc[o], boot[o], state[o])
/* As it would be stored: the death of one that answers here is a suspicion. */
#define DOUBTED(o, c, s) ((s) == FAULTY && state[o] != FAULTY && fresh[o] && (c) == boot[o] && MUTATION != 7)
#define CHANGES(o, i, c, s) ((DOUBTED(o, c, s) && NEWS(o, i, c, SUSPECT)) || (!DOUBTED(o, c, s) && NEWS(o, i, c, s)))
/* What is held of the member that it has to contradict, or that stands over it from an earlier boot. */
#define AGAINST(o) ((boot[o] == own_boot && state[o] != ALIVE && inc[o] >= own_inc) || \
                    (boot[o] != own_boot && BEATS(inc[o], boot[o], state[o], own_inc, own_boot, ALIVE)))

inline Store(o, i, c, s) {
  if :: !NEWS(o, i, c, s) -> went_back = true :: else fi;
  if :: s == FAULTY && state[o] != FAULTY && fresh[o] && c == boot[o] -> buried = true :: else fi;
  if :: c != boot[o] -> fresh[o] = false :: else fi;
  inc[o] = i; boot[o] = c; state[o] = s
}

#define ANSWERS(o) \
  atomic { up && (NEWS(o, own_inc, own_boot, ALIVE) || (!fresh[o] && boot[o] == own_boot)) -> \
    printf("answers %d %d %d\n", o, own_inc, own_boot); \
    if :: NEWS(o, own_inc, own_boot, ALIVE) -> Store(o, own_inc, own_boot, ALIVE) :: else fi; \
    if :: boot[o] == own_boot -> fresh[o] = true :: else fi; \
    Holds(o) }
/* It does not answer: because it is down or another process, or by a fault. */
#define SUSPECTS(o) \
  atomic { state[o] == ALIVE && (!up || boot[o] != own_boot || (faults && doubts < 2)) -> \
    if :: up && boot[o] == own_boot -> doubts++ :: else fi; \
    fresh[o] = false; \
    printf("suspects %d\n", o); \
    Store(o, inc[o], boot[o], SUSPECT); \
    Holds(o) }
#define EXPIRES(o) \
  atomic { state[o] == SUSPECT && MUTATION != 8 -> \
    fresh[o] = false; \
    printf("expires %d\n", o); \
    Store(o, inc[o], boot[o], FAULTY); \
    Holds(o) }
/* One observer tells another. */
#define TOLD(o, by) \
  atomic { MUTATION != 6 && (CHANGES(o, inc[by], boot[by], state[by]) || (MUTATION == 1 && inc[o] != inc[by])) -> \
    printf("told %d %d %d %d\n", o, inc[by], boot[by], state[by]); \
    if \
    :: DOUBTED(o, boot[by], state[by]) -> Store(o, inc[by], boot[by], SUSPECT) \
    :: else -> Store(o, inc[by], boot[by], state[by]) \
    fi; \
    Holds(o) }
/* An observer tells the member: by a probe, an answer, or a knock. */
#define ACCUSES(o) \
  atomic { up && AGAINST(o) && own_inc < MOST && MUTATION != 2 && !(MUTATION == 3 && state[o] == FAULTY) && \
           !(MUTATION == 4 && boot[o] == own_boot && own_inc == inc[o]) && !(MUTATION == 5 && boot[o] != own_boot) -> \
    printf("accused %d %d %d\n", inc[o], boot[o], state[o]); \
    own_inc = (MUTATION == 4 && boot[o] == own_boot -> inc[o] : inc[o] + 1 + (MUTATION == 9 -> 1 : 0)); \
    printf("is %d\n", own_inc) }

inline Holds(o) { printf("holds %d %d %d %d\n", o, inc[o], boot[o], state[o]) }

active proctype World() {
  boot[0] = 2; boot[1] = 2; boot[2] = 2;
  do
  :: ANSWERS(0)
  :: ANSWERS(1)
  :: SUSPECTS(0)
  :: SUSPECTS(1)
  :: SUSPECTS(2)
  :: EXPIRES(0)
  :: EXPIRES(1)
  :: EXPIRES(2)
  :: TOLD(0, 1)
  :: TOLD(0, 2)
  :: TOLD(1, 0)
  :: TOLD(1, 2)
  :: TOLD(2, 0)
  :: TOLD(2, 1)
  :: ACCUSES(0)
  :: ACCUSES(1)
  :: atomic { faults && up && crashes < 2 -> crashes++; up = false; printf("crashes\n") }
  :: atomic { faults && !up && starts < 1 -> starts++; up = true; own_inc = 0;
       if :: own_boot = 1 :: own_boot = 3 fi;
       printf("starts %d\n", own_boot) }
  :: faults -> faults = false
  :: else -> over = true; break
  od
}

#define RIGHT(o) ((up && state[o] == ALIVE && boot[o] == own_boot && inc[o] == own_inc) || (!up && state[o] == FAULTY))

ltl never_back { [] !went_back }
ltl not_buried { [] !buried }
/* All know that it lives, if it does, and under which boot and incarnation; or that it does not. */
ltl in_the_end { [] (over -> (RIGHT(0) && RIGHT(1) && RIGHT(2) && own_inc < MOST)) }
