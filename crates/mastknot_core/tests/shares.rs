//! Shares of room that is short: weighted max-min between halls whose needs are equally urgent.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::entry::{self, Entry};
use common::side::{self, ENTRY, OTHER, Side, cpu, run, start};
use mastknot_core::agent::{
    AgentDecision, AgentEffect, AgentEvent, FinishReason, HallShares, HallTotals, OrderOutcome,
    OrderRefusal, SessionId as Link, TargetFinished, TargetRunning, TargetView,
};
use mastknot_core::job::{
    EntryOrder, EntryUpdate, QueuePolicy, RunId, ShareWeights, SideHello, SideReport, WaitingNeed,
};
use mastknot_core::scheduler::{
    CallerId, JobScheduler, SchedulerEffect, SchedulerEvent, SchedulerSettings, SessionId,
};
use mastknot_core::types::{Hall, Incarnation, WallTime};

/// What a piece of room is worth, in thousandths of a target times milliseconds.
const PIECE: u64 = 100 * 60;
/// So many pieces are given out.
const PIECES: u64 = 6_000;
/// What the pieces leave open.
const WITHIN: f64 = 0.02;

fn weights(revision: u64, halls: &[(&str, u32)]) -> ShareWeights {
    ShareWeights {
        revision,
        halls: halls
            .iter()
            .map(|(hall, weight)| (Hall::from(hall), *weight))
            .collect(),
    }
}

/// What a hall asks for.
#[derive(Clone, Copy, Debug)]
struct Asking {
    hall: &'static str,
    /// Its part of all pieces.
    part: f64,
    /// It can only use each such piece.
    each: u64,
}

fn asks(hall: &'static str, part: f64) -> Asking {
    let each = 1;
    Asking { hall, part, each }
}

/// Whether what a hall gets because others could not use it is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lent {
    Charged,
    Forgotten,
}

/// Gives out pieces to whoever waits and is next; returns the part that each hall got.
fn give_out(asking: &[Asking], weights: &ShareWeights, lent: Lent) -> Vec<f64> {
    let mut shares = HallShares::default();
    let mut got = vec![0_u64; asking.len()];
    for piece in 0..PIECES {
        let owed = |place: usize| asking[place].part * (piece + 1) as f64 - got[place] as f64;
        let waiting = (0..asking.len()).filter(|place| owed(*place) >= 1.0);
        let waiting: Vec<usize> = waiting.collect();
        let halls: Vec<Hall> = asking.iter().map(|asking| asking.hall.into()).collect();
        let time = |place: &usize| shares.virtual_time(&halls[*place]);
        let first = waiting.iter().copied().min_by_key(time);
        let fitting = waiting.iter().copied();
        let fitting = fitting.filter(|place| piece % asking[*place].each == 0);
        let Some(next) = fitting.min_by_key(time) else {
            continue;
        };
        shares.record_waiting(waiting.iter().map(|place| &halls[*place]));
        got[next] += 1;
        if first == Some(next) || lent == Lent::Charged {
            shares.charge(&halls[next], PIECE, weights);
        }
    }
    got.iter().map(|got| *got as f64 / PIECES as f64).collect()
}

fn assert_near(got: &[f64], wanted: &[f64]) {
    let is_near = got
        .iter()
        .zip(wanted)
        .all(|(got, wanted)| (got - wanted).abs() <= WITHIN);
    assert!(is_near, "{got:.3?} in place of {wanted:.3?}");
}

#[test]
fn a_hall_that_asks_for_less_than_its_share_gets_all_of_it() {
    let asking = [asks("a", 4.0), asks("b", 0.2), asks("c", 0.3)];
    let got = give_out(&asking, &ShareWeights::default(), Lent::Charged);
    assert_near(&got, &[0.5, 0.2, 0.3]);
}

#[test]
fn what_is_left_is_shared_by_weight() {
    let asking = [asks("a", 1.0), asks("b", 1.0), asks("c", 0.1)];
    let weights = weights(1, &[("a", 200)]);
    let got = give_out(&asking, &weights, Lent::Charged);
    assert_near(&got, &[0.6, 0.3, 0.1]);
}

