"""The deployment of the demo and the benches: ten model engines, three desk
engines and two plain services in three data centres of two regions."""

from cluster import Cluster, record

MODEL = "grind"
DESK_MODEL = "desk"
ENGINE_SITES = {
    "grind-1": "dc1", "grind-2": "dc1", "grind-3": "dc1", "grind-4": "dc2",
    "grind-5": "dc2", "grind-6": "dc2", "grind-7": "dc3", "grind-8": "dc3",
    "grind-9": "dc1", "review-1": "dc3"}
DESK_SITES = {"desk-1": "dc1", "desk-2": "dc2", "desk-3": "dc3"}
SERVICE_SITES = {"ledger": "dc1", "score": "dc2"}
SCORER = "score"
DESK_SERVICES = "ledger,score"
ENTRY_SITES = {"entry-1": "dc1", "entry-2": "dc2", "entry-3": "dc3"}

# What examples/rules.ini lets each trainer draw on, and its age bound.
ALLOWED = {"point-angle": ("grind-",), "reviewer": ("review-", "grind-9")}
AGE_BOUND = {"point-angle": 1, "reviewer": 2}

ENGINE_SLOTS = 8


def build(cluster, engine=None, desk_engine=None):
    """Starts endpoints and platform and lays out hosts; no daemon runs yet."""
    engine = {"slots": ENGINE_SLOTS, "token_micros": 2000, **(engine or {})}
    desk_engine = {"slots": ENGINE_SLOTS, "token_micros": 1500,
                   **(desk_engine or {})}
    for name, site in ENGINE_SITES.items():
        port = cluster.port()
        cluster.standin("engine", name, port, name=name, model=MODEL, **engine)
        cluster.add_agent(name, "engine", MODEL, site, port)
    for name, site in DESK_SITES.items():
        port = cluster.port()
        cluster.standin("engine", name, port, name=name, model=DESK_MODEL,
                        **desk_engine)
        cluster.add_agent(name, "engine", DESK_MODEL, site, port)
    for name, site in SERVICE_SITES.items():
        port = cluster.port()
        cluster.standin("service", f"service-{name}", port, name=name)
        cluster.add_agent(name, "service", name, site, port)
    for name, site in ENTRY_SITES.items():
        cluster.add_entry(name, site)


def start_trainer(cluster, name, announce, **flags):
    """Starts a trainer."""
    cluster.standin(
        "trainer", name, cluster.port(), name=name, model=MODEL,
        scorer=SCORER, age_bound=AGE_BOUND[name],
        entries=cluster.entries(), announce=str(announce).lower(),
        store=f"127.0.0.1:{cluster.platform['weightstore']}", **flags)


def start_desk(cluster, name, **flags):
    """Starts the load of a desk or portal."""
    cluster.standin("desk", name, cluster.port(), name=name, model=DESK_MODEL,
                    entries=cluster.entries(), services=DESK_SERVICES, **flags)


def kind_records(cluster, kind):
    """The records of all stand-ins of one program."""
    return {name: record(port)
            for name, (process, port) in cluster.standins.items()
            if process.command[0].endswith(f"standin_{kind}")}


class Verdict:
    """What the stand-ins' own records say of one run."""

    def __init__(self, cluster):
        self.trainers = kind_records(cluster, "trainer")
        self.desks = kind_records(cluster, "desk")
        self.services = kind_records(cluster, "service")
        self.engines = kind_records(cluster, "engine")
        self.submitted = self.sum("submitted")
        self.delivered = self.sum("delivered")
        self.duplicated = self.sum("duplicated") + self.sum("unknown")
        self.lost = (self.submitted - self.delivered + self.sum("cut")
                     + self.sum("failed") + self.sum("bad_score"))
        self.overage = self.sum("overage")
        self.mislabelled = self.sum("mislabelled") + self.unmade_samples()
        self.calls_sent = self.sum("sent", self.desks)
        self.calls_whole = self.sum("whole", self.desks)
        self.cut = self.sum("wrong", self.desks)
        self.booked = [booking["key"]
                       for service in self.services.values()
                       for booking in service["bookings"]]
        self.ran_twice = len(self.booked) - len(set(self.booked))
        not_run = self.keys("not_run_keys")
        self.false_not_run = len(not_run & set(self.booked))
        self.whole_not_booked = len(
            self.keys("whole_keys") - set(self.booked))
        self.outside_rules = sum(
            1 for name, trainer in self.trainers.items()
            for sample in trainer["samples"]
            if not sample["run"].startswith(ALLOWED[name]))

    def sum(self, name, among=None):
        """The sum of one count over all trainers (or other stand-ins)."""
        among = self.trainers if among is None else among
        return sum(each[name] for each in among.values())

    def keys(self, name):
        """All keys that desks list under one name."""
        return {key for desk in self.desks.values() for key in desk[name]}

    def unmade_samples(self):
        """Delivered samples whose run no engine has in its record."""
        made = {run["run"] for engine in self.engines.values()
                for run in engine["runs"] if run["next_token"] > 0}
        return sum(1 for trainer in self.trainers.values()
                   for sample in trainer["samples"]
                   if sample["run"] not in made)
