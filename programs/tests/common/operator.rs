//! Runs the operator's program.

use serde_json::Value;

use super::PlatformProcess;
use super::run_operator;

/// How a run of the operator's program ended.
#[derive(Debug)]
pub struct OperatorRun {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl OperatorRun {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

impl PlatformProcess {
    /// Runs the operator's program on this platform.
    pub fn operate(&self, arguments: &str, input: &str) -> OperatorRun {
        operate(&format!("{arguments} --platform {}", self.address), input)
    }

    /// Runs it on this platform and wants success and JSON.
    pub fn operate_json(&self, arguments: &str, input: &str) -> Value {
        operate_json(&format!("{arguments} --platform {}", self.address), input)
    }
}

/// Runs the operator's program with arguments separated by blanks.
pub fn operate(arguments: &str, input: &str) -> OperatorRun {
    let arguments: Vec<&str> = arguments.split_whitespace().collect();
    let output = run_operator(&arguments, input);
    OperatorRun {
        code: output.status.code().expect("ended by itself"),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}

/// Runs it and wants success and JSON.
pub fn operate_json(arguments: &str, input: &str) -> Value {
    let run = operate(&format!("{arguments} --json"), input);
    assert_eq!(run.code, 0, "{run:?}");
    run.json()
}