#[test]
fn the_lightest_and_the_heaviest_weight_count_whole() {
    let asking = [asks("a", 1.0), asks("b", 1.0)];
    let weights = weights(1, &[("a", 1), ("b", ShareWeights::MAX)]);
    let got = give_out(&asking, &weights, Lent::Charged);
    assert_near(&got, &[0.0, 1.0]);
    assert!(got[0] > 0.0, "nobody is left out whole: {got:?}");
}

/// What one hall can't use others get, and that counts: with half of the pieces too small for one of them, all still
/// have the same.
#[test]
fn what_is_lent_is_charged() {
    let picky = Asking {
        each: 2,
        ..asks("c", 1.0)
    };
    let asking = [asks("a", 1.0), asks("b", 1.0), picky];
    let third = 1.0 / 3.0;
    let got = give_out(&asking, &ShareWeights::default(), Lent::Charged);
    assert_near(&got, &[third; 3]);
    let forgotten = give_out(&asking, &ShareWeights::default(), Lent::Forgotten);
    assert!(
        (forgotten[2] - third).abs() > WITHIN,
        "a share that forgets what is lent is noticed: {forgotten:?}"
    );
}

/// Pieces in a row that go to `hall` while both wait.
fn pieces_in_a_row(shares: &mut HallShares, hall: &Hall, other: &Hall) -> u64 {
    let even = ShareWeights::default();
    let mut pieces = 0;
    while shares.virtual_time(hall) <= shares.virtual_time(other) {
        shares.record_waiting([hall, other].into_iter());
        shares.charge(hall, PIECE, &even);
        pieces += 1;
    }
    pieces
}

#[test]
fn an_idle_hall_lends_all_and_is_next_when_it_comes_back() {
    let (busy, idle) = (Hall::from("busy"), Hall::from("idle"));
    let mut shares = HallShares::default();
    for _ in 0..10_000 {
        shares.record_waiting([&busy].into_iter());
        shares.charge(&busy, PIECE, &ShareWeights::default());
    }
    assert!(shares.virtual_time(&idle) < shares.virtual_time(&busy));
    let pieces = pieces_in_a_row(&mut shares, &idle, &busy);
    assert!(pieces <= 2, "it has not saved up: {pieces} in a row");
}

/// The target does 1,000 times 1,000 of work in a second.
#[test]
fn whoever_was_busy_alone_waits_a_second_at_most() {
    let (busy, idle) = (Hall::from("busy"), Hall::from("idle"));
    let mut shares = HallShares::default();
    for _ in 0..10_000 {
        shares.charge(&busy, PIECE, &ShareWeights::default());
    }
    let pieces = pieces_in_a_row(&mut shares, &idle, &busy);
    let work = pieces * PIECE;
    assert!((500_000..=1_010_000).contains(&work), "{work}");
}

#[test]
fn a_hall_that_waits_in_vain_does_not_undo_the_shares_of_others() {
    let never = Asking {
        each: u64::MAX,
        ..asks("never", 1.0)
    };
    let asking = [asks("a", 1.0), asks("b", 1.0), never];
    let weights = weights(1, &[("a", 300)]);
    let got = give_out(&asking, &weights, Lent::Charged);
    assert_near(&got, &[0.75, 0.25, 0.0]);
}

#[test]
fn what_was_not_used_is_not_charged() {
    let (hall, other) = (Hall::from("a"), Hall::from("b"));
    let even = ShareWeights::default();
    let mut shares = HallShares::default();
    for _ in 0..100 {
        shares.record_waiting([&hall, &other].into_iter());
        shares.charge(&hall, PIECE, &even);
        shares.refund(&hall, PIECE, &even);
    }
    assert_eq!(shares.virtual_time(&hall), shares.virtual_time(&other));
    assert_eq!(shares.tracked_halls(), 0);
}

