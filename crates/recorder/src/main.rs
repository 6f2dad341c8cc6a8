//! `pinetrestle-flight`: decodes the records that a front node's flight recorder wrote, and prints the
//! timeline of a query or a list of the queries.
//!
//! Exit codes: 0 on success; 1 if the file has no records, or none of the query; 2 if the command line is
//! invalid or the file cannot be read.

use clap::Parser;
use pinetrestle_recorder::log_lines::{self, DecodedLines};
use pinetrestle_recorder::{query_key, timeline};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code if the file cannot be read. clap uses the same code for an invalid command line.
const EXIT_UNREADABLE: u8 = 2;

/// Prints the timeline of a query from a front node's log or from a file written by its flight recorder.
#[derive(Parser)]
#[command(name = "pinetrestle-flight", version)]
struct Arguments {
    /// The log, or the file written by the flight recorder.
    file: PathBuf,
    /// The query id as sent by the client; without it, all queries in the file are listed.
    query: Option<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let bytes = match std::fs::read(&arguments.file) {
        Ok(bytes) => bytes,
        Err(error) => {
            eprintln!("pinetrestle-flight: {}: {error}", arguments.file.display());
            return ExitCode::from(EXIT_UNREADABLE);
        }
    };
    let text = String::from_utf8_lossy(&bytes);
    let decoded = log_lines::decode_lines(text.lines());
    report_skipped(&arguments.file, &decoded);
    if decoded.records.is_empty() {
        eprintln!("pinetrestle-flight: {}: no records", arguments.file.display());
        return ExitCode::FAILURE;
    }
    match arguments.query {
        Some(id) => print_timeline(&arguments.file, &decoded, &id),
        None => list_queries(&decoded),
    }
}

/// Reports on standard error the lines and records that could not be decoded.
fn report_skipped(file: &Path, decoded: &DecodedLines) {
    for line in &decoded.unreadable_lines {
        eprintln!("pinetrestle-flight: {}:{line}: records truncated or corrupt, skipped", file.display());
    }
    if decoded.unknown_kinds > 0 {
        eprintln!("pinetrestle-flight: {} records of steps not known to this version", decoded.unknown_kinds);
    }
}

fn list_queries(decoded: &DecodedLines) -> ExitCode {
    for summary in timeline::summarize_queries(&decoded.records) {
        let first_at_s = summary.first_at_us as f64 / 1e6;
        println!("{:016x}  from {first_at_s:.6} s  {} steps", summary.query, summary.records);
    }
    ExitCode::SUCCESS
}

fn print_timeline(file: &Path, decoded: &DecodedLines, id: &str) -> ExitCode {
    let query = query_key(id);
    let records = timeline::records_for_query(&decoded.records, query);
    if !records.iter().any(|record| record.query == query) {
        eprintln!("pinetrestle-flight: {}: no records of query {id}", file.display());
        return ExitCode::FAILURE;
    }
    print!("{}", timeline::render(&records, query));
    ExitCode::SUCCESS
}
