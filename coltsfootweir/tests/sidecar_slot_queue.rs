//! Tests of the slot queue: the wait and the reason that a refused request of a team is given.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use coltsfootweir::clock::DaemonClock;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::outcome::RefusalReason;
use coltsfootweir::sidecar::fair_queue::TeamHash;
use coltsfootweir::sidecar::fair_queue::share_refusal::ShareRefusal;
use coltsfootweir::sidecar::slot_queue::SlotPermit;
use coltsfootweir::sidecar::slot_queue::SlotQueue;
use coltsfootweir::sidecar::slot_queue::SlotRefusal;
use coltsfootweir::sidecar::slot_queue::SlotRequest;
use tokio::task::LocalSet;

const LARGE: Option<TeamHash> = Some(1);
const SMALL: Option<TeamHash> = Some(2);

/// A clock that the test sets.
#[derive(Default)]
struct SetClock {
    ms: AtomicU64,
}

impl SetClock {
    fn advance(&self, ms: u64) {
        self.ms.fetch_add(ms, Ordering::Relaxed);
    }
}

impl DaemonClock for SetClock {
    fn now(&self) -> Duration {
        Duration::from_millis(self.ms.load(Ordering::Relaxed))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}

fn request(team: Option<TeamHash>, finish_by_ms: u64) -> SlotRequest {
    SlotRequest {
        fingerprint: 0,
        route_hash: 7,
        rank: 1,
        team,
        finish_by: Duration::from_millis(finish_by_ms),
        is_late: false,
    }
}

/// Returns a queue of one slot that has seen a run of 100 ms, and whose slot is taken.
async fn busy_queue(clock: &Arc<SetClock>) -> (Rc<SlotQueue>, SlotPermit) {
    let queue = SlotQueue::new(Arc::clone(clock) as Arc<dyn DaemonClock>);
    queue.replace(1);
    queue.set_phase(EndpointPhase::Ready);
    let first = queue.admit(request(None, 60_000)).await;
    let mut first = first.expect("a free slot");
    first.start(Duration::from_secs(60));
    clock.advance(100);
    first.finish();
    let running = queue.admit(request(LARGE, 60_000)).await;
    (queue, running.expect("a free slot"))
}

type Refusals = Rc<RefCell<Vec<SlotRefusal>>>;

/// Has a request wait for a slot, and notes its refusal.
async fn wait_for_slot(queue: &Rc<SlotQueue>, request: SlotRequest, refusals: &Refusals) {
    let before = queue.load().total_waiting();
    let (queue_of_task, refusals) = (Rc::clone(queue), Rc::clone(refusals));
    tokio::task::spawn_local(async move {
        let admitted = queue_of_task.admit(request).await;
        refusals.borrow_mut().extend(admitted.err());
    });
    tokio::task::yield_now().await;
    assert_eq!(queue.load().total_waiting(), before + 1);
}

fn count(queue: &SlotQueue, share: ShareRefusal) -> u64 {
    let counts = queue.share_refusals().into_iter();
    let counted = counts.filter(|(reason, _)| *reason == share);
    counted.map(|(_, count)| count).sum()
}

/// Guards against a `Retry-After` of another team's backlog, and against a refusal because of it.
#[tokio::test(flavor = "current_thread")]
async fn refusal_states_the_wait_of_the_own_team() {
    let test = async {
        let clock = Arc::new(SetClock::default());
        let (queue, _running) = busy_queue(&clock).await;
        let refusals = Refusals::default();
        for _ in 0..7 {
            wait_for_slot(&queue, request(LARGE, 900), &refusals).await;
        }
        let refused = queue.admit(request(LARGE, 900)).await.err();
        let refused = refused.expect("seven others of the team are ahead");
        assert_eq!(refused.reason, RefusalReason::Overloaded);
        assert_eq!(refused.share, Some(ShareRefusal::OverShare));
        assert_eq!(refused.wait, Duration::from_millis(800));
        assert_eq!(count(&queue, ShareRefusal::OverShare), 1);
        let expected = |team| queue.expected_time(1, team, 7).as_millis();
        assert_eq!(expected(LARGE), 900);
        assert_eq!(expected(SMALL), 200);
        assert_eq!(expected(None), 200);
        wait_for_slot(&queue, request(SMALL, 300), &refusals).await;
        assert_eq!(queue.tagged_teams(), 2);
        // An offered body that may wait for less than its place in the queue takes.
        let early = |team, wait| queue.refuse_early(1, team, Duration::from_millis(wait));
        assert_eq!(early(LARGE, 300), Some(ShareRefusal::OverShare));
        assert_eq!(early(SMALL, 50), Some(ShareRefusal::NoCapacity));
        assert_eq!(early(None, 50), None);
        assert!(refusals.borrow().is_empty());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against requests of teams that expire in the queue without being counted, and against a stated
/// wait that includes the refused request itself.
#[tokio::test(flavor = "current_thread")]
async fn expired_requests_of_teams_are_counted() {
    let test = async {
        let clock = Arc::new(SetClock::default());
        let (queue, running) = busy_queue(&clock).await;
        let refusals = Refusals::default();
        wait_for_slot(&queue, request(LARGE, 400), &refusals).await;
        wait_for_slot(&queue, request(SMALL, 400), &refusals).await;
        wait_for_slot(&queue, request(None, 500), &refusals).await;
        clock.advance(2_000);
        drop(running);
        tokio::task::yield_now().await;
        let refusals = refusals.borrow();
        assert_eq!(refusals.len(), 3);
        for refusal in refusals.iter() {
            assert_eq!(refusal.reason, RefusalReason::DeadlinePassed);
            assert_eq!(refusal.wait, Duration::ZERO);
        }
        assert_eq!(count(&queue, ShareRefusal::Expired), 2);
        assert_eq!(queue.load().total_waiting(), 0);
    };
    LocalSet::new().run_until(test).await;
}
