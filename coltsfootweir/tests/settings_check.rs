//! Settings are checked whole: every fault is named at once, and nothing wrong is passed over.

use clap::Args;
use clap::Command;
use clap::FromArgMatches;

use coltsfootweir::settings::DaemonArgs;

/// Settings that any daemon needs.
const NEEDED: &str = "coltsfootweird --region north --zone north-a --store-region north";

fn faults(flags: &str) -> Vec<String> {
    let command = DaemonArgs::augment_args(Command::new("coltsfootweird"));
    let words = format!("{NEEDED} {flags}");
    let matches = command.get_matches_from(words.split(' ').filter(|word| !word.is_empty()));
    let arguments = DaemonArgs::from_arg_matches(&matches).expect("flags are known");
    match arguments.check() {
        Ok(_) => Vec::new(),
        Err(error) => error.faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn every_fault_is_named_at_once() {
    let flags = "--platform nowhere --control 0.0.0.0:1 --calls 127.0.0.1 --seeds 127.0.0.1:1,x \
                 --statsd 127.0.0.1:1,127.0.0.1:2 --log loud --drain-limit 0s --queue-limit many";
    let named = faults(flags);
    let mut wrong = Vec::new();
    for fault in &named {
        wrong.push(fault.split(':').next().expect("a flag"));
    }
    let expected =
        "--control --calls --platform --seeds --statsd --log --drain-limit --queue-limit";
    assert_eq!(wrong.join(" "), expected, "{named:#?}");
}

#[test]
fn addresses_that_the_client_cannot_reach_are_refused() {
    for flag in ["platform", "control", "calls", "seeds", "statsd"] {
        let mut flags = format!("--{flag} [::1]:7000");
        if flag != "platform" {
            flags.push_str(" --platform 127.0.0.1:1");
        }
        let named = faults(&flags);
        assert_eq!(named.len(), 1, "{named:?}");
        assert!(named[0].starts_with(&format!("--{flag}: ")), "{named:?}");
        assert!(named[0].contains("IPv4"), "{named:?}");
    }
    assert!(faults("--platform 127.0.0.1:1 --statsd 127.0.0.1:2").is_empty());
}
