//! Order, tags and memory of the queue that shares slots between teams, compared with a plain model.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::GuardState;
use coltsfootweir::guard::RankedRequest;
use coltsfootweir::outcome::RefusalReason;
use coltsfootweir::sidecar::fair_queue::TeamHash;
use coltsfootweir::sidecar::fair_queue::share_refusal::ShareRefusal;
use coltsfootweir::sidecar::fair_queue::team_tags::MAX_LEAD;
use coltsfootweir::sidecar::fair_queue::team_tags::MAX_TEAMS;
use coltsfootweir::sidecar::fair_queue::team_tags::TeamCharge;
use coltsfootweir::sidecar::fair_queue::team_tags::TeamTags;
use coltsfootweir::sidecar::fair_queue::wait_queue::WaitQueue;
use coltsfootweir::sidecar::fair_queue::wait_queue::WaitingRequest;

use common::fixed_config;
use common::step_test::StepTest;
use common::step_test::StepWorld;

const RANKS: u8 = 3;
const TEAMS: u64 = 5;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[derive(Clone, Debug)]
enum Step {
    Push {
        rank: u8,
        team: Option<TeamHash>,
        due: u64,
        run: u64,
    },
    StartFirst,
    RemoveFirst,
    Remove(usize),
    EndRun(usize, u64),
    Displace {
        rank: u8,
        team: Option<TeamHash>,
        run: u64,
    },
    Tick(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct ModelTeam {
    finish: Duration,
    wait_began: Duration,
    running: usize,
}

/// The queue and a model that computes the order from the definition at each step.
struct OrderModel {
    queue: WaitQueue,
    now: Duration,
    next_id: u64,
    waiting: Vec<WaitingRequest>,
    running: Vec<(WaitingRequest, Option<TeamCharge>)>,
    teams: BTreeMap<(u8, TeamHash), ModelTeam>,
    virtual_times: BTreeMap<u8, Duration>,
    latest: BTreeMap<u8, Duration>,
}

impl OrderModel {
    fn virtual_time(&self, rank: u8) -> Duration {
        self.virtual_times.get(&rank).copied().unwrap_or_default()
    }

    fn of_team(&self, rank: u8, team: TeamHash) -> Vec<WaitingRequest> {
        let waiting = self.waiting.iter();
        let own = waiting.filter(|request| request.rank == rank && request.team == Some(team));
        let mut own: Vec<WaitingRequest> = own.copied().collect();
        own.sort_by_key(|request| request.order);
        own
    }

    fn start_tag(&self, rank: u8, team: TeamHash) -> Duration {
        let tag = self.teams.get(&(rank, team)).copied().unwrap_or_default();
        match self.of_team(rank, team).is_empty() {
            true => tag.finish.max(self.virtual_time(rank)),
            false => tag.finish,
        }
    }

    fn order(&self) -> Vec<u64> {
        let mut places = Vec::new();
        for request in &self.waiting {
            let Some(team) = request.team else {
                let place = (request.rank, false, Duration::ZERO, request.order);
                places.push((place, request.id));
                continue;
            };
            let mut start = self.start_tag(request.rank, team);
            for own in self.of_team(request.rank, team) {
                if own.order < request.order {
                    start += own.run.unwrap_or_default();
                }
            }
            places.push(((request.rank, true, start, request.order), request.id));
        }
        places.sort();
        places.into_iter().map(|(_, id)| id).collect()
    }

    fn charge(&mut self, request: &WaitingRequest, is_at_once: bool) {
        let (rank, Some(team)) = (request.rank, request.team) else {
            return;
        };
        let mut virtual_time = self.virtual_time(rank);
        if is_at_once {
            virtual_time = virtual_time.max(self.latest.get(&rank).copied().unwrap_or_default());
            self.virtual_times.insert(rank, virtual_time);
        }
        let start = self.start_tag(rank, team);
        self.virtual_times.insert(rank, virtual_time.max(start));
        let tag = self.teams.entry((rank, team)).or_default();
        tag.finish = start + request.run.unwrap_or_default();
        tag.running += 1;
        self.note_latest(rank, team);
    }

    fn note_latest(&mut self, rank: u8, team: TeamHash) {
        let finish = self.teams[&(rank, team)].finish;
        let latest = self.latest.entry(rank).or_default();
        *latest = finish.max(*latest);
    }

    fn new_request(&mut self, rank: u8, team: Option<TeamHash>, due: u64, run: u64) {
        let id = self.next_id;
        self.next_id += 1;
        let request = WaitingRequest {
            id,
            rank,
            team,
            // Distinct, as the order of requests with equal places is not defined.
            order: ms(due) + Duration::from_nanos(id),
            deadline: Duration::MAX,
            run: Some(ms(run)),
        };
        if self.waiting.is_empty() && id.is_multiple_of(3) {
            let charge = self.queue.start_at_once(&request);
            self.charge(&request, true);
            self.running.push((request, charge));
            return;
        }
        let place = self.queue.place(rank, team, request.order);
        let ahead = self.queue.count_ahead(&place);
        self.queue.push(request);
        let position = self.queue.iter().position(|queued| queued.id == id);
        assert_eq!(
            position,
            Some(ahead),
            "the request is not where it was expected"
        );
        if let Some(team) = team {
            let virtual_time = self.virtual_time(rank);
            let is_first = self.of_team(rank, team).is_empty();
            let tag = self.teams.entry((rank, team)).or_default();
            if is_first {
                tag.wait_began = virtual_time;
                tag.finish = tag.finish.max(virtual_time);
            }
            self.note_latest(rank, team);
        }
        self.waiting.push(request);
    }

    fn remove(&mut self, id: u64) -> WaitingRequest {
        let index = self.waiting.iter().position(|request| request.id == id);
        self.waiting.remove(index.expect("a waiting request"))
    }

    fn end_run(&mut self, pick: usize, run: u64) {
        if self.running.is_empty() {
            return;
        }
        let (request, charge) = self.running.remove(pick % self.running.len());
        self.queue.end_run(charge, ms(run));
        let Some(team) = request.team else {
            return;
        };
        let rank = request.rank;
        let most = self.virtual_time(rank) + MAX_LEAD;
        let is_waiting = !self.of_team(rank, team).is_empty();
        let tag = self.teams.get_mut(&(rank, team)).expect("a charged team");
        let measured = (tag.finish + ms(run)).saturating_sub(request.run.unwrap_or_default());
        tag.finish = measured.min(tag.finish.max(most));
        if is_waiting {
            tag.finish = tag.finish.max(tag.wait_began);
        }
        tag.running -= 1;
        self.note_latest(rank, team);
    }

    /// Checks which request leaves a full queue, by the definition.
    fn displace(&mut self, rank: u8, team: Option<TeamHash>, run: u64) {
        let displaced = self.queue.displace(rank, team, ms(run));
        let order = self.order();
        let rank_of = |id: u64| self.waiting.iter().find(|request| request.id == id);
        let last = order.last().and_then(|id| rank_of(*id)).copied();
        if let Some(last) = last.filter(|last| last.rank > rank) {
            assert_eq!(displaced, Some(last));
            self.remove(last.id);
            return;
        }
        let work = |team: TeamHash| {
            let own = self.of_team(rank, team);
            let work: Duration = own.iter().filter_map(|request| request.run).sum();
            (work, own.len())
        };
        let most = (0..TEAMS).map(work).max().unwrap_or_default();
        let Some(displaced) = displaced else {
            let new = team.map(|team| {
                let (own, count) = work(team);
                (own + ms(run), count + 1)
            });
            let is_heaviest = team.is_some_and(|team| work(team) == most);
            assert!(most.1 == 0 || is_heaviest || new.is_some_and(|new| most <= new));
            return;
        };
        let loser = displaced
            .team
            .expect("only requests of teams are displaced in a rank");
        assert_eq!(displaced.rank, rank);
        assert_ne!(displaced.team, team);
        assert_eq!(work(loser), most);
        assert_eq!(self.of_team(rank, loser).last(), Some(&displaced));
        self.remove(displaced.id);
    }
}

impl StepWorld for OrderModel {
    type Step = Step;

    fn start() -> OrderModel {
        OrderModel {
            queue: WaitQueue::default(),
            now: Duration::ZERO,
            next_id: 1,
            waiting: Vec::new(),
            running: Vec::new(),
            teams: BTreeMap::new(),
            virtual_times: BTreeMap::new(),
            latest: BTreeMap::new(),
        }
    }

    fn steps() -> BoxedStrategy<Step> {
        let team = || prop::option::weighted(0.8, 0..TEAMS);
        let run = || prop_oneof![1 => Just(0), 6 => 1..200_u64, 1 => 200..9_000_u64];
        let push = (0..RANKS, team(), 0..500_u64, run());
        prop_oneof![
            10 => push.prop_map(|(rank, team, due, run)| Step::Push { rank, team, due, run }),
            6 => Just(Step::StartFirst),
            1 => Just(Step::RemoveFirst),
            1 => (0..40_usize).prop_map(Step::Remove),
            5 => ((0..40_usize), run()).prop_map(|(pick, run)| Step::EndRun(pick, run)),
            1 => (0..RANKS, team(), run())
                .prop_map(|(rank, team, run)| Step::Displace { rank, team, run }),
            3 => (0..300_u64).prop_map(Step::Tick),
        ]
        .boxed()
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Push {
                rank,
                team,
                due,
                run,
            } => self.new_request(rank, team, due, run),
            Step::StartFirst => {
                let Some(first) = self.queue.first() else {
                    return;
                };
                let charge = self.queue.start_first(self.now);
                assert_eq!(charge.is_some(), first.team.is_some());
                self.charge(&first, false);
                self.remove(first.id);
                self.running.push((first, charge));
            }
            Step::RemoveFirst => {
                let Some(first) = self.queue.first() else {
                    return;
                };
                self.queue.remove_first();
                self.remove(first.id);
            }
            Step::Remove(pick) => {
                if self.waiting.is_empty() {
                    return;
                }
                let id = self.waiting[pick % self.waiting.len()].id;
                let removed = self.queue.remove_unless(|request| request.id != id);
                assert_eq!(removed, [self.remove(id)]);
            }
            Step::EndRun(pick, run) => self.end_run(pick, run),
            Step::Displace { rank, team, run } => self.displace(rank, team, run),
            Step::Tick(count) => self.now += ms(count),
        }
    }

    fn check_step(&self) {
        let ids: Vec<u64> = self.queue.iter().map(|request| request.id).collect();
        assert_eq!(ids, self.order());
        let mut kept = 0;
        for ((rank, team), tag) in &self.teams {
            let is_active = tag.running > 0 || !self.of_team(*rank, *team).is_empty();
            kept += usize::from(is_active || tag.finish > self.virtual_time(*rank));
        }
        assert_eq!(self.queue.tags().len(), kept);
        for rank in 0..RANKS {
            assert_eq!(
                self.queue.tags().virtual_time(rank),
                self.virtual_time(rank)
            );
            let wait = self
                .queue
                .tags()
                .pace_wait(rank, self.virtual_time(rank), 3);
            assert_eq!(wait, Duration::ZERO);
        }
    }
}

prop_state_machine! {
    #![proptest_config(fixed_config(0xfa12, 300))]

    /// Guards against an order that differs from the definition after any sequence of arrivals, starts,
    /// ends with other run times than expected, removals and displacements.
    #[test]
    fn order_follows_the_tags(sequential 30..200 => StepTest<OrderModel>);
}

fn request(team: TeamHash, finish_by: u64, run: u64) -> RankedRequest {
    RankedRequest {
        rank: 1,
        team: Some(team),
        finish_by: ms(finish_by),
        run: ms(run),
        wait_factor: 1.0,
    }
}

/// Guards against a queue that one team fills, so that others are refused, and against displacing a team
/// in favor of a heavier one.
#[test]
fn full_queue_drops_the_last_request_of_the_heaviest_team() {
    let mut guard = GuardState::new(1, 4);
    let now = Duration::ZERO;
    for id in 0..5 {
        let (decision, _) = guard.arrive_ranked(id, request(1, 9_000 + id, 10), now);
        assert!(!matches!(decision, AdmitDecision::Refuse(_)));
    }
    let (decision, events) = guard.arrive_ranked(5, request(2, 9_000, 10), now);
    assert_eq!(decision, AdmitDecision::Wait);
    assert_eq!(events, [GuardEvent::Refuse(4, RefusalReason::Overloaded)]);
    let again = request(1, 8_000, 10);
    let (decision, events) = guard.arrive_ranked(6, again, now);
    assert_eq!(decision, AdmitDecision::Refuse(RefusalReason::Overloaded));
    assert_eq!(events, []);
    assert_eq!(
        guard.share_refusal(&again, now),
        Some(ShareRefusal::QueueFull)
    );
    // A call of a running request has no team and goes before all of them.
    let call = RankedRequest {
        team: None,
        ..request(0, 9_000, 10)
    };
    let (decision, events) = guard.arrive_ranked(7, call, now);
    assert_eq!(decision, AdmitDecision::Wait);
    assert_eq!(events, [GuardEvent::Refuse(3, RefusalReason::Overloaded)]);
    assert_eq!(guard.finish(0, ms(10)), [GuardEvent::Start(7)]);
    assert_eq!(guard.finish(7, ms(20)), [GuardEvent::Start(5)]);
}

/// Guards against a refusal whose reason or wait is that of another team's backlog.
#[test]
fn reason_and_wait_of_a_refusal_are_those_of_the_own_team() {
    let mut guard = GuardState::new(1, 100);
    let now = Duration::ZERO;
    for id in 0..6 {
        guard.arrive_ranked(id, request(1, 9_000, 100), now);
    }
    let tight = request(1, 350, 100);
    // It goes before the team's requests that have more time.
    assert_eq!(guard.expected_wait(&tight), Duration::ZERO);
    for id in 6..9 {
        guard.arrive_ranked(id, request(1, 8_000, 100), now);
    }
    assert_eq!(guard.wait_time(1, Some(1)), ms(800));
    assert_eq!(guard.wait_time(1, Some(2)), Duration::ZERO);
    let late = request(1, 9_000, 8_500);
    let (decision, _) = guard.arrive_ranked(9, late, now);
    assert_eq!(decision, AdmitDecision::Refuse(RefusalReason::Overloaded));
    assert_eq!(
        guard.share_refusal(&late, now),
        Some(ShareRefusal::OverShare)
    );
    let (decision, _) = guard.arrive_ranked(10, request(2, 9_000, 8_500), now);
    assert_eq!(decision, AdmitDecision::Wait);
    let hopeless = request(3, 7_000, 7_500);
    assert_eq!(
        guard.share_refusal(&hopeless, now),
        Some(ShareRefusal::NoCapacity)
    );
    let call = RankedRequest {
        team: None,
        ..hopeless
    };
    assert_eq!(guard.share_refusal(&call, now), None);
}

/// Guards against a team that pays for requests that never ran.
#[test]
fn requests_that_expire_cost_their_team_nothing() {
    let mut guard = GuardState::new(1, 100);
    guard.arrive_ranked(0, request(9, 9_000, 10), Duration::ZERO);
    for id in 1..6 {
        let (decision, _) = guard.arrive_ranked(id, request(1, 600, 100), Duration::ZERO);
        assert_eq!(decision, AdmitDecision::Wait);
    }
    guard.arrive_ranked(6, request(2, 9_000, 100), Duration::ZERO);
    assert_eq!(guard.poll(ms(600)).len(), 5);
    guard.arrive_ranked(7, request(1, 8_000, 100), ms(600));
    guard.arrive_ranked(8, request(1, 8_500, 100), ms(600));
    assert_eq!(guard.finish(0, ms(700)), [GuardEvent::Start(7)]);
    assert_eq!(guard.finish(7, ms(800)), [GuardEvent::Start(6)]);
}

/// Guards against a team that stays behind all others for minutes because one of its runs hung.
#[test]
fn run_that_hung_costs_its_team_a_bounded_time() {
    let mut tags = TeamTags::default();
    let charge = tags.start_at_once(1, 7, ms(100));
    tags.end(charge, Duration::from_secs(300));
    assert_eq!(tags.start_tag(1, 7), MAX_LEAD);
    // Nothing waits when the next request starts, so all teams are equal again.
    tags.start_at_once(1, 8, ms(100));
    assert_eq!(tags.start_tag(1, 7), tags.start_tag(1, 9));
}

/// Guards against memory that grows with the number of teams, and against forgetting the team that is
/// furthest ahead.
#[test]
fn at_most_1024_teams_are_remembered() {
    let mut tags = TeamTags::default();
    // A request that runs on, so that the virtual time does not pass the tags of the others.
    let _running = tags.start_at_once(1, 0, ms(1));
    for team in 1..10_000_u64 {
        tags.add_waiting(1, team, ms(team));
        let charge = tags.start_waiting(1, team, ms(team), ms(team));
        tags.remove_waiting(1, team, ms(team));
        tags.end(charge, ms(team));
        assert!(tags.len() <= MAX_TEAMS, "{} teams", tags.len());
    }
    assert_eq!(tags.len(), MAX_TEAMS);
    assert_eq!(tags.start_tag(1, 1), tags.virtual_time(1));
    assert!(tags.start_tag(1, 9_999) > tags.virtual_time(1));
    tags.start_at_once(1, 0, ms(1));
    assert_eq!(tags.len(), 1);
}
