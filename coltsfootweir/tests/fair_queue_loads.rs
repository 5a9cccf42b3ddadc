//! Loads of several teams at one guard: each test names the load that it answers.

mod team_loads;

use std::time::Duration;

use team_loads::SLOTS;
use team_loads::TeamLoad;
use team_loads::TeamOutcome;
use team_loads::TeamSimulation;
use team_loads::total;

const SECONDS: u64 = 20;

/// Several draws of arrivals and run times, so that no bound holds by the chance of one.
const SEEDS: [u64; 3] = [1, 2, 3];

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn load(team: u64, per_s: f64) -> TeamLoad {
    TeamLoad {
        team: Some(team),
        rank: 1,
        per_s,
        burst: 1,
        run: ms(70),
        time_limit: ms(600),
        from: Duration::ZERO,
        until: Duration::from_secs(SECONDS),
    }
}

/// Seventy small teams that ask for two thirds of the slots together, and one that floods.
fn flood_beside_small_teams(flood_per_s: f64) -> Vec<TeamLoad> {
    let mut loads = vec![load(0, flood_per_s)];
    loads.extend((1..=70).map(|team| load(team, 1.2)));
    loads
}

fn without_teams(loads: &[TeamLoad]) -> Vec<TeamLoad> {
    let loads = loads.iter();
    loads
        .map(|load| TeamLoad {
            team: None,
            ..*load
        })
        .collect()
}

fn play(loads: Vec<TeamLoad>, seed: u64) -> Vec<TeamOutcome> {
    TeamSimulation::new(loads, seed).play()
}

/// Plays the loads with each seed.
fn play_all(loads: &[TeamLoad]) -> Vec<Vec<TeamOutcome>> {
    SEEDS.map(|seed| play(loads.to_vec(), seed)).into()
}

fn mean(waits: impl Iterator<Item = Duration>) -> f64 {
    let (mut sum, mut count) = (0.0, 0);
    for wait in waits {
        sum += wait.as_secs_f64();
        count += 1;
    }
    sum / f64::from(count.max(1))
}

fn brief(outcome: &TeamOutcome) -> String {
    format!(
        "{} arrivals, {} done, {} refused, {} dropped, {} late, longest wait {:?}, slot time {:?}",
        outcome.arrivals,
        outcome.done,
        outcome.refused,
        outcome.dropped,
        outcome.late,
        outcome.longest_wait,
        outcome.slot_time
    )
}

/// Asserts that the loads got equal slot time, but for `tolerance` of their mean.
fn assert_equal_shares(outcomes: &[&TeamOutcome], tolerance: f64) {
    let times = outcomes.iter().map(|outcome| outcome.slot_time);
    let mean = times.sum::<Duration>().as_secs_f64() / outcomes.len() as f64;
    for outcome in outcomes {
        let ratio = outcome.slot_time.as_secs_f64() / mean;
        assert!((ratio - 1.0).abs() <= tolerance, "{}", brief(outcome));
    }
}

/// A flood of one team beside seventy small ones: guards against small teams that are refused or wait
/// because of another team's backlog.
#[test]
fn flood_of_one_team_takes_nothing_from_seventy_small_ones() {
    for flood_per_s in [300.0, 3_000.0] {
        let loads = flood_beside_small_teams(flood_per_s);
        for before in play_all(&without_teams(&loads)) {
            assert!(total(&before[1..]).in_time() < 0.5, "the load is harmless");
        }
        for outcomes in play_all(&loads) {
            let (flood, small) = (&outcomes[0], total(&outcomes[1..]));
            println!("flood: {}\nsmall: {}", brief(flood), brief(&small));
            assert!(small.in_time() >= 0.999, "{}", brief(&small));
            assert_eq!(small.refused, 0);
            assert!(mean(small.waits.iter().map(|wait| wait.1)) < 0.03);
            // The flood gets what the small teams leave.
            let all = SLOTS as u64 * SECONDS;
            let left = Duration::from_secs(all) - small.slot_time;
            assert!(flood.slot_time >= left.mul_f64(0.95), "{}", brief(flood));
        }
    }
}

