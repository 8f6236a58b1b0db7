/* SPDX-License-Identifier: Apache-2.0
 *
 * The replicated record of the control plane (src/control_plane/replica.h): epochs promised by a quorum, copies that count once they
 * are on disk, and lost disks. There are three members; 0 and 1 stand for election and lead, all three vote and hold copies. The steps
 * of a member happen in any order and with any delay, which models lost and delayed messages; a leader of an earlier epoch may
 * continue indefinitely. One disk at a time may be lost, MOST_WIPES times in total. Values are numbers that each proposal increases by
 * one. Checked with SPIN, see check.sh.
 *
 * A MUTATION removes one rule; the property named next to it must detect it:
 *
 *   1  a member that lost its disk promises and acknowledges at once      nothing_lost
 *   2  one copy is enough to acknowledge a change                         nothing_lost
 *   3  a candidate considers only its own copy                            nothing_lost
 *   4  records of an epoch below the promised one are stored              nothing_lost
 *   5  a member that lost its disk learns from a single member            nothing_lost
 *   6  promises are not binding                                           one_value
 *   7  copies on lost disks continue to count                             nothing_lost
 *   8  replies in transit from a lost disk count                          nothing_lost (with LATE_REPLIES)
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define MAX_EPOCH 3
#define MAX_VALUE 2
#ifndef MOST_WIPES
#define MOST_WIPES 2
#endif

byte promised[3], copy_epoch[3], copy_value[3];
bool voter[3];
byte epoch[3];      /* in which a member is candidate or leader; 0: neither */
bool leads[3];
byte votes[3], stored[3]; /* bit sets of members */
byte best_epoch[2], best_value[2];
byte value[2];      /* proposed by a leader */
byte reply_in_transit[2];     /* bit set of members whose reply to that leader is in transit */
byte reply_from_lost_disk[2];    /* bit set of members whose reply in transit comes from a disk that the leader knows to be lost */
bool committed[3];  /* the proposed value is acknowledged */
byte acknowledged;  /* the newest acknowledged value, and its epoch */
byte ack_epoch;
byte acknowledged_value[MAX_VALUE + 1]; /* the value acknowledged with that number, plus one; 0: none */
byte wipes;
bool lost, conflict;

#define IS_MAJORITY(bits) ((bits) == 3 || (bits) >= 5)
#if MUTATION == 2
#define IS_ENOUGH(bits) ((bits) > 0)
#else
#define IS_ENOUGH(bits) IS_MAJORITY(bits)
#endif
#define ALL_CAN_VOTE (voter[0] && voter[1] && voter[2])

inline AdoptNewerCopy(c, v) {
  if
  :: MUTATION != 3 && copy_epoch[v] * 32 + copy_value[v] > best_epoch[c] * 32 + best_value[c] ->
     best_epoch[c] = copy_epoch[v]; best_value[c] = copy_value[v]
  :: else -> skip
  fi
}

#define STARTS_ELECTION(c) \
  atomic { voter[c] && promised[c] < MAX_EPOCH -> promised[c] = promised[c] + 1; epoch[c] = promised[c]; leads[c] = false; \
           committed[c] = false; votes[c] = 1 << c; stored[c] = 0; best_epoch[c] = copy_epoch[c]; best_value[c] = copy_value[c] }
#define GRANTS_VOTE(v, c) \
  atomic { epoch[c] > 0 && !leads[c] && voter[v] && (promised[v] < epoch[c] || MUTATION == 6) && (votes[c] & (1 << v)) == 0 -> \
           if :: promised[v] < epoch[c] -> promised[v] = epoch[c]; RESETS_ROLE(v) :: else -> skip fi; \
           votes[c] = votes[c] | (1 << v); AdoptNewerCopy(c, v) }
#define BECOMES_LEADER(c) \
  atomic { epoch[c] > 0 && !leads[c] && IS_MAJORITY(votes[c]) -> leads[c] = true; value[c] = best_value[c]; stored[c] = 0; \
      reply_in_transit[c] = 0; reply_from_lost_disk[c] = 0 }
#define STORES_RECORD(v, c) \
  atomic { leads[c] && voter[v] && (promised[v] <= epoch[c] || MUTATION == 4) && (stored[c] & (1 << v)) == 0 -> \
           if :: promised[v] < epoch[c] -> promised[v] = epoch[c]; RESETS_ROLE(v) :: else -> skip fi; \
           copy_epoch[v] = epoch[c]; copy_value[v] = value[c]; \
           SENDS_REPLY(v, c); \
           if :: !committed[c] && IS_ENOUGH(stored[c]) -> COMMIT(c) :: else -> skip fi }
/* A reply arrives at once or, with LATE_REPLIES, after any delay. */
#ifdef LATE_REPLIES
#define SENDS_REPLY(v, c) \
  if :: v == c -> stored[c] = stored[c] | (1 << v) \
     :: else -> reply_in_transit[c] = reply_in_transit[c] | (1 << v); \
         reply_from_lost_disk[c] = reply_from_lost_disk[c] & (7 - (1 << v)) fi