#[test]
fn the_state_is_bounded_whatever_halls_are_named() {
    let even = ShareWeights::default();
    let mut shares = HallShares::default();
    let mut totals = HallTotals::default();
    for place in 0..10_000 {
        let hall = Hall::from(format!("hall-{place}"));
        shares.charge(&hall, PIECE, &even);
        totals.record_started(&hall, PIECE, &[&hall], &even);
    }
    assert!(shares.tracked_halls() <= HallShares::MAX_HALLS);
    assert!(totals.halls().len() <= HallShares::MAX_HALLS);
}

#[test]
fn weights_that_change_count_from_then_on() {
    let halls = [Hall::from("a"), Hall::from("b")];
    let mut shares = HallShares::default();
    let mut give = |weights: &ShareWeights| {
        let mut got = [0_u64; 2];
        for _ in 0..1_000 {
            shares.record_waiting(halls.iter());
            let next = usize::from(shares.virtual_time(&halls[1]) < shares.virtual_time(&halls[0]));
            shares.charge(&halls[next], PIECE, weights);
            got[next] += 1;
        }
        got[0] as f64 / 1_000.0
    };
    assert_near(&[give(&ShareWeights::default())], &[0.5]);
    assert_near(&[give(&weights(2, &[("a", 300)]))], &[0.75]);
    assert_near(&[give(&weights(3, &[("b", 400)]))], &[0.2]);
}

#[test]
fn what_was_due_goes_by_the_weights_of_those_that_waited() {
    let (a, b) = (Hall::from("a"), Hall::from("b"));
    let weights = weights(1, &[("a", 300)]);
    let mut totals = HallTotals::default();
    totals.record_started(&a, 1_000, &[], &weights);
    totals.record_started(&a, 1_000, &[&a], &weights);
    totals.record_started(&b, 1_000, &[&a, &b], &weights);
    let (a, b) = (totals.halls()[&a], totals.halls()[&b]);
    assert_eq!((a.due, a.had), (1_750, 1_000));
    assert_eq!((b.due, b.had), (250, 1_000));
}

/// What an entry tells of shares.
fn telling(shares_room: bool, weights: ShareWeights) -> EntryUpdate {
    EntryUpdate {
        shares_capacity: shares_room,
        shares: Arc::new(weights),
        ..EntryUpdate::default()
    }
}

/// Tasks of two cores wait at an entry.
fn heartbeat(heard: u64, rank: u8, news: Option<EntryUpdate>) -> EntryOrder {
    let need = WaitingNeed {
        rank,
        required_capacity: cpu(40_000),
        smallest_task: cpu(2_000),
        ..WaitingNeed::default()
    };
    let need = Some(need);
    EntryOrder::Heartbeat {
        last_received: heard,
        need,
        update: news,
    }
}

fn join_in(side: &mut Side, ms: u64, session: Link, entry: &str, hall: &str) {
    side.step(ms, AgentEvent::LinkUp { session });
    let EntryOrder::Welcome(mut welcome) = side::welcome(entry, 1) else {
        unreachable!("a welcome");
    };
    welcome.hall = hall.into();
    side.order(ms, session, EntryOrder::Welcome(welcome));
}

/// Two runs of 100 ms at a time, as their entries expect.
const BETWEEN_ENDS_MS: u64 = 45;
const REPORTED_AFTER_MS: u64 = 5;
const THIRD: Link = Link(3);
const LINKS: [Link; 3] = [ENTRY, OTHER, THIRD];

/// The hall and the entry of each offer.
fn offered(effects: &[AgentEffect]) -> Vec<(String, String)> {
    let offered = effects.iter().filter_map(|effect| match effect {
        AgentEffect::Decided(AgentDecision::Offered { entry, hall, .. }) => {
            Some((hall.to_string(), entry.to_string()))
        }
        _ => None,
    });
    offered.collect()
}

/// A full target whose runs end one after the other, and entries that use what they are offered at once.
struct Crowd {
    side: Side,
    now: u64,
    look: u64,
    heard: BTreeMap<Link, u64>,
    running: Vec<RunId>,
    ends: u64,
    jobs: u64,
}

