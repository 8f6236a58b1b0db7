/* SPDX-License-Identifier: Apache-2.0
 *
 * The fleet's replicated record (src/control_plane/replica.h): epochs that a quorum promises, copies that count once they are on
 * disk, disks that are lost. Three members; 0 and 1 stand for epochs and lead, all three vote and hold copies. Steps of one member
 * happen in any order and as late as they like, which stands for messages that are lost or delayed; a leader of an earlier epoch goes
 * on for as long as it likes. One disk at a time may be lost, twice in all. Values are numbers that each order raises by one.
 * Checked with SPIN: see check.sh.
 *
 * A MUTATION takes one rule away; each must be found by the property named with it:
 *
 *   1  who lost its disk promises and acknowledges at once                nothing_lost
 *   2  one copy is enough for an acknowledgement                          nothing_lost
 *   3  a candidate goes by its own copy alone                             nothing_lost
 *   4  records of an epoch before the promised one are stored             nothing_lost
 *   5  who lost its disk learns from one other                            nothing_lost
 *   6  a promise binds nobody                                             one_value
 *   7  copies of disks that were lost go on counting                      nothing_lost
 *   8  replies that were on their way from a disk that was lost count     nothing_lost (with LATE_REPLIES)
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define MOST_EPOCH 3
#define MOST_VALUE 2
#ifndef MOST_WIPES
#define MOST_WIPES 2
#endif

byte promised[3], copy_epoch[3], copy_value[3];
bool voter[3];
byte epoch[3];      /* that a member stands for or leads; 0: neither */
bool leads[3];
byte votes[3], stored[3]; /* bits of members */
byte best_epoch[2], best_value[2];
byte value[2];      /* proposed by a leader */
byte on_way[2];     /* bits of members whose reply to that leader is on its way */
byte of_lost[2];    /* bits of members whose reply on its way is from a disk that the leader knows to be lost */
bool committed[3];  /* the proposed value is acknowledged */
byte acknowledged;  /* the newest value that was, and the epoch in which */
byte ack_epoch;
byte taken[MOST_VALUE + 1]; /* the value that was acknowledged with that number, plus one */
byte wipes;
bool lost, doubled;

#define BITS_TWO(bits) ((bits) == 3 || (bits) >= 5)
#if MUTATION == 2
#define ENOUGH(bits) ((bits) > 0)
#else
#define ENOUGH(bits) BITS_TWO(bits)
#endif
#define ALL_VOTE (voter[0] && voter[1] && voter[2])

inline Better(c, v) {
  if
  :: MUTATION != 3 && copy_epoch[v] * 32 + copy_value[v] > best_epoch[c] * 32 + best_value[c] ->
     best_epoch[c] = copy_epoch[v]; best_value[c] = copy_value[v]
  :: else -> skip
  fi
}

#define STANDS(c) \
  atomic { voter[c] && promised[c] < MOST_EPOCH -> promised[c] = promised[c] + 1; epoch[c] = promised[c]; leads[c] = false; \
           committed[c] = false; votes[c] = 1 << c; stored[c] = 0; best_epoch[c] = copy_epoch[c]; best_value[c] = copy_value[c] }
#define VOTES(v, c) \
  atomic { epoch[c] > 0 && !leads[c] && voter[v] && (promised[v] < epoch[c] || MUTATION == 6) && (votes[c] & (1 << v)) == 0 -> \
           if :: promised[v] < epoch[c] -> promised[v] = epoch[c]; FORGETS(v) :: else -> skip fi; \
           votes[c] = votes[c] | (1 << v); Better(c, v) }
#define LEADS(c) \
  atomic { epoch[c] > 0 && !leads[c] && BITS_TWO(votes[c]) -> leads[c] = true; value[c] = best_value[c]; stored[c] = 0; on_way[c] = 0; of_lost[c] = 0 }
#define STORES(v, c) \
  atomic { leads[c] && voter[v] && (promised[v] <= epoch[c] || MUTATION == 4) && (stored[c] & (1 << v)) == 0 -> \
           if :: promised[v] < epoch[c] -> promised[v] = epoch[c]; FORGETS(v) :: else -> skip fi; \
           copy_epoch[v] = epoch[c]; copy_value[v] = value[c]; \
           REPLIES(v, c); \
           if :: !committed[c] && ENOUGH(stored[c]) -> COMMIT(c) :: else -> skip fi }
/* A reply is there at once, or, with LATE_REPLIES, on its way for as long as it likes. */
#ifdef LATE_REPLIES
#define REPLIES(v, c) \
  if :: v == c -> stored[c] = stored[c] | (1 << v) \
     :: else -> on_way[c] = on_way[c] | (1 << v); of_lost[c] = of_lost[c] & (7 - (1 << v)) fi
