/*
 * Taking a batch submission: appends that are refused, lost, late or sent
 * again, a caller that repeats at either gateway, restarts.
 *
 * 202 means that the record is in the log for good; 503 at every try means that
 * the item never runs. docs/model.md names the functions behind the inlines.
 */

#define LOG_MAX 3
#define FLIGHTS 3

byte used = 0;         /* submission records in the log: the first stands */
bool flying[FLIGHTS];  /* appends on their way */
byte asker[FLIGHTS];   /* the gateway + 1 that waits for the answer; 0: none */

byte call[2];          /* of a gateway: 0 none; 1 appending; 2 unsure, again */
bool known[2];         /* the gateway has read the submission */
byte calls = 3;
byte refusals = 0;
byte restarts = 2;
bool unsure = false;   /* a call ended without a promise */
bool accepted = false;
bool ran = false;

inline send(who) {
  if
  :: !flying[0] -> flying[0] = true; asker[0] = who + 1
  :: flying[0] && !flying[1] -> flying[1] = true; asker[1] = who + 1
  :: else -> flying[2] = true; asker[2] = who + 1
  fi
}

inline finish(who, done) {
  if
  :: done -> accepted = true
#ifdef MUT_REFUSE_UNSURE
  :: !done -> refusals++
#else
  :: !done && call[who] == 1 -> refusals++
  :: !done && call[who] == 2 -> unsure = true
#endif
  fi;
  call[who] = 0
}

#define FREE (!flying[0] || !flying[1] || !flying[2])
#define ALL_REFUSED (refusals > 0 && !unsure && !accepted && calls == 0 && \
                     call[0] == 0 && call[1] == 0)

active proctype World() {
  byte n;
  byte i;
  do
  :: atomic { /* The caller sends its submission. */
       calls > 0 && !accepted && FREE ->
       select(n : 0 .. 1);
       if
       :: call[n] == 0 && known[n] -> calls--; accepted = true
       :: call[n] == 0 && !known[n] ->
          calls--;
          send(n);
          call[n] = 1;
#ifdef MUT_ACK_EARLY
          accepted = true;
#endif
#ifdef MUT_RUN_EARLY
          ran = true;
#endif
          skip
       :: else -> skip
       fi
     }
  :: atomic { /* An append is carried out; its answer may be lost. */
       select(i : 0 .. 2);
       if
       :: flying[i] && used < LOG_MAX ->
          used++;
          flying[i] = false;
          if
          :: asker[i] > 0 -> n = asker[i] - 1; finish(n, true)
          :: true -> skip
          fi;
          asker[i] = 0
       :: else -> skip
       fi
     }
  :: atomic { /* The store refuses an append. */
       select(i : 0 .. 2);
       if
       :: flying[i] && asker[i] > 0 ->
          n = asker[i] - 1;
          flying[i] = false;
          asker[i] = 0;
          finish(n, false)
       :: else -> skip
       fi
     }
  :: atomic { /* An append is lost on its way. */
       select(i : 0 .. 2);
       if
       :: flying[i] && asker[i] == 0 -> flying[i] = false
       :: else -> skip
       fi
     }
  :: atomic { /* The wait for an answer is over: sent again, or given up. */
       select(n : 0 .. 1);
       if
       :: call[n] > 0 ->
          if
          :: asker[0] == n + 1 -> asker[0] = 0
          :: asker[1] == n + 1 -> asker[1] = 0
          :: asker[2] == n + 1 -> asker[2] = 0
          :: else -> skip
          fi;
          if
          :: FREE -> call[n] = 2; send(n)
          :: true ->
             call[n] = 0;
#ifdef MUT_GIVE_UP_AS_REFUSED
             refusals++
#else
             unsure = true
#endif
          fi
       :: else -> skip
       fi
     }
  :: atomic { /* A gateway reads the log. */
       select(n : 0 .. 1);
       if
       :: used > 0 -> known[n] = true
       :: else -> skip
       fi
     }
  :: atomic { /* The owner, either of them, runs the item. */
       known[0] || known[1] -> ran = true
     }
  :: atomic { /* A gateway is killed: its caller sees the connection break. */
       restarts > 0 ->
       restarts--;
       select(n : 0 .. 1);
       known[n] = false;
       if
       :: call[n] > 0 -> call[n] = 0; unsure = true
       :: else -> skip
       fi;
       if
       :: asker[0] == n + 1 -> asker[0] = 0
       :: asker[1] == n + 1 -> asker[1] = 0
       :: asker[2] == n + 1 -> asker[2] = 0
       :: else -> skip
       fi
     }
  :: atomic { /* Accepted: the record is in the log. */
       accepted ->
#ifdef MUT_WITNESS
       assert(!ran);
#endif
       assert(used > 0)
     }
  :: atomic { /* Refused at every try: it has not run. */
       ALL_REFUSED -> assert(!ran)
     }
  od
}