impl Crowd {
    fn new(news: &EntryUpdate) -> Self {
        let mut crowd = Self::empty(news);
        for _ in 0..2 {
            crowd.start(ENTRY);
        }
        for link in LINKS {
            crowd.tell(link, 0, None);
        }
        crowd
    }

    /// The same with nothing that runs or waits.
    fn empty(news: &EntryUpdate) -> Self {
        let mut side = Side::ready();
        join_in(&mut side, 1_000, OTHER, "entry-2", "far");
        join_in(&mut side, 1_000, THIRD, "entry-3", "far");
        let mut crowd = Self {
            side,
            now: 1_001,
            look: 0,
            heard: BTreeMap::new(),
            running: Vec::new(),
            ends: 0,
            jobs: 1,
        };
        for link in LINKS {
            let news = Some(news.clone());
            let heartbeat = EntryOrder::Heartbeat {
                last_received: 0,
                need: None,
                update: news,
            };
            crowd.order(link, heartbeat);
        }
        crowd
    }

    fn start(&mut self, link: Link) {
        let run = run(self.jobs);
        self.jobs += 1;
        let ordered = self.order(link, start(run.task.job.0, 2_000));
        assert_eq!(
            side::ordered(&ordered),
            [run],
            "what is offered can be used"
        );
        let clock_ms = self.clock_ms();
        let outcome = OrderOutcome::Started { clock_ms };
        self.step(AgentEvent::OrderAnswered { run, outcome });
        self.running.push(run);
    }

    fn tell(&mut self, link: Link, rank: u8, news: Option<EntryUpdate>) {
        let heard = self.heard.get(&link).copied().unwrap_or_default();
        self.order(link, heartbeat(heard, rank, news));
    }

    /// The target's clock of [`Side::ready`].
    fn clock_ms(&self) -> u64 {
        self.now + 999
    }

    fn order(&mut self, session: Link, order: EntryOrder) -> Vec<AgentEffect> {
        let orders = vec![order];
        self.step(AgentEvent::FromEntry { session, orders })
    }

    fn step(&mut self, event: AgentEvent) -> Vec<AgentEffect> {
        let effects = self.side.step(self.now, event);
        self.look = side::probe_number(&effects).unwrap_or(self.look);
        for effect in &effects {
            if let AgentEffect::Send {
                session,
                report: SideReport::Status(status),
            } = effect
            {
                self.heard.insert(*session, status.number);
            }
        }
        effects
    }

    /// The oldest run does its work.
    fn end_oldest(&mut self) -> Vec<AgentEffect> {
        self.ends += 1;
        let finished = vec![TargetFinished {
            number: self.ends,
            run: self.running.remove(0),
            reason: FinishReason::Done,
        }];
        let running = self.running.iter();
        let running = running.map(|run| TargetRunning {
            run: *run,
            percent: 50,
        });
        let view = TargetView {
            clock_ms: self.clock_ms(),
            started_at_ms: 0,
            running: running.collect(),
            finished,
        };
        let number = self.look;
        let result = Ok(view);
        self.step(AgentEvent::Probed { number, result })
    }

    /// Lets runs end, and each entry use what it is offered; returns how often each hall and each entry was offered
    /// room.
    fn play(&mut self, ranks: [u8; 3], ends: usize) -> BTreeMap<String, u32> {
        let mut offers: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..ends {
            self.now += BETWEEN_ENDS_MS;
            let mut effects = self.end_oldest();
            self.now += REPORTED_AFTER_MS;
            effects.extend(self.step(AgentEvent::Tick));
            for (hall, entry) in offered(&effects) {
                *offers.entry(hall).or_default() += 1;
                *offers.entry(entry).or_default() += 1;
            }
            for (link, rank) in LINKS.into_iter().zip(ranks) {
                if has_offer(&effects, link) {
                    self.start(link);
                }
                self.tell(link, rank, None);
            }
        }
        offers
    }
}

fn has_offer(effects: &[AgentEffect], link: Link) -> bool {
    effects.iter().any(|effect| match effect {
        AgentEffect::Send {
            session,
            report: SideReport::Status(status),
        } => *session == link && status.is_offer,
        _ => false,
    })
}

