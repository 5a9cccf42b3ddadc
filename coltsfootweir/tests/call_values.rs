//! Tests of values carried by calls: booking keys, deadlines, load reports and stored answers.

mod common;

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::body::Bytes;
use hyper::header::HeaderValue;
use proptest::prelude::*;

use coltsfootweir::answer_cache::AnswerCache;
use coltsfootweir::answer_cache::CacheLimits;
use coltsfootweir::answer_cache::StoredAnswer;
use coltsfootweir::booking::BookingLedger;
use coltsfootweir::booking_key::BookingKey;
use coltsfootweir::booking_key::KeyError;
use coltsfootweir::booking_key::MAX_KEY_LENGTH;
use coltsfootweir::call::CallReply;
use coltsfootweir::deadline::CallDeadline;
use coltsfootweir::deadline::MAX_TIMEOUT;
use coltsfootweir::deadline::RETURN_MARGIN;
use coltsfootweir::load_report::LoadReport;

use common::fixed_config;

/// Header names, of which the first [`CONNECTION_COUNT`] apply to a single connection.
const HEADER_NAMES: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-type",
    "etag",
    "x-keep-alive",
    "x-request-id",
];

const CONNECTION_COUNT: usize = 7;

proptest! {
    #![proptest_config(fixed_config(0xca11, 256))]

    #[test]
    fn headers_of_a_connection_and_no_others_are_taken_out(
        picks in proptest::collection::vec(0..HEADER_NAMES.len(), 0..16),
    ) {
        let mut response = Response::new(Bytes::new());
        for pick in &picks {
            let value = HeaderValue::from_static("x");
            response.headers_mut().append(HEADER_NAMES[*pick], value);
        }
        let forwarded = CallReply::ran(response).response;
        for (number, name) in HEADER_NAMES.into_iter().enumerate() {
            let sent = picks.iter().filter(|pick| **pick == number).count();
            let expected = if number < CONNECTION_COUNT { 0 } else { sent };
            let left = forwarded.headers().get_all(name).iter().count();
            prop_assert_eq!(left, expected, "{}", name);
        }
    }

    #[test]
    fn keys_read_back_as_written(text in "(cw1~)?[ -~]{0,140}", incarnation: u64) {
        match BookingKey::parse(&text) {
            Ok(key) => prop_assert_eq!(key.to_string(), text),
            Err(KeyError::TooLong) => prop_assert!(text.len() > MAX_KEY_LENGTH),
            Err(_) => {}
        }
        let mut ledger = BookingLedger::new("10.0.0.1:7000".into(), incarnation);
        for _ in 0..3 {
            let key = ledger.mint();
            prop_assert_eq!(BookingKey::parse(&key.to_string()), Ok(key));
        }
    }

    #[test]
    fn minted_keys_have_one_spelling(incarnation in "[+0]?[1-9]{1,3}", counter in "0{0,2}") {
        let text = format!("cw1~10.0.0.1:7000~{incarnation}~{counter}");
        let is_plain = incarnation.starts_with(|first: char| ('1'..='9').contains(&first));
        prop_assert_eq!(BookingKey::parse(&text).is_ok(), is_plain && counter == "0");
    }

    #[test]
    fn every_accepted_timeout_is_waited_out(millis in 1..=MAX_TIMEOUT.as_millis() as u64, now in 0..1_000_000_u64) {
        let now = Duration::from_millis(now);
        let timeout = Duration::from_millis(millis);
        let deadline = CallDeadline::on_arrival(None, timeout, now);
        prop_assert_eq!(deadline.remaining(now), timeout);
        let header = deadline.header_ms(now).map(|left| left.to_string());
        let next_hop = CallDeadline::on_arrival(header.as_deref(), MAX_TIMEOUT, now);
        prop_assert_eq!(next_hop.remaining(now), timeout);
    }

    #[test]
    fn deadlines_only_shrink(header in "[0-9]{0,22}", hops in 1..7_u32, now in 0..1_000_000_u64) {
        let now = Duration::from_millis(now);
        let timeout = Duration::from_secs(2);
        let first = CallDeadline::on_arrival(Some(&header), timeout, now);
        prop_assert!(first.remaining(now) <= MAX_TIMEOUT);
        let mut deadline = first;
        for _ in 0..hops {
            deadline = deadline.shrink(RETURN_MARGIN);
            let sent = deadline.header_ms(now).map_or(Duration::ZERO, Duration::from_millis);
            prop_assert!(sent <= deadline.remaining(now));
        }
        let margins = RETURN_MARGIN * hops;
        prop_assert!(deadline.remaining(now) <= first.remaining(now).saturating_sub(margins));
        prop_assert!(deadline.is_passed(now + MAX_TIMEOUT));
    }

    #[test]
    fn loads_survive_their_header(running in 0..20_u16, slots in 1..20_u16) {
        let report = LoadReport {
            running: running.min(slots),
            slots,
            waiting: running.saturating_sub(slots),
        };
        prop_assert_eq!(LoadReport::parse(&report.to_string()), Some(report));
    }

    #[test]
    fn answers_kept_stay_within_their_bounds(sizes in proptest::collection::vec(0..600_usize, 1..60)) {
        let limits = CacheLimits {
            answers: 5,
            bytes: 1500,
            age: Duration::from_secs(10),
        };
        let mut cache = AnswerCache::new(limits);
        let mut costs: Vec<usize> = Vec::new();
        for (second, size) in sizes.iter().enumerate() {
            let now = Duration::from_secs(second as u64);
            let key = BookingKey::Caller(second.to_string().into());
            let answer = StoredAnswer {
                status: 200,
                headers: Vec::new(),
                body: Arc::from(vec![0; *size]),
            };
            costs.push(answer.cost());
            cache.insert(&key, answer.clone(), now);
            prop_assert_eq!(cache.get(&key, now), Some(&answer));
            let kept = &costs[costs.len() - cache.len()..];
            prop_assert!(kept.len() <= 5 && kept.iter().sum::<usize>() <= 1500);
        }
        let end = Duration::from_secs(sizes.len() as u64) + limits.age;
        let last = BookingKey::Caller((sizes.len() - 1).to_string().into());
        prop_assert_eq!(cache.get(&last, end), None);
        prop_assert!(cache.is_empty());
    }
}