#else
#define REPLIES(v, c) stored[c] = stored[c] | (1 << v)
#endif
/* The reply comes; one from a disk that is known to be lost does not count. */
#define ACKS(v, c) \
  atomic { leads[c] && (on_way[c] & (1 << v)) != 0 -> on_way[c] = on_way[c] & (7 - (1 << v)); \
           if :: (of_lost[c] & (1 << v)) == 0 || MUTATION == 8 -> stored[c] = stored[c] | (1 << v) :: else -> skip fi; \
           if :: !committed[c] && ENOUGH(stored[c]) -> COMMIT(c) :: else -> skip fi }
/* With the copy that makes it enough; a leader that hears of it later acknowledges no more than this. One of an earlier epoch may
 * still acknowledge what later ones went on from. */
#define COMMIT(c) \
  committed[c] = true; \
  if :: value[c] / 8 < acknowledged / 8 && epoch[c] >= ack_epoch -> lost = true :: else -> skip fi; \
  if :: taken[value[c] / 8] == 0 -> taken[value[c] / 8] = value[c] + 1 \
     :: taken[value[c] / 8] != 0 && taken[value[c] / 8] != value[c] + 1 -> doubled = true \
     :: else -> skip fi; \
  if :: value[c] / 8 > acknowledged / 8 -> acknowledged = value[c]; ack_epoch = epoch[c] :: else -> skip fi
#define ORDERS(c) \
  atomic { leads[c] && committed[c] && value[c] / 8 < MOST_VALUE -> \
           value[c] = (value[c] / 8 + 1) * 8 + epoch[c]; committed[c] = false; stored[c] = 0; on_way[c] = 0; of_lost[c] = 0 }
#define FORGETS(c) \
  if :: c < 2 -> epoch[c] = 0; leads[c] = false; committed[c] = false; votes[c] = 0; stored[c] = 0; on_way[c] = 0; of_lost[c] = 0 :: c >= 2 -> skip fi
/* The disk goes; leaders that counted the copy have counted it. */
#define WIPED(v) \
  atomic { ALL_VOTE && wipes < MOST_WIPES -> wipes = wipes + 1; promised[v] = 0; copy_epoch[v] = 0; copy_value[v] = 0; \
           voter[v] = (MUTATION == 1); FORGETS(v) }
#define RESTARTS(c) atomic { epoch[c] > 0 -> FORGETS(c) }

inline LearnFrom(v, u) {
  if :: promised[u] > promised[v] -> promised[v] = promised[u] :: else -> skip fi;
  if
  :: copy_epoch[u] * 32 + copy_value[u] > copy_epoch[v] * 32 + copy_value[v] -> copy_epoch[v] = copy_epoch[u]; copy_value[v] = copy_value[u]
  :: else -> skip
  fi
}
/* Whoever teaches lets nobody count the lost copy from then on: a leader forgets it, others promise a later epoch. */
inline Teach(u, v) {
  if
  :: MUTATION == 7 -> skip
  :: MUTATION != 7 && u < 2 && leads[u] -> stored[u] = stored[u] & (7 - (1 << v)); of_lost[u] = of_lost[u] | (on_way[u] & (1 << v))
  :: else -> promised[u] = promised[u] + 1; FORGETS(u)
  fi
}
#define LEARNS(v, a, b) \
  atomic { !voter[v] && voter[a] && (voter[b] || MUTATION == 5) -> Teach(a, v); LearnFrom(v, a); \
           if :: MUTATION != 5 -> Teach(b, v); LearnFrom(v, b) :: else -> skip fi; voter[v] = true }

init {
  voter[0] = true; voter[1] = true; voter[2] = true;
  do
  :: STANDS(0) :: STANDS(1)
  :: VOTES(0, 1) :: VOTES(1, 0) :: VOTES(2, 0) :: VOTES(2, 1)
  :: LEADS(0) :: LEADS(1)
  :: STORES(0, 0) :: STORES(1, 0) :: STORES(2, 0) :: STORES(0, 1) :: STORES(1, 1) :: STORES(2, 1)
  :: ACKS(1, 0) :: ACKS(2, 0) :: ACKS(0, 1) :: ACKS(2, 1)
  :: ORDERS(0) :: ORDERS(1)
  :: WIPED(0) :: WIPED(1) :: WIPED(2)
  :: LEARNS(0, 1, 2) :: LEARNS(1, 0, 2) :: LEARNS(2, 0, 1)
  :: RESTARTS(0) :: RESTARTS(1)
  od
}

ltl nothing_lost { [] !lost }
/* Of two orders on one version one is acknowledged at most. */
ltl one_value { [] !doubled }
