//! The front node as a program: reads its configuration, serves until it is told to stop.

fn main() -> std::process::ExitCode {
    pinetrestle_node::main_from_environment()
}
