//! The `pinetrestle` program. [`pinetrestle_member::cli`] has its command line.

fn main() -> std::process::ExitCode {
    pinetrestle_member::cli::main()
}
