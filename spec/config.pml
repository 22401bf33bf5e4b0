/*
 * Configuration: conditional publication, racing operators, pushes between
 * processes, restart. In force everywhere, never reverts.
 *
 * Two operators, three processes: two read the log, one learns by pushes.
 * docs/model.md names the function of core behind each inline.
 */

#define LOG_MAX 5
#define PROCESSES 3

byte base[LOG_MAX];    /* each record: place + 1 of the one it builds on */
byte author[LOG_MAX];  /* and who wrote it: operator + 1 */
byte used = 0;
byte accepted[LOG_MAX + 1];  /* by place + 1: the one accepted before */

typedef Process {
  byte read;           /* records folded */
  byte applied;        /* place + 1 of the configuration in force; 0: none */
};

Process p[PROCESSES];
byte push[PROCESSES];  /* a push on its way to each process; 0: none */
byte seen[2];          /* what each operator edited */
byte flight[2];        /* base + 1 of a publication on its way; 0: none */
byte publishes = 3;
byte copies = 1;
byte restarts = 1;
byte outages = 1;
bool down = false;

inline foldConfig(n) {
  if
#ifdef MUT_BLIND
  :: true ->
#else
  :: base[p[n].read] == p[n].applied ->
#endif
    /* Nothing that an operator had not seen is overwritten. */
    assert(base[p[n].read] == p[n].applied);
    apply(n, p[n].read + 1)
  :: else -> skip
  fi;
  p[n].read++
}

inline apply(n, c) {
  assert(c >= p[n].applied);
  p[n].applied = c
}

inline takePush(n) {
  if
#ifdef MUT_PUSH_OLDER
  :: true -> apply(n, push[n])
#else
  :: push[n] > p[n].applied -> apply(n, push[n])
#endif
  :: else -> skip
  fi;
  push[n] = 0
}

inline operatorStep(o) {
  if
  :: publishes > 0 && flight[o] == 0 ->
    publishes--;
    seen[o] = p[o].applied;
    flight[o] = seen[o] + 1
  :: flight[o] != 0 && !down && used < LOG_MAX ->
    base[used] = flight[o] - 1;
    author[used] = o + 1;
    used++;
    if
    :: copies > 0 -> copies--
    :: flight[o] = 0
    fi
  fi
}

/* Readers of the log agree at equal positions. */
inline agree() {
  assert(p[0].read != p[1].read || p[0].applied == p[1].applied)
}

init {
end:
  do
  :: atomic { operatorStep(0) }
  :: atomic { operatorStep(1) }
  :: atomic { !down && p[0].read < used -> foldConfig(0); agree() }
  :: atomic { !down && p[1].read < used -> foldConfig(1); agree() }
  :: atomic { push[2] == 0 && p[0].applied != 0 -> push[2] = p[0].applied }
  :: atomic { push[2] == 0 && p[1].applied != 0 -> push[2] = p[1].applied }
  :: atomic { push[2] != 0 -> takePush(2) }
  /* A fresh process reads the log from its start before it serves. */
  :: atomic {
      restarts > 0 && !down ->
      restarts--;
      p[1].read = 0;
      p[1].applied = 0
    }
  :: atomic { outages > 0 && !down -> outages--; down = true }
  :: atomic { down -> down = false }
#ifdef MUT_WITNESS
  :: atomic { p[2].applied >= 3 -> assert(false) }
#endif
  od
}
