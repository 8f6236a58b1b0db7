/* SPDX-License-Identifier: Apache-2.0
 *
 * One member of the fleet of proxies and three observers. The member answers or not, is suspected, is declared faulty, refutes
 * that, crashes, and is restarted under a boot that may be lower than before. All exchange statements, except the member and the
 * third observer, whose link is cut. A lost statement is a step not taken, and a duplicate has no effect, since observers repeat
 * what they hold.
 * Checked with SPIN: see check.sh.
 *
 * Every step raises what a process holds, or uses up a fault, so that each run ends: `over` means that no process can learn
 * anything more. From then on nothing changes.
 *
 * A MUTATION removes one rule; the property named with it must detect each:
 *
 *   1  an observer keeps the last statement, not the greatest             never_back
 *   2  the member does not refute                                         in_the_end
 *   3  no observer tells the member that it is declared faulty            in_the_end
 *   4  it refutes without raising its incarnation                         in_the_end
 *   5  a new process does not raise its incarnation over its predecessor's in_the_end
 *   6  observers do not exchange statements                               in_the_end
 *   7  a reachable member is declared faulty on another's word            not_buried
 *   8  a suspicion does not expire                                        in_the_end
 *
 * Mutation 9 breaks no property, but differs from the code: for the bridge test.
 */
#ifndef MUTATION
#define MUTATION 0
#endif
#define ALIVE 0
#define SUSPECT 1
#define FAULTY 2
#define MAX_INC 12 /* bound of incarnations, which is never reached */

/* The member. */
bool up = true;
byte own_inc = 0, own_boot = 2;

/* What the observers hold of it, and whether it has answered them since it last failed to. */
byte inc[3], boot[3], state[3];
bool fresh[3];

byte doubts = 0, crashes = 0, starts = 0;
bool faults = true, went_back = false, buried = false, over = false;

#define SUPERSEDES(i, c, s, j, d, t) ((i) > (j) || ((i) == (j) && ((c) > (d) || ((c) == (d) && (s) > (t)))))
#define IS_NEWER(o, i, c, s) SUPERSEDES(i, c, s, inc[o], boot[o], state[o])
/* A failure of a member that answers this observer is stored as a suspicion. */
#define DOUBTED(o, c, s) ((s) == FAULTY && state[o] != FAULTY && fresh[o] && (c) == boot[o] && MUTATION != 7)
#define CHANGES(o, i, c, s) ((DOUBTED(o, c, s) && IS_NEWER(o, i, c, SUSPECT)) || (!DOUBTED(o, c, s) && IS_NEWER(o, i, c, s)))
/* Whether the member has to refute what the observer holds, or to raise its incarnation over that of an earlier boot. */
#define AGAINST(o) ((boot[o] == own_boot && state[o] != ALIVE && inc[o] >= own_inc) || \
                    (boot[o] != own_boot && SUPERSEDES(inc[o], boot[o], state[o], own_inc, own_boot, ALIVE)))

inline Store(o, i, c, s) {
  if :: !IS_NEWER(o, i, c, s) -> went_back = true :: else fi;
  if :: s == FAULTY && state[o] != FAULTY && fresh[o] && c == boot[o] -> buried = true :: else fi;
  if :: c != boot[o] -> fresh[o] = false :: else fi;
  inc[o] = i; boot[o] = c; state[o] = s
}

#define ANSWERS(o) \
  atomic { up && (IS_NEWER(o, own_inc, own_boot, ALIVE) || (!fresh[o] && boot[o] == own_boot)) -> \
    printf("answers %d %d %d\n", o, own_inc, own_boot); \
    if :: IS_NEWER(o, own_inc, own_boot, ALIVE) -> Store(o, own_inc, own_boot, ALIVE) :: else fi; \
    if :: boot[o] == own_boot -> fresh[o] = true :: else fi; \
    Holds(o) }
/* The member does not answer, because it is down, another process, or because of a fault. */
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
/* An observer sends another what it holds. */
#define TOLD(o, by) \
  atomic { MUTATION != 6 && (CHANGES(o, inc[by], boot[by], state[by]) || (MUTATION == 1 && inc[o] != inc[by])) -> \
    printf("told %d %d %d %d\n", o, inc[by], boot[by], state[by]); \
    if \
    :: DOUBTED(o, boot[by], state[by]) -> Store(o, inc[by], boot[by], SUSPECT) \
    :: else -> Store(o, inc[by], boot[by], state[by]) \
    fi; \
    Holds(o) }
/* An observer sends the member what it holds: with a ping, an ack or a join. */
#define ACCUSES(o) \
  atomic { up && AGAINST(o) && own_inc < MAX_INC && MUTATION != 2 && !(MUTATION == 3 && state[o] == FAULTY) && \
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
/* In the end all observers agree with the truth: alive with its boot and incarnation, or faulty. */
ltl in_the_end { [] (over -> (RIGHT(0) && RIGHT(1) && RIGHT(2) && own_inc < MAX_INC)) }
