/*
 * Results of an item: two gateways that may both believe to own the partition,
 * progress that a successor goes on from, appends that are late, lost or
 * repeated, restarts.
 *
 * The submission is in the log. A text has two events. docs/model.md names the
 * functions behind the inlines.
 */

#define LOG_MAX 4
#define RESULT 1
#define PROGRESS 2

byte kind[LOG_MAX];
byte chain[LOG_MAX];   /* the run that a record is of */
byte start[LOG_MAX];   /* events of the chain before those of the record */
byte used = 0;

byte fkind = 0;        /* the append on its way; 0: none */
byte fchain = 0;
byte fstart = 0;

byte next[2];          /* records that a gateway has folded */
byte result[2];        /* the run whose result stands; 0: none */
byte folded[2];        /* the run of the folded chain */
byte events[2];        /* its events */
byte running[2];       /* a gateway's own run; 0: none */
byte had[2];           /* events of it */
byte saved[2];         /* events of it that are noted */
byte runs = 0;
byte shown = 0;        /* the run whose result a caller has read */
byte restarts = 1;

inline fold(n) {
  if
  :: kind[next[n]] == RESULT ->
     if
#ifdef MUT_LAST_STANDS
     :: true -> result[n] = chain[next[n]]
#else
     :: result[n] == 0 -> result[n] = chain[next[n]]
#endif
     :: else -> skip
     fi
  :: kind[next[n]] == PROGRESS && result[n] == 0 ->
     if
#ifdef MUT_JOIN_RUNS
     :: start[next[n]] > 0 && start[next[n]] == events[n] ->
#else
     :: start[next[n]] > 0 && start[next[n]] == events[n] &&
        chain[next[n]] == folded[n] ->
#endif
        /* A chain never takes in events of a run beside it. */
        assert(chain[next[n]] == folded[n]);
        events[n]++
     :: start[next[n]] == 0 && events[n] == 0 ->
        folded[n] = chain[next[n]];
        events[n] = 1
     :: else -> skip
     fi
  :: else -> skip
  fi;
  next[n]++
}

active proctype World() {
  byte n;
  do
  :: atomic { /* An owner starts the item, after the events that it knows. */
       runs < 2 ->
       select(n : 0 .. 1);
       if
       :: running[n] == 0 && result[n] == 0 ->
          runs++;
          running[n] = runs;
          had[n] = events[n];
          saved[n] = 0
       :: else -> skip
       fi
     }
  :: atomic { /* Its engine makes an event. */
       select(n : 0 .. 1);
       if
       :: running[n] > 0 && had[n] < 2 -> had[n]++
       :: else -> skip
       fi
     }
  :: atomic { /* It notes an event. */
       fkind == 0 ->
       select(n : 0 .. 1);
       if
       :: running[n] > 0 && saved[n] < had[n] ->
          fkind = PROGRESS; fchain = running[n]; fstart = saved[n];
          saved[n]++
       :: else -> skip
       fi
     }
  :: atomic { /* The text is whole: its result is appended. */
       fkind == 0 ->
       select(n : 0 .. 1);
       if
       :: running[n] > 0 && had[n] == 2 ->
          fkind = RESULT; fchain = running[n]; fstart = 0;
#ifdef MUT_SHOW_UNREAD
          if
          :: result[n] == 0 -> result[n] = running[n]
          :: else -> skip
          fi;
#endif
          running[n] = 0
       :: else -> skip
       fi
     }
  :: atomic { /* The append is carried out, once or twice, or never. */
       fkind > 0 && used < LOG_MAX ->
       kind[used] = fkind; chain[used] = fchain; start[used] = fstart;
       used++;
       if
       :: fkind = 0; fchain = 0; fstart = 0
       :: true -> skip
       fi
     }
  :: atomic { fkind > 0 -> fkind = 0; fchain = 0; fstart = 0 }
  :: atomic { /* A gateway reads the next record. */
       select(n : 0 .. 1);
       if
       :: next[n] < used -> fold(n)
       :: else -> skip
       fi
     }
  :: atomic { /* It gives its run up: it was told of another owner. */
       select(n : 0 .. 1);
       running[n] = 0; had[n] = 0; saved[n] = 0
     }
  :: atomic { /* A caller reads the result. */
       select(n : 0 .. 1);
       if
       :: result[n] > 0 ->
          assert(shown == 0 || shown == result[n]);
          shown = result[n];
#ifdef MUT_WITNESS
          assert(shown < 2);
#endif
          skip
       :: else -> skip
       fi
     }
  :: atomic { /* A gateway is killed. */
       restarts > 0 ->
       restarts--;
       select(n : 0 .. 1);
       next[n] = 0; result[n] = 0; folded[n] = 0; events[n] = 0;
       running[n] = 0; had[n] = 0; saved[n] = 0
     }
  od
}
