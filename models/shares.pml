/* SPDX-License-Identifier: Apache-2.0
 *
 * Who hands out shares, and what may be in use. Two members (0, 1) each want to hand out; a third (2) votes and holds, and may start
 * anew once, with nothing remembered. The pool is of two units. Every message may be lost (nothing happens) or be on its way for as
 * long as it likes, and time goes on whenever it likes, in steps of half a lease. All times are what is left of them, so that there
 * is no end of time, and no clock of all.
 * Checked with SPIN: see check.sh.
 *
 * A MUTATION takes one rule away; each must be found by the property named with it:
 *
 *   1  who starts anew supports at once                                   one_leader
 *   2  a promise binds nobody                                             one_leader
 *   3  support counts from when it came, not from when it was asked for   one_leader
 *   4  a grant outlasts the support that it was given under               whole
 *   5  only the latest grant counts as handed out, taken or not           whole
 *   6  a holder counts its grant from when it came                        whole
 */
#ifndef MUTATION
#define MUTATION 0
#endif

#define LEASE 2
#define POOL 2

byte promised[3], promise[3]; /* of voters: to whom, plus one; and for how long yet */
byte asked[2];                /* how much of a lease is left of the round that was asked last */
byte support[2];              /* bits of those who support it */
byte authority[2];            /* for how long it hands out */
byte own[2], own_left[2];     /* what it has handed to itself */
byte out[2], out_left[2];     /* what of its grants to 2 may be in use */
bool flying[2];               /* a grant on its way */
byte f_share[2], f_left[2], f_lasts[2];
byte word[2];                 /* how much of a lease is left of the last word of 2 */
byte share, share_left, by;   /* what 2 uses, and whose grant that is, plus one */
bool restarted;

#define OTHER(v, c) (promise[v] > 0 && promised[v] != (c) + 1 && MUTATION != 2)

inline Vote(v, c) {
  if
  :: OTHER(v, c) -> skip
  :: else -> promised[v] = c + 1; promise[v] = LEASE; support[c] = support[c] | (1 << v)
  fi
}

#define ASKS(c) atomic { asked[c] < LEASE -> asked[c] = LEASE; support[c] = 0; Vote(c, c) }
#define VOTES(v, c) \
  atomic { asked[c] == LEASE && (support[c] & (1 << v)) == 0 -> Vote(v, c) }
/* A word of 2, whether or not it supports. */
#define SPEAKS(c) atomic { asked[c] == LEASE && word[c] < LEASE -> word[c] = LEASE }
/* Two of three; they may be heard late. */
#define GAINS(c) \
  atomic { support[c] > 2 && support[c] != 4 && asked[c] > 0 && authority[c] < COUNTED(c) -> authority[c] = COUNTED(c) }
#if MUTATION == 3
#define COUNTED(c) LEASE
#else
#define COUNTED(c) asked[c]
#endif
#if MUTATION == 4
#define LASTS(c) LEASE
#else
#define LASTS(c) authority[c]
#endif

inline Give(c, amount) {
  flying[c] = true;
  f_share[c] = amount;
  f_lasts[c] = LASTS(c);
  if :: f_lasts[c] + word[c] > LEASE -> f_left[c] = f_lasts[c] + word[c] - LEASE :: else -> f_left[c] = 0 fi;
  if
  :: out_left[c] == 0 || amount >= out[c] || MUTATION == 5 -> out[c] = amount
  :: else
  fi;
  if :: out_left[c] < f_lasts[c] -> out_left[c] = f_lasts[c] :: else fi
}
#define GRANTS(c) \
  atomic { authority[c] > 0 && word[c] > 0 && !flying[c] -> \
    if :: own[c] == 0 -> Give(c, 2) :: own[c] <= 1 -> Give(c, 1) :: Give(c, 0) fi }
#define USES(c) atomic { authority[c] > 0 -> own[c] = POOL - out[c]; own_left[c] = authority[c] }
#define TAKES(c) \
  atomic { flying[c] -> flying[c] = false; \
    if \
    :: c + 1 >= by -> share = f_share[c]; by = c + 1; out[c] = f_share[c]; \
      if :: MUTATION == 6 -> share_left = f_lasts[c] :: else -> share_left = f_left[c] fi \
    :: else \
    fi; \
    f_share[c] = 0; f_left[c] = 0; f_lasts[c] = 0; Settle() }

/* What has ended is all alike. */
inline Settle() {
  if :: share_left == 0 -> share = 0; by = 0 :: else fi
}
#define LESS(x) x = x - (x > 0)
#define PASSES(c) \
  LESS(asked[c]); LESS(authority[c]); LESS(own_left[c]); LESS(out_left[c]); LESS(word[c]); LESS(f_left[c]); \
  if :: asked[c] == 0 -> support[c] = 0 :: else fi; \
  if :: own_left[c] == 0 -> own[c] = 0 :: else fi; \
  if :: out_left[c] == 0 -> out[c] = 0 :: else fi
#define ENDS(v) LESS(promise[v]); if :: promise[v] == 0 -> promised[v] = 0 :: else fi

active proctype World() {
  promise[0] = LEASE; promise[1] = LEASE; promise[2] = LEASE;
  do
  :: ASKS(0)
  :: ASKS(1)
  :: VOTES(1, 0)
  :: VOTES(2, 0)
  :: VOTES(0, 1)
  :: VOTES(2, 1)
  :: SPEAKS(0)
  :: SPEAKS(1)
  :: GAINS(0)
  :: GAINS(1)
  :: GRANTS(0)
  :: GRANTS(1)
  :: USES(0)
  :: USES(1)
  :: TAKES(0)
  :: TAKES(1)
  :: atomic { flying[0] -> flying[0] = false; f_share[0] = 0; f_left[0] = 0; f_lasts[0] = 0 }
  :: atomic { flying[1] -> flying[1] = false; f_share[1] = 0; f_left[1] = 0; f_lasts[1] = 0 }
  :: atomic { !restarted -> restarted = true; promised[2] = 0; share = 0; share_left = 0; by = 0;
       flying[0] = false; f_share[0] = 0; f_left[0] = 0; f_lasts[0] = 0;
       flying[1] = false; f_share[1] = 0; f_left[1] = 0; f_lasts[1] = 0; word[0] = 0; word[1] = 0;
       if :: MUTATION == 1 -> promise[2] = 0 :: else -> promise[2] = LEASE fi }
  :: atomic { PASSES(0); PASSES(1); ENDS(0); ENDS(1); ENDS(2); LESS(share_left); Settle() }
  od
}

ltl one_leader { [] !(authority[0] > 0 && authority[1] > 0) }
ltl whole { [] (own[0] + own[1] + share <= POOL) }
/* Both at once: one search of three million states in place of two. */
ltl both { [] (!(authority[0] > 0 && authority[1] > 0) && own[0] + own[1] + share <= POOL) }