#[test]
fn halls_take_turns_whatever_entries_they_have() {
    let mut crowd = Crowd::new(&telling(true, ShareWeights::default()));
    let offers = crowd.play([0; 3], 120);
    let (near, far) = (offers["hall"], offers["far"]);
    assert!(near.abs_diff(far) <= 2, "{offers:?}");
    assert!(
        offers["entry-2"].abs_diff(offers["entry-3"]) <= 2,
        "{offers:?}"
    );
}

#[test]
fn a_hall_of_twice_the_weight_has_twice_as_much() {
    let weights = weights(1, &[("hall", 200)]);
    let mut crowd = Crowd::new(&telling(true, weights));
    let offers = crowd.play([0; 3], 120);
    assert!(
        offers["hall"].abs_diff(2 * offers["far"]) <= 6,
        "{offers:?}"
    );
}

#[test]
fn what_is_more_urgent_goes_first_and_is_charged() {
    let mut crowd = Crowd::new(&telling(true, ShareWeights::default()));
    let urgent = crowd.play([0, 1, 1], 40);
    assert!(urgent["hall"] >= 38, "{urgent:?}");
    crowd.tell(ENTRY, 1, None);
    let equal = crowd.play([1; 3], 10);
    assert!(
        !equal.contains_key("hall"),
        "it had more than its share: {equal:?}"
    );
}

#[test]
fn entries_take_turns_where_halls_do_not_share() {
    let weights = weights(1, &[("hall", 10_000)]);
    let mut crowd = Crowd::new(&telling(false, weights));
    let offers = crowd.play([0; 3], 120);
    assert!(
        offers["far"].abs_diff(2 * offers["hall"]) <= 6,
        "{offers:?}"
    );
    assert_eq!(crowd.side.agent.hall_totals().count(), 0);
}

#[test]
fn a_side_tells_what_halls_were_due_and_had() {
    let mut crowd = Crowd::new(&telling(true, ShareWeights::default()));
    crowd.play([0; 3], 120);
    let totals = crowd.side.agent.hall_totals();
    let totals: Vec<(u64, u64)> = totals.map(|(_, total)| (total.due, total.had)).collect();
    let whole: u64 = totals.iter().map(|(_, had)| had).sum();
    for (due, had) in totals {
        assert!(
            had > 0 && due.abs_diff(had) * 20 <= whole,
            "{due} due, {had} had"
        );
    }
}

#[test]
fn a_side_goes_by_the_newest_weights_of_any_entry() {
    let mut crowd = Crowd::new(&telling(true, weights(5, &[("hall", 200)])));
    let older = telling(true, weights(4, &[("hall", 1)]));
    crowd.tell(OTHER, 0, Some(older));
    assert_eq!(crowd.side.agent.share_weights().revision, 5);
    let newer = telling(true, weights(6, &[]));
    crowd.tell(THIRD, 0, Some(newer));
    assert_eq!(*crowd.side.agent.share_weights(), weights(6, &[]));
}

#[test]
fn a_start_that_the_target_refuses_costs_nothing() {
    let mut side = Side::ready();
    let news = telling(true, ShareWeights::default());
    side.order(1_010, ENTRY, heartbeat(0, 0, Some(news)));
    let time = |side: &Side| side.agent.hall_shares().virtual_time(&Hall::from("hall"));
    let before = time(&side);
    side.order(1_011, ENTRY, start(1, 2_000));
    assert!(time(&side) > before);
    let outcome = OrderOutcome::Refused(OrderRefusal::NoRoom);
    let run = run(1);
    side.step(1_012, AgentEvent::OrderAnswered { run, outcome });
    assert_eq!(time(&side), before);
}

/// The guess of each start is 100 ms, and a target's half is taken: the first run is over before its time, the second one
/// after it.
#[test]
fn a_run_costs_the_time_that_it_took() {
    for (after_ms, is_cheaper) in [(20, true), (200, false)] {
        let mut crowd = Crowd::empty(&telling(true, ShareWeights::default()));
        let hall = Hall::from("hall");
        crowd.start(ENTRY);
        let guessed = crowd.side.agent.hall_shares().virtual_time(&hall);
        crowd.now += after_ms;
        crowd.end_oldest();
        let took = crowd.side.agent.hall_shares().virtual_time(&hall);
        assert_eq!(
            took < guessed,
            is_cheaper,
            "{after_ms} ms: {guessed}, {took}"
        );
    }
}