#else
#define SENDS_REPLY(v, c) stored[c] = stored[c] | (1 << v)
#endif
/* A reply arrives; it does not count if it comes from a disk that is known to be lost. */
#define RECEIVES_REPLY(v, c) \
  atomic { leads[c] && (reply_in_transit[c] & (1 << v)) != 0 -> reply_in_transit[c] = reply_in_transit[c] & (7 - (1 << v)); \
           if :: (reply_from_lost_disk[c] & (1 << v)) == 0 || MUTATION == 8 -> stored[c] = stored[c] | (1 << v) :: else -> skip fi; \
           if :: !committed[c] && IS_ENOUGH(stored[c]) -> COMMIT(c) :: else -> skip fi }
/* Commits as soon as the copy that completes the quorum is stored; a leader that learns of it later acknowledges the same value. A
 * leader of an earlier epoch may still acknowledge a value that later leaders have built on. */
#define COMMIT(c) \
  committed[c] = true; \
  if :: value[c] / 8 < acknowledged / 8 && epoch[c] >= ack_epoch -> lost = true :: else -> skip fi; \
  if :: acknowledged_value[value[c] / 8] == 0 -> acknowledged_value[value[c] / 8] = value[c] + 1 \
     :: acknowledged_value[value[c] / 8] != 0 && acknowledged_value[value[c] / 8] != value[c] + 1 -> conflict = true \
     :: else -> skip fi; \
  if :: value[c] / 8 > acknowledged / 8 -> acknowledged = value[c]; ack_epoch = epoch[c] :: else -> skip fi
#define PROPOSES(c) \
  atomic { leads[c] && committed[c] && value[c] / 8 < MAX_VALUE -> \
           value[c] = (value[c] / 8 + 1) * 8 + epoch[c]; committed[c] = false; stored[c] = 0; reply_in_transit[c] = 0; \
               reply_from_lost_disk[c] = 0 }
#define RESETS_ROLE(c) \
  if :: c < 2 -> epoch[c] = 0; leads[c] = false; committed[c] = false; votes[c] = 0; stored[c] = 0; reply_in_transit[c] = 0; \
      reply_from_lost_disk[c] = 0 :: c >= 2 -> skip fi
/* A disk is lost; leaders that counted its copy keep counting it. */
#define LOSES_DISK(v) \
  atomic { ALL_CAN_VOTE && wipes < MOST_WIPES -> wipes = wipes + 1; promised[v] = 0; copy_epoch[v] = 0; copy_value[v] = 0; \
           voter[v] = (MUTATION == 1); RESETS_ROLE(v) }
#define RESTARTS(c) atomic { epoch[c] > 0 -> RESETS_ROLE(c) }

inline LearnFrom(v, u) {
  if :: promised[u] > promised[v] -> promised[v] = promised[u] :: else -> skip fi;
  if
  :: copy_epoch[u] * 32 + copy_value[u] > copy_epoch[v] * 32 + copy_value[v] -> copy_epoch[v] = copy_epoch[u];
      copy_value[v] = copy_value[u]
  :: else -> skip
  fi
}
/* A member that answers a learner makes sure that the lost copy is not counted any more: a leader discards it, another member promises
 * a later epoch. */
inline AnswerLearner(u, v) {
  if
  :: MUTATION == 7 -> skip
  :: MUTATION != 7 && u < 2 && leads[u] -> stored[u] = stored[u] & (7 - (1 << v));
      reply_from_lost_disk[u] = reply_from_lost_disk[u] | (reply_in_transit[u] & (1 << v))
  :: else -> promised[u] = promised[u] + 1; RESETS_ROLE(u)
  fi
}
#define LEARNS_STATE(v, a, b) \
  atomic { !voter[v] && voter[a] && (voter[b] || MUTATION == 5) -> AnswerLearner(a, v); LearnFrom(v, a); \
           if :: MUTATION != 5 -> AnswerLearner(b, v); LearnFrom(v, b) :: else -> skip fi; voter[v] = true }

init {
  voter[0] = true; voter[1] = true; voter[2] = true;
  do
  :: STARTS_ELECTION(0) :: STARTS_ELECTION(1)
  :: GRANTS_VOTE(0, 1) :: GRANTS_VOTE(1, 0) :: GRANTS_VOTE(2, 0) :: GRANTS_VOTE(2, 1)
  :: BECOMES_LEADER(0) :: BECOMES_LEADER(1)
  :: STORES_RECORD(0, 0) :: STORES_RECORD(1, 0) :: STORES_RECORD(2, 0) :: STORES_RECORD(0, 1) :: STORES_RECORD(1, 1) :: STORES_RECORD(2, 1)
  :: RECEIVES_REPLY(1, 0) :: RECEIVES_REPLY(2, 0) :: RECEIVES_REPLY(0, 1) :: RECEIVES_REPLY(2, 1)
  :: PROPOSES(0) :: PROPOSES(1)
  :: LOSES_DISK(0) :: LOSES_DISK(1) :: LOSES_DISK(2)
  :: LEARNS_STATE(0, 1, 2) :: LEARNS_STATE(1, 0, 2) :: LEARNS_STATE(2, 0, 1)
  :: RESTARTS(0) :: RESTARTS(1)
  od
}

ltl nothing_lost { [] !lost }
/* At most one of two changes to the same version is acknowledged. */
ltl one_value { [] !conflict }
