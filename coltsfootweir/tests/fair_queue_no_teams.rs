//! Requests without a team are decided exactly as before teams shared the slots: the guard is compared
//! with its former version on the same steps.

mod common;

use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::GuardState;
use coltsfootweir::guard::RankedRequest;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::sidecar::settings::WarmupBounds;
use coltsfootweir::sidecar::warmup::warmup_pacer::WarmupPacer;
use coltsfootweir::sidecar::warmup::warmup_pacer::WarmupTerms;

use common::deadline_guard::DeadlineGuard;
use common::fixed_config;
use common::step_test::StepTest;
use common::step_test::StepWorld;

const SLOTS: u16 = 3;
const QUEUE_LIMIT: usize = 12;
const RANKS: u8 = 4;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        time_left: u64,
    },
    ArriveRanked {
        rank: u8,
        time_left: u64,
        run: u64,
        wait_factor: f64,
    },
    Finish(usize),
    Cancel(u64),
    Poll,
    Tick(u64),
    Phase(EndpointPhase),
    Slots(u16),
    Cold,
}

struct GuardPair {
    guard: GuardState,
    former: DeadlineGuard,
    now: Duration,
    next_id: u64,
    running: Vec<u64>,
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn pacer() -> WarmupPacer {
    let mut pacer = WarmupPacer::default();
    let bounds = WarmupBounds {
        overage: 1.5,
        slack: 8.0,
    };
    pacer.set_terms(WarmupTerms::new(140.0, bounds), Duration::ZERO);
    pacer
}

impl GuardPair {
    fn arrived(&mut self, decision: AdmitDecision) {
        if decision == AdmitDecision::Run {
            self.running.push(self.next_id);
        }
        self.next_id += 1;
    }

    fn compare(&mut self, events: Vec<GuardEvent>, former: Vec<GuardEvent>) {
        assert_eq!(events, former);
        for event in events {
            if let GuardEvent::Start(id) = event {
                self.running.push(id);
            }
        }
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Arrive { time_left } => {
                let deadline = now + ms(time_left);
                let refusal = self.guard.refusal(deadline, now);
                assert_eq!(refusal, self.former.refusal(deadline, now));
                let decision = self.guard.arrive(self.next_id, deadline, now);
                assert_eq!(decision, self.former.arrive(self.next_id, deadline, now));
                self.arrived(decision);
            }
            Step::ArriveRanked {
                rank,
                time_left,
                run,
                wait_factor,
            } => {
                let request = RankedRequest {
                    rank,
                    team: None,
                    finish_by: now + ms(time_left),
                    run: ms(run),
                    wait_factor,
                };
                let wait = self.guard.expected_wait(&request);
                assert_eq!(wait, self.former.expected_wait(&request));
                let (decision, events) = self.guard.arrive_ranked(self.next_id, request, now);
                let (former, former_events) = self.former.arrive_ranked(self.next_id, request, now);
                assert_eq!(decision, former);
                assert_eq!(self.guard.share_refusal(&request, now), None);
                self.arrived(decision);
                self.compare(events, former_events);
            }
            Step::Finish(pick) => {
                if self.running.is_empty() {
                    return;
                }
                let id = self.running.remove(pick % self.running.len());
                let events = self.guard.finish(id, now);
                let former = self.former.finish(id, now);
                self.compare(events, former);
            }
            Step::Cancel(back) => {
                let id = self.next_id.saturating_sub(back);
                self.running.retain(|running| *running != id);
                let events = self.guard.cancel(id, now);
                let former = self.former.cancel(id, now);
                self.compare(events, former);
            }
            Step::Poll => {
                let events = self.guard.poll(now);
                let former = self.former.poll(now);
                self.compare(events, former);
            }
            Step::Tick(count) => self.now += ms(count),
            Step::Phase(phase) => {
                let events = self.guard.set_phase(phase, now);
                let former = self.former.set_phase(phase, now);
                self.compare(events, former);
            }
            Step::Slots(slots) => {
                let events = self.guard.set_slots(slots, now);
                let former = self.former.set_slots(slots, now);
                self.compare(events, former);
            }
            Step::Cold => {
                let change = |pacer: &mut WarmupPacer| {
                    pacer.assume_cold(now);
                    pacer.on_announcement(ms(400), now);
                    pacer.on_announcement(ms(200), now);
                };
                let events = self.guard.change_pacer(change, now);
                let former = self.former.change_pacer(change, now);
                self.compare(events, former);
            }
        }
    }
}

impl StepWorld for GuardPair {
    type Step = Step;

    fn start() -> GuardPair {
        let mut guard = GuardState::new(SLOTS, QUEUE_LIMIT);
        let mut former = DeadlineGuard::new(SLOTS, QUEUE_LIMIT);
        guard.change_pacer(|kept| *kept = pacer(), Duration::ZERO);
        former.change_pacer(|kept| *kept = pacer(), Duration::ZERO);
        GuardPair {
            guard,
            former,
            now: Duration::ZERO,
            next_id: 1,
            running: Vec::new(),
        }
    }

    fn steps() -> BoxedStrategy<Step> {
        let phase = prop_oneof![
            6 => Just(EndpointPhase::Ready),
            1 => Just(EndpointPhase::Leaving),
            1 => Just(EndpointPhase::Down),
        ];
        let ranked = (0..RANKS, 0..400_u64, 0..60_u64, 1.0..3.0).prop_map(
            |(rank, time_left, run, wait_factor)| Step::ArriveRanked {
                rank,
                time_left,
                run,
                wait_factor,
            },
        );
        prop_oneof![
            2 => (0..400_u64).prop_map(|time_left| Step::Arrive { time_left }),
            16 => ranked,
            6 => (0..8_usize).prop_map(Step::Finish),
            2 => (1..20_u64).prop_map(Step::Cancel),
            2 => Just(Step::Poll),
            6 => (0..30_u64).prop_map(Step::Tick),
            1 => phase.prop_map(Step::Phase),
            1 => (0..5_u16).prop_map(Step::Slots),
            1 => Just(Step::Cold),
        ]
        .boxed()
    }

    fn apply_step(&mut self, step: Step) {
        self.step(step);
    }

    fn check_step(&self) {
        assert_eq!(self.guard.load(), self.former.load());
        assert_eq!(self.guard.waiting_by_rank(), self.former.waiting_by_rank());
        assert_eq!(self.guard.next_expiry(), self.former.next_expiry());
        assert_eq!(
            self.guard.pace_pause(self.now),
            self.former.pace_pause(self.now)
        );
        assert_eq!(self.guard.tagged_teams(), 0);
        for rank in 0..RANKS {
            let wait = self.guard.wait_time(rank, None);
            assert_eq!(wait, self.former.wait_time(rank));
            for due in [self.now + ms(50), self.now + ms(200), Duration::MAX] {
                let wait = self.guard.token_wait(rank, None, due, self.now);
                assert_eq!(wait, self.former.token_wait(rank, due, self.now));
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(fixed_config(0x6e07, 400))]

    /// Guards against a change of any decision, order or wait in a deployment without teams.
    #[test]
    fn requests_without_a_team_are_decided_as_before(sequential 40..250 => StepTest<GuardPair>);
}