/// A flood of one team beside seventy small ones: guards against requests of the flood that are refused
/// only after a wait, or with a wait that is not theirs.
#[test]
fn requests_of_a_flood_are_refused_at_once_with_a_true_wait() {
    for flood_per_s in [300.0, 3_000.0] {
        for outcomes in play_all(&flood_beside_small_teams(flood_per_s)) {
            let flood = &outcomes[0];
            assert!(flood.dropped * 20 <= flood.arrivals, "{}", brief(flood));
            assert!(flood.late * 20 <= flood.done, "{}", brief(flood));
            let expected = mean(flood.waits.iter().map(|wait| wait.0));
            let waited = mean(flood.waits.iter().map(|wait| wait.1));
            let ratio = expected / waited;
            // Expected run times include the mean deviation, a quarter of the mean here.
            assert!((0.9..=1.5).contains(&ratio), "{expected} for {waited}");
            let stated = mean(flood.stated.iter().copied());
            assert!((0.4..=0.7).contains(&stated), "stated {stated}");
        }
    }
}

/// A team that sends more than its share while the endpoint is nearly full: guards against slots that
/// stay idle because the team's requests are refused too early.
#[test]
fn nearly_full_endpoint_serves_what_it_served_without_teams() {
    let loads = flood_beside_small_teams(40.0);
    for seed in SEEDS {
        let before = total(&play(without_teams(&loads), seed));
        let outcomes = play(loads.clone(), seed);
        let (flood, all) = (&outcomes[0], total(&outcomes));
        println!("flood: {}\nall: {}", brief(flood), brief(&all));
        assert!(all.done * 100 >= before.done * 97, "{}", brief(&all));
        assert!(flood.in_time() >= 0.92, "{}", brief(flood));
    }
}

/// Small teams that fill 93% of the slots beside a flood: guards against a team over its share that
/// gets no slot at all. Each small team uses nearly its own share, and now and then more.
#[test]
fn team_over_its_share_does_not_starve() {
    let mut loads = flood_beside_small_teams(300.0);
    for small in &mut loads[1..] {
        small.per_s = 1.7;
    }
    for outcomes in play_all(&loads) {
        let (flood, small) = (&outcomes[0], total(&outcomes[1..]));
        println!("flood: {}\nsmall: {}", brief(flood), brief(&small));
        let share = Duration::from_secs(SLOTS as u64 * SECONDS) / 71;
        assert!(flood.slot_time >= share, "{}", brief(flood));
        assert!(small.in_time() >= 0.975, "{}", brief(&small));
    }
}

/// Three large teams together, at equal and at unequal rates: guards against shares that follow the
/// rates at which teams send.
#[test]
fn three_large_teams_share_the_slots_equally() {
    for rates in [[150.0; 3], [60.0, 150.0, 300.0], [50.0, 500.0, 2_000.0]] {
        let loads = (0..3).map(|team| load(team, rates[team as usize]));
        let loads: Vec<TeamLoad> = loads.collect();
        for outcomes in play_all(&loads) {
            println!(
                "{rates:?}: {:?}",
                outcomes.iter().map(brief).collect::<Vec<_>>()
            );
            assert_equal_shares(&outcomes.iter().collect::<Vec<_>>(), 0.05);
            let all = total(&outcomes).slot_time.as_secs_f64();
            assert!(all >= 0.98 * f64::from(SLOTS) * SECONDS as f64, "{all}");
        }
    }
}

/// Three large teams with requests of 35, 70 and 140 ms: guards against shares by number of requests,
/// which would give the team with long requests most of the slots.
#[test]
fn teams_with_long_and_short_requests_get_equal_slot_time() {
    let mut loads: Vec<TeamLoad> = (0..3).map(|team| load(team, 200.0)).collect();
    loads[1].run = ms(140);
    loads[2].run = ms(35);
    for outcomes in play_all(&loads) {
        println!("{:?}", outcomes.iter().map(brief).collect::<Vec<_>>());
        assert_equal_shares(&outcomes.iter().collect::<Vec<_>>(), 0.05);
    }
}

