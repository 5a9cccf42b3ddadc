//! Records that tests accept.

/// Records of one route and its only version.
pub fn one_route(name: &str) -> String {
    format!(
        r#"[{{"kind": "upstream-version", "schema": 1, "service": "{name}", "version": "v1", "share": 100}},
            {{"kind": "route", "schema": 1, "name": "{name}", "service": "{name}",
              "prefix": "/{name}", "class": "check", "timeout_ms": 2000}}]"#
    )
}
