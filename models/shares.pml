/* SPDX-License-Identifier: Apache-2.0
 *
 * The election of the allocator, and the shares in use. Two members (0, 1) are candidates; a third (2) votes and holds grants, and
 * may restart once, without any memory. The pool has two units. Every message may be lost (nothing happens) or delayed for any time,
 * and time advances at any moment, in steps of half a lease. All times are remaining times, so that the state space is finite and
 * there is no common clock.
 * Checked with SPIN: see check.sh.
 *
 * A MUTATION removes one rule; the property named with it must detect it:
 *
 *   1  a restarted member supports a candidate at once                    one_leader
 *   2  a promise is not binding                                           one_leader
 *   3  support counts from its arrival, not from the claim's sending      one_leader
 *   4  a grant outlasts the support under which it was issued             whole
 *   5  only the latest grant counts as outstanding, accepted or not       whole
 *   6  a holder counts its grant from its arrival                         whole
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define LEASE 2
#define POOL 2

byte promised[3], promise[3]; /* of each voter: the candidate plus one, and the remaining time */
byte asked[2];                /* remaining lease of the latest round of claims */
byte support[2];              /* bit set of the supporters */
byte authority[2];            /* remaining time as the allocator */
byte own[2], own_left[2];     /* its grant to itself */
byte out[2], out_left[2];     /* its grants to 2 that may be in use */
bool in_flight[2];               /* a grant to 2 in flight */
byte f_share[2], f_left[2], f_lasts[2];
byte reply[2];                 /* remaining lease of the latest reply of 2 */
byte share, share_left, by;   /* the share that 2 uses, and its allocator plus one */
bool restarted;

#define BOUND_TO_OTHER(v, c) (promise[v] > 0 && promised[v] != (c) + 1 && MUTATION != 2)

inline Vote(v, c) {
  if
  :: BOUND_TO_OTHER(v, c) -> skip
  :: else -> promised[v] = c + 1; promise[v] = LEASE; support[c] = support[c] | (1 << v)
  fi
}

#define CLAIMS(c) atomic { asked[c] < LEASE -> asked[c] = LEASE; support[c] = 0; Vote(c, c) }
#define VOTES(v, c) \
  atomic { asked[c] == LEASE && (support[c] & (1 << v)) == 0 -> Vote(v, c) }
/* A reply of 2, with or without its support. */
#define REPLIES(c) atomic { asked[c] == LEASE && reply[c] < LEASE -> reply[c] = LEASE }
/* A majority of two out of three; votes may arrive late. */
#define WINS(c) \
  atomic { support[c] > 2 && support[c] != 4 && asked[c] > 0 && authority[c] < SUPPORTED_FOR(c) -> authority[c] = SUPPORTED_FOR(c) }
#if MUTATION == 3
#define SUPPORTED_FOR(c) LEASE
#else
#define SUPPORTED_FOR(c) asked[c]
#endif
#if MUTATION == 4
#define LASTS(c) LEASE
#else
#define LASTS(c) authority[c]
#endif

inline Issue(c, amount) {
  in_flight[c] = true;
  f_share[c] = amount;
  f_lasts[c] = LASTS(c);
  if :: f_lasts[c] + reply[c] > LEASE -> f_left[c] = f_lasts[c] + reply[c] - LEASE :: else -> f_left[c] = 0 fi;
  if
  :: out_left[c] == 0 || amount >= out[c] || MUTATION == 5 -> out[c] = amount
  :: else
  fi;
  if :: out_left[c] < f_lasts[c] -> out_left[c] = f_lasts[c] :: else fi
}
#define GRANTS(c) \
  atomic { authority[c] > 0 && reply[c] > 0 && !in_flight[c] -> \
    if :: own[c] == 0 -> Issue(c, 2) :: own[c] <= 1 -> Issue(c, 1) :: Issue(c, 0) fi }
#define SELF_GRANTS(c) atomic { authority[c] > 0 -> own[c] = POOL - out[c]; own_left[c] = authority[c] }
#define ACCEPTS(c) \
  atomic { in_flight[c] -> in_flight[c] = false; \
    if \
    :: c + 1 >= by -> share = f_share[c]; by = c + 1; out[c] = f_share[c]; \
      if :: MUTATION == 6 -> share_left = f_lasts[c] :: else -> share_left = f_left[c] fi \
    :: else \
    fi; \
    f_share[c] = 0; f_left[c] = 0; f_lasts[c] = 0; Settle() }

/* Expired grants are all equal: keeps the state space small. */
inline Settle() {
  if :: share_left == 0 -> share = 0; by = 0 :: else fi
}
#define DECREASE(x) x = x - (x > 0)
#define ADVANCES(c) \
  DECREASE(asked[c]); DECREASE(authority[c]); DECREASE(own_left[c]); DECREASE(out_left[c]); DECREASE(reply[c]); DECREASE(f_left[c]); \
  if :: asked[c] == 0 -> support[c] = 0 :: else fi; \
  if :: own_left[c] == 0 -> own[c] = 0 :: else fi; \
  if :: out_left[c] == 0 -> out[c] = 0 :: else fi
#define EXPIRES(v) DECREASE(promise[v]); if :: promise[v] == 0 -> promised[v] = 0 :: else fi

active proctype World() {
  promise[0] = LEASE; promise[1] = LEASE; promise[2] = LEASE;
  do
  :: CLAIMS(0)
  :: CLAIMS(1)
  :: VOTES(1, 0)
  :: VOTES(2, 0)
  :: VOTES(0, 1)
  :: VOTES(2, 1)
  :: REPLIES(0)
  :: REPLIES(1)
  :: WINS(0)
  :: WINS(1)
  :: GRANTS(0)
  :: GRANTS(1)
  :: SELF_GRANTS(0)
  :: SELF_GRANTS(1)
  :: ACCEPTS(0)
  :: ACCEPTS(1)
  :: atomic { in_flight[0] -> in_flight[0] = false; f_share[0] = 0; f_left[0] = 0; f_lasts[0] = 0 }
  :: atomic { in_flight[1] -> in_flight[1] = false; f_share[1] = 0; f_left[1] = 0; f_lasts[1] = 0 }
  :: atomic { !restarted -> restarted = true; promised[2] = 0; share = 0; share_left = 0; by = 0;
       in_flight[0] = false; f_share[0] = 0; f_left[0] = 0; f_lasts[0] = 0;
       in_flight[1] = false; f_share[1] = 0; f_left[1] = 0; f_lasts[1] = 0; reply[0] = 0; reply[1] = 0;
       if :: MUTATION == 1 -> promise[2] = 0 :: else -> promise[2] = LEASE fi }
  :: atomic { ADVANCES(0); ADVANCES(1); EXPIRES(0); EXPIRES(1); EXPIRES(2); DECREASE(share_left); Settle() }
  od
}

ltl one_leader { [] !(authority[0] > 0 && authority[1] > 0) }
ltl whole { [] (own[0] + own[1] + share <= POOL) }
/* Both properties at once: one search of three million states instead of two. */
ltl both { [] (!(authority[0] > 0 && authority[1] > 0) && own[0] + own[1] + share <= POOL) }
