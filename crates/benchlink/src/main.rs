//! Adapter that connects pinetrestle's decision core to the simulator.
//!
//! The program reads lines from standard input and writes lines to standard output. Each line is a JSON
//! object. The simulator sends batches of lines: `SYNC` contains the time, events follow, and
//! `OVER_TO_YOU` ends the batch. The program replies with one line per action and `NEXT`.
//!
//! The simulator runs several instances over the same pipe. Each instance is a separate front node. The
//! simulator identifies index servers by name, the decision core by replica number. The adapter only
//! translates between both formats; all decisions are made by the decision core.
//!
//! - [`session`] processes the lines of input, keeps the instances and writes replies.
//! - [`instance`] contains one front node and its mapping between server names and replica numbers.
//! - [`decode`] converts lines to events, and [`encode`] converts actions to lines.

#![warn(missing_docs)]

mod decode;
mod encode;
mod error;
mod instance;
mod session;

use error::WireError;
use session::{Progress, Session};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut output = BufWriter::new(io::stdout().lock());
    let mut session = Session::default();
    for (index, line) in io::stdin().lock().lines().enumerate() {
        if let Err(error) = handle_line(&mut session, line, &mut output) {
            eprintln!("pinetrestle-benchlink: line {}: {error}", index + 1);
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Handles one line of input. If the line ends a batch, flushes the reply, which the simulator waits for.
fn handle_line(
    session: &mut Session,
    line: io::Result<String>,
    output: &mut impl Write,
) -> Result<(), WireError> {
    match session.handle_line(&line?, output)? {
        Progress::Replied => Ok(output.flush()?),
        Progress::WithinBatch => Ok(()),
    }
}
