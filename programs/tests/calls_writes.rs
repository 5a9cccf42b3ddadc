//! A call costs its daemon two writes, the request on and the answer back.

mod common;

use std::fs;

use common::caller::CallSpec;
use common::caller::KeptCaller;
use common::process_fleet::ProcessFleet;

const CALLS: u64 = 200;

/// Writes of the thread that serves calls since its start.
fn count_writes(process: u32) -> u64 {
    for thread in fs::read_dir(format!("/proc/{process}/task")).expect("threads") {
        let path = thread.expect("thread").path();
        if fs::read_to_string(path.join("comm")).expect("name").trim() != "calls" {
            continue;
        }
        let counts = fs::read_to_string(path.join("io")).expect("counts");
        let writes = counts.lines().find_map(|line| line.strip_prefix("syscw: "));
        return writes.expect("writes").parse().expect("number");
    }
    panic!("no thread serves calls");
}

#[test]
fn the_deadline_of_a_call_costs_no_write() {
    let fleet = ProcessFleet::start_serving(1, &["--work-us=0"]);
    let process = fleet.daemons[0].process.child.id();
    let mut caller = KeptCaller::new(fleet.daemons[0].calls);
    let spec = CallSpec::get("/stalls/free");
    assert!(caller.call(&spec).whole().expect("answer").is_good());
    let before = count_writes(process);
    for _ in 0..CALLS {
        assert!(caller.call(&spec).whole().expect("answer").is_good());
    }
    let writes = count_writes(process) - before;
    // Half a write a call is left for the timer's own ticks and for a new connection.
    assert!(writes < CALLS * 5 / 2, "{writes} writes for {CALLS} calls");
}
