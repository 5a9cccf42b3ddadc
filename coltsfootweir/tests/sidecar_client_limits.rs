//! Limits on clients without a network: the account of bytes, connections, bodies, refused frames.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use coltsfootweir::sidecar::client_limits::body_intake::BodyLimits;
use coltsfootweir::sidecar::client_limits::body_intake::BodyRefusal;
use coltsfootweir::sidecar::client_limits::body_intake::read_body;
use coltsfootweir::sidecar::client_limits::byte_account::ByteAccount;
use coltsfootweir::sidecar::client_limits::connection_limit::ConnectionLimit;
use coltsfootweir::sidecar::client_limits::host_guard::HostGuard;
use coltsfootweir::sidecar::frame::CallResult;
use coltsfootweir::sidecar::frame::EndpointLoad;
use coltsfootweir::sidecar::frame::ForwardedCall;
use coltsfootweir::sidecar::frame::PeerFrame;
use coltsfootweir::sidecar::frame::requested_call;
use coltsfootweir::sidecar::frame::write_frame;
use coltsfootweir::sidecar::link::frame_queue::frame_queue;
use coltsfootweir::sidecar::settings::HostLimits;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;

const KIB: u64 = 1024;

/// A body in parts that states a length or not, and does not end if `is_endless`.
struct PartedBody {
    parts: VecDeque<Bytes>,
    length: Option<u64>,
    is_endless: bool,
}

impl PartedBody {
    fn new(count: usize, size: u64) -> PartedBody {
        let part = Bytes::from(vec![b'x'; size as usize]);
        PartedBody {
            parts: std::iter::repeat_n(part, count).collect(),
            length: None,
            is_endless: false,
        }
    }
}

impl Body for PartedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.parts.pop_front() {
            None if self.is_endless => Poll::Pending,
            part => Poll::Ready(part.map(|part| Ok(Frame::data(part)))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map(SizeHint::with_exact).unwrap_or_default()
    }
}

fn limits(size: u64, account: &Arc<ByteAccount>) -> BodyLimits {
    BodyLimits {
        size,
        time: Duration::from_millis(50),
        pause: Duration::from_millis(50),
        account: Some(Arc::clone(account)),
    }
}

fn read(body: PartedBody, limits: BodyLimits) -> Result<Bytes, BodyRefusal> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(read_body(body, limits))
}

/// Guards against bytes that stay reserved, or are released while a copy of the body is held.
#[test]
fn reservation_lasts_as_long_as_the_last_part_of_the_body() {
    let account = ByteAccount::new(1024 * KIB);
    let body = read(PartedBody::new(10, 10 * KIB), limits(1024 * KIB, &account));
    let body = body.expect("a body");
    assert_eq!(body.len() as u64, 100 * KIB);
    let part = body.slice(..10);
    drop(body);
    assert!(account.held() >= 100 * KIB);
    drop(part);
    assert_eq!(account.held(), 0);
}

/// Guards against a body that is read before it is refused, and against bytes left in the account.
#[test]
fn bodies_are_refused_by_limit_account_and_time() {
    let account = ByteAccount::new(256 * KIB);
    let stated = PartedBody {
        length: Some(2048 * KIB),
        is_endless: true,
        ..PartedBody::new(0, 0)
    };
    let refused = read(stated, limits(1024 * KIB, &account));
    assert_eq!(refused, Err(BodyRefusal::TooLong));
    let unstated = read(PartedBody::new(40, 8 * KIB), limits(300 * KIB, &account));
    assert_eq!(unstated, Err(BodyRefusal::NoMemory));
    let long = read(PartedBody::new(40, 8 * KIB), limits(100 * KIB, &account));
    assert_eq!(long, Err(BodyRefusal::TooLong));
    let endless = PartedBody {
        is_endless: true,
        ..PartedBody::new(2, KIB)
    };
    let refused = read(endless, limits(100 * KIB, &account));
    assert_eq!(refused, Err(BodyRefusal::TimedOut));
    assert_eq!(account.held(), 0);
}

/// Guards against large bodies that take the room of ordinary ones.
#[test]
fn small_reservations_fit_beside_large_ones() {
    let account = ByteAccount::new(1024 * KIB);
    let large = account.reserve(account.largest()).expect("room");
    assert!(account.reserve(65 * KIB).is_none());
    let small = account.reserve(64 * KIB).expect("room for a small one");
    drop(large);
    drop(small);
    assert_eq!(account.held(), 0);
}

