//! How an experiment fails.

use std::fmt;

use error_stack::Report;

/// Why an experiment gave no figures.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MeasureError {
    /// The experiment's name is not known.
    UnknownExperiment,
    /// A program could not be started; the text names it.
    Start(Box<str>),
    /// A daemon or stand-in gave no usable answer.
    NoAnswer,
    /// A change of configuration was refused.
    Refused,
    /// The fleet did not reach a condition in time; the text names it.
    NotReached(Box<str>),
    /// Figures of a process could not be read.
    ProcessFigures,
    /// Results could not be written.
    Output,
}

impl fmt::Display for MeasureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MeasureError::UnknownExperiment => f.write_str("no such experiment"),
            MeasureError::Start(name) => {
                write!(
                    f,
                    "{name} not started; build it by cargo build --release --workspace"
                )
            }
            MeasureError::NoAnswer => f.write_str("no usable answer"),
            MeasureError::Refused => f.write_str("change of configuration refused"),
            MeasureError::NotReached(what) => write!(f, "not reached in time: {what}"),
            MeasureError::ProcessFigures => f.write_str("figures of a process not read"),
            MeasureError::Output => f.write_str("results not written"),
        }
    }
}

impl std::error::Error for MeasureError {}

/// Result of a step of an experiment.
pub type MeasureResult<T> = Result<T, Report<MeasureError>>;