/// Two large teams of one route, of which one sends requests that run four times as long as the route
/// suggests: guards against shares by the estimate instead of the measured run time.
#[test]
fn wrong_estimate_of_the_run_time_is_corrected() {
    let loads = vec![load(0, 100.0), load(1, 300.0)];
    for seed in SEEDS {
        let mut simulation = TeamSimulation::new(loads.clone(), seed);
        simulation.slow = Some((0, 4));
        let outcomes = simulation.play();
        println!("{:?}", outcomes.iter().map(brief).collect::<Vec<_>>());
        assert_equal_shares(&outcomes.iter().collect::<Vec<_>>(), 0.05);
    }
}

/// Small teams at irregular times, several requests at once and then none for seconds, beside two
/// floods: guards against small teams that must send steadily to get their share.
#[test]
fn small_teams_at_irregular_times_are_served() {
    let mut loads = vec![load(0, 200.0), load(1, 200.0)];
    for team in 2..42 {
        let small = load(team, 0.3);
        loads.push(TeamLoad { burst: 4, ..small });
    }
    for outcomes in play_all(&loads) {
        let small = total(&outcomes[2..]);
        println!("small: {}", brief(&small));
        assert!(small.in_time() >= 0.99, "{}", brief(&small));
        assert_equal_shares(&[&outcomes[0], &outcomes[1]], 0.1);
    }
}

/// A team that comes back after a pause, during which another had all slots: guards against credit for
/// the pause, and against a penalty for the use of idle slots.
#[test]
fn team_that_comes_back_after_a_pause_gets_an_equal_share() {
    let span = |team, from, until| TeamLoad {
        from: Duration::from_secs(from),
        until: Duration::from_secs(until),
        ..load(team, 300.0)
    };
    let loads = vec![
        span(0, 0, 5),
        span(1, 0, 5),
        span(1, 5, 10),
        span(0, 10, 12),
        span(1, 10, 12),
        span(0, 12, 20),
        span(1, 12, 20),
    ];
    for outcomes in play_all(&loads) {
        println!("{:?}", outcomes.iter().map(brief).collect::<Vec<_>>());
        assert_equal_shares(&[&outcomes[0], &outcomes[1]], 0.05);
        // The first seconds after the pause include the queue of the team that stayed.
        assert_equal_shares(&[&outcomes[3], &outcomes[4]], 0.15);
        assert_equal_shares(&[&outcomes[5], &outcomes[6]], 0.05);
    }
}

/// Mixed ranks: floods of two teams beside urgent requests of one of them, and beside calls of running
/// requests, which have no team. Guards against a share that delays more urgent work, and against
/// calls that wait behind new requests.
#[test]
fn urgent_ranks_and_calls_without_a_team_go_first() {
    let urgent = TeamLoad {
        rank: 0,
        time_limit: ms(250),
        ..load(0, 20.0)
    };
    let calls = TeamLoad {
        team: None,
        run: ms(20),
        time_limit: ms(120),
        ..load(0, 100.0)
    };
    let less_urgent = TeamLoad {
        rank: 2,
        ..load(2, 100.0)
    };
    let loads = vec![load(0, 300.0), load(1, 200.0), urgent, calls, less_urgent];
    for outcomes in play_all(&loads) {
        println!("{:?}", outcomes.iter().map(brief).collect::<Vec<_>>());
        assert!(outcomes[2].in_time() >= 0.99, "{}", brief(&outcomes[2]));
        assert!(outcomes[3].in_time() >= 0.99, "{}", brief(&outcomes[3]));
        assert_equal_shares(&[&outcomes[0], &outcomes[1]], 0.05);
        let least = outcomes[4].slot_time;
        assert!(least < outcomes[1].slot_time / 10, "{least:?}");
    }
}
