//! Who may ask a sidecar where a request would go.

use std::net::IpAddr;

use coltsfootweir::sidecar::route_explanation::is_from_own_vm;

fn address(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

/// Guards against another host that learns the daemons and their load.
#[test]
fn only_the_vm_itself_may_ask() {
    let own = address("10.0.0.7");
    assert!(is_from_own_vm(address("127.0.0.1"), own));
    assert!(is_from_own_vm(address("::1"), own));
    assert!(is_from_own_vm(own, own));
    assert!(is_from_own_vm(address("::ffff:10.0.0.7"), own));
    assert!(!is_from_own_vm(address("10.0.0.8"), own));
    assert!(!is_from_own_vm(address("::ffff:10.0.0.8"), own));
}
