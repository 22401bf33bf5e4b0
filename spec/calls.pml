/*
 * Calls at most once: intent, dispatch, refusal, agent restart.
 *
 * Two entries, two agents, one idempotency key, a caller that sends the key
 * up to ATTEMPTS times and gives up on an attempt whenever it likes.
 * A pause is a process that takes no action while others do, and an outage of
 * the log a time in which nothing lands and nobody reads: every interleaving
 * contains both. A lost answer is a message that is sent again.
 * Assumption: a request has reached its entry before the caller sends the
 * next one.
 * docs/model.md names the function of core behind each inline.
 */

#define LOG_MAX 5
#define ATTEMPTS 3
#define FAULTS 2

/* Kinds of records; 0 marks an empty place. */
#define INTENT 1
#define DONE 2
#define NOT_RUN 3

/* What the caller was told since its last attempt. */
#define NOTHING 0
#define TOLD_NOT_RUN 1
#define TOLD_OTHER 2

/* An agent's memory of one intent. */
#define RUNNING 1
#define ENDED 2
#define TOMBSTONE 3

typedef Rec {
  byte kind;
  byte agent;
  byte boot;
  byte intent;    /* DONE, NOT_RUN: place + 1 of the intent */
};

typedef Entry {
  byte read;      /* records folded */
  byte stands;    /* place + 1 of the standing intent; 0: none */
  bool done;      /* its outcome is known */
  bool noRun;     /* the outcome is that it never runs */
  byte waiter;    /* attempt that waits; 0: none */
  bool proposed;  /* an intent is on its way */
  bool sent;      /* the standing intent was sent from here */
};

typedef Agent {
  byte boot;
  byte know[LOG_MAX];
  byte floor;     /* highest intent forgotten: place + 1 */
  bool pinned;    /* MUT_PINNED: ran the key without an intent */
};

Rec records[LOG_MAX];
byte used = 0;
Rec flight[2];
Rec closing[2];        /* outcomes on their way */
Entry e[2];
Agent a[2];
byte link[2];          /* place + 1 of an intent sent and not yet handled */

byte attempt = 0;
byte told = NOTHING;
byte ran = 0;

/* Entry crashes, agent restarts, duplicate appends, refusals and forgetting
 * share one budget: every combination of them is tried. */
byte faults = FAULTS;

byte x;

/* The caller hears something about one attempt; others were given up. */
inline tell(who, what) {
  if
  :: who == attempt && told == NOTHING ->
    told = what;
    assert(what != TOLD_NOT_RUN || ran == 0)
  :: else -> skip
  fi
}

inline start() {
  ran++;
  assert(ran <= 1);
  assert(told != TOLD_NOT_RUN)
}

/* Refusal before anything is known: true for a first use that was not sent. */
inline refuseUnsettled(n) {
  if
#ifdef MUT_ASSUME_NOT_RUN
  :: true -> tell(e[n].waiter, TOLD_NOT_RUN)
#else
  :: e[n].waiter == 1 && !e[n].sent -> tell(e[n].waiter, TOLD_NOT_RUN)
  :: else -> tell(e[n].waiter, TOLD_OTHER)
#endif
  fi;
  e[n].waiter = 0
}

inline propose(n, g) {
  flight[n].kind = INTENT;
  flight[n].agent = g;
  flight[n].boot = a[g].boot;
  e[n].proposed = true
}

inline land(rec) {
  records[used].kind = rec.kind;
  records[used].agent = rec.agent;
  records[used].boot = rec.boot;
  records[used].intent = rec.intent;
  used++;
  if
  :: faults > 0 -> faults--
  :: rec.kind = 0; rec.agent = 0; rec.boot = 0; rec.intent = 0
  fi
}

inline foldIntent(n) {
  if
#ifdef MUT_LAST_STANDS
  :: true ->
#else
  :: e[n].stands == 0 ->
#endif
    e[n].stands = e[n].read + 1;
    e[n].done = false;
    e[n].sent = false;
    e[n].proposed = false
  :: else -> skip
  fi
}

inline foldOutcome(n) {
  if
  :: records[e[n].read].intent == e[n].stands &&
     records[e[n].read].kind == DONE ->
    e[n].done = true;
    if
    :: e[n].waiter != 0 -> tell(e[n].waiter, TOLD_OTHER); e[n].waiter = 0
    :: else -> skip
    fi
  :: records[e[n].read].intent == e[n].stands &&
     records[e[n].read].kind == NOT_RUN ->
#ifdef MUT_REOPEN
    /* The key is free for another intent. */
    e[n].stands = 0;
    e[n].sent = false;
#else
    /* The key has ended: no other intent ever stands for it. */
    e[n].done = true;
    e[n].noRun = true;
#endif
    if
    :: e[n].waiter != 0 -> tell(e[n].waiter, TOLD_NOT_RUN); e[n].waiter = 0
    :: else -> skip
    fi
  :: else -> skip
  fi
}

inline readOne(n) {
  if
  :: records[e[n].read].kind == INTENT -> foldIntent(n)
  :: else -> foldOutcome(n)
  fi;
  e[n].read++
}

/* Reading a part is the same as reading all when only that part was there. */
inline readAll(n) {
  do
  :: e[n].read < used -> readOne(n)
  :: else -> break
  od
}