/// Guards against a configuration's largest body that does not fit the smallest VM.
#[test]
fn largest_body_fits_the_account_of_the_smallest_vm() {
    let guard = HostGuard::new(HostLimits {
        memory_bytes: Some(160_000_000),
        descriptors: None,
    });
    let account = guard.account.expect("an account");
    assert!(account.reserve(64 * 1024 * KIB).is_some());
    assert!(HostGuard::new(HostLimits::default()).account.is_none());
}

/// Guards against a call that is dropped by the writer of a link, and against copies on links that take
/// the memory of the VM.
#[test]
fn copies_for_links_are_limited() {
    let guard = HostGuard::new(HostLimits {
        memory_bytes: Some(160_000_000),
        descriptors: None,
    });
    assert!(guard.reserve_copy(32 * 1024 * KIB + 1).is_err());
    let copies = [
        guard.reserve_copy(32 * 1024 * KIB).expect("room"),
        guard.reserve_copy(32 * 1024 * KIB).expect("room"),
    ];
    assert!(guard.reserve_copy(32 * 1024 * KIB).is_err());
    // Small ones cost nothing.
    let held = guard.held();
    assert!(
        guard
            .reserve_copy(64 * KIB)
            .is_ok_and(|copy| copy.is_none())
    );
    assert_eq!(guard.held(), held);
    drop(copies);
    assert_eq!(guard.held(), 0);
}

/// Guards against answers that pile up for a peer that does not read, and against a count that drifts.
#[test]
fn queued_answers_of_a_link_are_bounded() {
    let answer = || {
        let result = CallResult::Answer {
            status: 200,
            headers: Vec::new(),
            body: vec![0; 16 * 1024],
            run_ms: 1,
        };
        PeerFrame::Result(1, EndpointLoad::default(), Box::new(result))
    };
    let (queued, queue) = frame_queue();
    for _ in 0..3 {
        let sent = (0..1000).filter(|_| queued.send(answer())).count();
        assert_eq!(sent, 64);
        assert!(queued.send(PeerFrame::Ping), "small frames still fit");
        while queue.try_next().is_some() {}
    }
}

/// Guards against a busy connection that is closed for a new one, and against a count that drifts.
#[test]
fn oldest_idle_connection_is_evicted() {
    let limit = ConnectionLimit::new(2);
    let first = limit.admit().expect("room").slot;
    let second = limit.admit().expect("room").slot;
    // The first one becomes idle again after the second one.
    drop(first.begin_request());
    let busy = first.begin_request();
    let third = limit.admit().expect("room by eviction");
    assert!(third.has_evicted);
    let wakes = |slot: &coltsfootweir::sidecar::client_limits::connection_limit::ConnectionSlot| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let evicted = tokio::time::timeout(Duration::from_millis(10), slot.evicted());
            evicted.await.is_ok()
        })
    };
    assert!(wakes(&second));
    assert!(!wakes(&first));
    drop(second);
    assert_eq!(limit.open(), 2);
    let other = third.slot.begin_request();
    assert!(limit.admit().is_none(), "all are busy");
    drop((other, busy, first, third));
    assert_eq!(limit.open(), 0);
}

/// Guards against a refused call whose caller is not told, because its number is not found.
#[test]
fn number_of_a_call_is_read_from_the_beginning_of_its_frame() {
    let call = ForwardedCall {
        service: "s".into(),
        method: "POST".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: Bytes::from(vec![0; 4096]),
        request_id: "r".into(),
        rank: 0,
        kind: 0,
        left_ms: 0,
        wait_ms: 0,
        sent_at_ms: 0,
        team: None,
    };
    for number in [0, 127, 128, 255, 256, 65_535, 65_536, u32::MAX] {
        let frames = [
            PeerFrame::Call(number, Box::new(call.clone())),
            PeerFrame::TimedCall(number, 7, Box::new(call.clone())),
        ];
        for frame in frames {
            let mut bytes = Vec::new();
            write_frame(&frame, &mut bytes).expect("a frame");
            assert_eq!(requested_call(&bytes[..64]), Some(number));
        }
    }
    let mut bytes = Vec::new();
    write_frame(&PeerFrame::Cancel(1), &mut bytes).expect("a frame");
    assert_eq!(requested_call(&bytes), None);
}