/// The news of the newest welcome or heartbeat.
fn told(effects: &[SchedulerEffect]) -> Option<EntryUpdate> {
    let mut news = effects.iter().filter_map(|effect| match effect {
        SchedulerEffect::Send { order, .. } => match order {
            EntryOrder::Welcome(welcome) => Some(welcome.update.clone()),
            EntryOrder::Heartbeat { update: news, .. } => news.clone(),
            _ => None,
        },
        _ => None,
    });
    news.next_back()
}

fn submit(scheduler: &mut JobScheduler, ms: u64, is_ranked: bool) -> Vec<SchedulerEffect> {
    let policy = QueuePolicy {
        name: Arc::from("queue"),
        service: Arc::from("service"),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        allowance: Duration::from_millis(60),
        is_ranked,
        version: 1,
    };
    let event = SchedulerEvent::Submit {
        caller: CallerId(1),
        job: entry::job(1, 1, 50),
        policy: Arc::new(policy),
        time_left: Duration::from_millis(500),
        wall: WallTime::from_millis(1_700_000_000_000),
    };
    scheduler.step(entry::at(ms), event)
}

fn scheduler(shares: bool) -> JobScheduler {
    let mut settings = SchedulerSettings::new("entry-1".into(), Incarnation(1));
    settings.scarcity.shares = shares;
    JobScheduler::new(settings)
}

fn greet(scheduler: &mut JobScheduler, ms: u64) -> EntryUpdate {
    let hello = SideHello {
        side: "side-0".into(),
        incarnation: Incarnation(1),
        hall: "hall".into(),
        config_version: 0,
        drained: Arc::default(),
    };
    let event = SchedulerEvent::FromSide {
        session: SessionId(ms),
        reports: vec![SideReport::Hello(hello)],
    };
    let effects = scheduler.step(entry::at(ms), event);
    told(&effects).expect("a welcome")
}

#[test]
fn halls_share_where_queues_are_ranked_and_it_is_switched_on() {
    for (is_ranked, is_on) in [(true, true), (true, false), (false, true)] {
        let mut scheduler = scheduler(is_on);
        assert!(
            !greet(&mut scheduler, 1).shares_capacity,
            "no job has come yet"
        );
        submit(&mut scheduler, 10, is_ranked);
        assert_eq!(
            greet(&mut scheduler, 20).shares_capacity,
            is_ranked && is_on
        );
        let much_later = greet(&mut scheduler, 120_000);
        assert!(!much_later.shares_capacity, "no ranked job for two minutes");
    }
}

#[test]
fn an_entry_passes_on_the_newest_weights() {
    let mut scheduler = scheduler(true);
    for (ms, revision) in [(1, 7), (2, 6), (3, 7)] {
        let known = Arc::new(weights(revision, &[("hall", 10 * revision as u32)]));
        scheduler.step(entry::at(ms), SchedulerEvent::ShareWeights(known));
    }
    assert_eq!(
        *greet(&mut scheduler, 4).shares,
        weights(7, &[("hall", 70)])
    );
    assert_eq!(scheduler.share_weights().revision, 7);
}

#[test]
fn linked_sides_hear_of_weights_with_the_next_heartbeat() {
    let mut entry = Entry::with_sides(&[16_000]);
    let known = Arc::new(weights(3, &[("hall", 50)]));
    let event = SchedulerEvent::ShareWeights(Arc::clone(&known));
    let mut effects = entry.scheduler.step(entry::at(1), event);
    let next = entry.scheduler.next_tick().expect("a heartbeat");
    assert!(next <= entry::at(200));
    effects.extend(entry.scheduler.step(next, SchedulerEvent::Tick));
    assert_eq!(told(&effects).map(|news| news.shares), Some(known));
}