/* The agent handles a message that names intent m (place + 1). */
inline admit(n, m) {
  x = records[m - 1].agent;
  if
#ifndef MUT_ANY_BOOT
  :: records[m - 1].boot != a[x].boot ->
    /* WrongBoot: unknown */
    if
    :: e[n].stands == m && e[n].waiter != 0 ->
      tell(e[n].waiter, TOLD_OTHER);
      e[n].waiter = 0
    :: else -> skip
    fi
  :: records[m - 1].boot == a[x].boot && a[x].know[m - 1] == 0 &&
#else
  :: a[x].know[m - 1] == 0 &&
#endif
#ifndef MUT_FORGET
     m > a[x].floor ->
#else
     true ->
#endif
    if
    :: start(); a[x].know[m - 1] = RUNNING
    /* Refused before it starts: queue full, or the host leaves. */
    :: faults > 0 ->
      faults--;
#ifndef MUT_NO_TOMBSTONE
      a[x].know[m - 1] = TOMBSTONE;
#endif
      replyNotRun(n, m)
    fi
  :: a[x].know[m - 1] == TOMBSTONE -> replyNotRun(n, m)
  :: a[x].know[m - 1] == ENDED -> replyDone(n, m)
  :: else -> skip
  fi;
  x = 0
}

/* The agent's answers may be lost: the entry then sends again. */
inline replyNotRun(n, m) {
  if
  :: true -> skip
  :: e[n].stands == m && e[n].waiter != 0 && closing[n].kind == 0 ->
    closing[n].kind = NOT_RUN;
    closing[n].intent = m;
    tell(e[n].waiter, TOLD_NOT_RUN);
    e[n].waiter = 0
  fi
}

inline replyDone(n, m) {
  if
  :: true -> skip
  :: e[n].stands == m && e[n].waiter != 0 && closing[n].kind == 0 ->
    closing[n].kind = DONE;
    closing[n].intent = m;
    e[n].done = true;
    tell(e[n].waiter, TOLD_OTHER);
    e[n].waiter = 0
  fi
}

inline entryStep(n) {
  if
  :: flight[n].kind != 0 && used < LOG_MAX -> land(flight[n])
  :: closing[n].kind != 0 && used < LOG_MAX -> land(closing[n])
  :: e[n].read < used -> readAll(n)
  /* Dispatch: the standing intent is known and somebody waits. */
  :: e[n].waiter != 0 && e[n].stands != 0 && !e[n].done && link[n] == 0 ->
#ifdef MUT_SECOND_INTENT
    if
    :: a[records[e[n].stands - 1].agent].boot !=
       records[e[n].stands - 1].boot && flight[n].kind == 0 ->
      e[n].stands = 0;
      propose(n, 1)
    :: else -> link[n] = e[n].stands; e[n].sent = true
    fi
#else
    link[n] = e[n].stands;
    e[n].sent = true
#endif
  /* A known outcome answers a repeat. */
  :: e[n].waiter != 0 && e[n].done ->
    if
    :: e[n].noRun -> tell(e[n].waiter, TOLD_NOT_RUN)
    :: else -> tell(e[n].waiter, TOLD_OTHER)
    fi;
    e[n].waiter = 0
  /* Deadlines: no read-back in time, or no word from the agent. */
  :: e[n].waiter != 0 -> refuseUnsettled(n)
  :: link[n] != 0 -> admit(n, link[n]); link[n] = 0
#ifdef MUT_SEND_EARLY
  :: e[n].proposed && e[n].waiter != 0 && e[n].stands == 0 &&
     flight[n].kind == INTENT && a[flight[n].agent].boot == flight[n].boot &&
     !a[flight[n].agent].pinned ->
    a[flight[n].agent].pinned = true;
    start()
#endif
#ifdef MUT_PINNED
  /* Log down: the key goes to the agent that membership pins it to. */
  :: e[n].waiter != 0 && e[n].stands == 0 && !a[0].pinned ->
    a[0].pinned = true;
    start();
    tell(e[n].waiter, TOLD_OTHER);
    e[n].waiter = 0
#endif
  :: faults > 0 ->
    faults--;
    e[n].read = 0;
    e[n].stands = 0;
    e[n].done = false;
    e[n].noRun = false;
    e[n].waiter = 0;
    e[n].proposed = false;
    e[n].sent = false
  fi
}

/* The caller sends the key (again) to an entry. */
inline arrive(n) {
  attempt++;
  told = NOTHING;
  e[n].waiter = attempt;
  if
  :: e[n].stands == 0 && !e[n].proposed && flight[n].kind == 0 ->
    if
    :: propose(n, 0)
    :: propose(n, 1)
    :: skip  /* log down */
    fi
  :: else -> skip
  fi
}

inline agentStep(g) {
  if
  :: a[g].know[0] == RUNNING -> a[g].know[0] = ENDED
  :: a[g].know[1] == RUNNING -> a[g].know[1] = ENDED
  :: a[g].know[2] == RUNNING -> a[g].know[2] = ENDED
  :: a[g].know[3] == RUNNING -> a[g].know[3] = ENDED
  /* Bounded memory: ended intents are forgotten up to an offset. */
  :: faults > 0 && a[g].know[0] >= ENDED ->
    faults--;
    a[g].know[0] = 0;
    a[g].floor = 1
  :: faults > 0 ->
    faults--;
    a[g].boot++;
    a[g].know[0] = 0;
    a[g].know[1] = 0;
    a[g].know[2] = 0;
    a[g].know[3] = 0;
    a[g].know[4] = 0;
    a[g].floor = 0;
    a[g].pinned = false
  fi
}

init {
end:
  do
  :: atomic { attempt < ATTEMPTS -> arrive(0) }
  :: atomic { attempt < ATTEMPTS -> arrive(1) }
  :: atomic { entryStep(0) }
  :: atomic { entryStep(1) }
  :: atomic { agentStep(0) }
  :: atomic { agentStep(1) }
#ifdef MUT_WITNESS
  :: atomic { ran == 1 && e[0].done && e[1].done -> assert(false) }
#endif
  od
}
