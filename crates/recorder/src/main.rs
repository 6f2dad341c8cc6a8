//! Reads what a front node's flight recorder wrote out and prints one query's life.

use clap::Parser;
use pinetrestle_recorder::{key_of, life, text};
use std::path::PathBuf;
use std::process::ExitCode;

/// Prints one query's life from a front node's log or from a file of its flight recorder.
#[derive(Parser)]
#[command(name = "pinetrestle-flight", version)]
struct Arguments {
    /// The log or file.
    file: PathBuf,
    /// The query's id, as its client sent it; without one, the queries that are in the file are listed.
    query: Option<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let bytes = match std::fs::read(&arguments.file) {
        Ok(bytes) => bytes,
        Err(error) => {
            eprintln!("pinetrestle-flight: {}: {error}", arguments.file.display());
            return ExitCode::from(2);
        }
    };
    let all = String::from_utf8_lossy(&bytes);
    let found = text::read(all.lines());
    for line in &found.unreadable {
        eprintln!(
            "pinetrestle-flight: {}:{line}: records cut or altered, passed over",
            arguments.file.display()
        );
    }
    if found.unknown > 0 {
        eprintln!("pinetrestle-flight: {} records of steps not known to this version", found.unknown);
    }
    if found.records.is_empty() {
        eprintln!("pinetrestle-flight: {}: no records", arguments.file.display());
        return ExitCode::FAILURE;
    }
    let Some(id) = arguments.query else {
        for (query, at, steps) in life::queries(&found.records) {
            println!("{query:016x}  from {:.6} s  {steps} steps", at as f64 / 1e6);
        }
        return ExitCode::SUCCESS;
    };
    let query = key_of(&id);
    let mine = life::of_query(&found.records, query);
    if !mine.iter().any(|record| record.query == query) {
        eprintln!("pinetrestle-flight: {}: nothing of query {id}", arguments.file.display());
        return ExitCode::FAILURE;
    }
    print!("{}", life::print(&mine, query));
    ExitCode::SUCCESS
}
