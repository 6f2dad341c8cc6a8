//! State of a front node: data types only, without the decisions and their constants.

mod endpoint_watch;
mod latency;
mod query;
mod replica;

pub(crate) use endpoint_watch::{EndpointWatch, ListCurrency};
pub(crate) use latency::{ClassStep, GlobalStall, LatencySample, LatencyStats};
pub(crate) use query::{Attempt, ClientTries, Part, Query};
pub(crate) use replica::{AttemptId, BatchedCall, InFlightAttempt, Replica};
