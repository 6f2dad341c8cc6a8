//! Starts and signals the front node's process, and finds a running one in `/proc`.

use crate::config::LaunchConfig;
use rustix::process::{Pid, Signal};
use std::collections::BTreeMap;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The environment variable by which a member recognizes its front node. Its value is the member's data
/// directory, a colon and the version.
const MARKER_VARIABLE: &str = "PINETRESTLE_FRONT";
/// The file in the member's data directory to which the front node's standard output and error are appended.
const OUTPUT_FILE: &str = "front.log";

/// The process of this member's front node.
pub(super) struct Process {
    /// The process id.
    pub(super) pid: u32,
    /// The version of the front node that it runs.
    pub(super) version: String,
    /// Whether it was sent a signal to end. It is not polled any more then: a front node waits for its
    /// clients' connections before it ends, and a poll would be one of them.
    pub(super) ending: bool,
    /// The child handle, with which its exit status is collected; `None` if an earlier run of the member
    /// started the process.
    child: Option<Child>,
}

impl Process {
    /// Sends a signal that ends the process, and returns whether that succeeded. Returns `None` if the
    /// process id is not valid.
    pub(super) fn signal(&mut self, signal: Signal) -> Option<bool> {
        self.ending = true;
        let pid = Pid::from_raw(self.pid as i32)?;
        Some(rustix::process::kill_process(pid, signal).is_ok())
    }

    /// Returns whether the process has ended. Does not block. Collects the exit status of a child of this
    /// process.
    pub(super) fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => !is_alive(self.pid),
        }
    }
}

/// Starts the front node of one member, or finds it if it is running.
pub(super) struct Launcher {
    /// The value of [`MARKER_VARIABLE`] for this member's front node, without the version at its end.
    marker_prefix: String,
    /// The file to which the front node's output is appended.
    output: PathBuf,
}

impl Launcher {
    /// Creates the launcher of the member with the data directory `data_dir`.
    pub(super) fn new(data_dir: &Path) -> Launcher {
        let owner = data_dir.canonicalize().unwrap_or_else(|_| data_dir.to_path_buf());
        Launcher { marker_prefix: format!("{}:", owner.display()), output: data_dir.join(OUTPUT_FILE) }
    }

    /// Starts one version of the front node.
    ///
    /// # Errors
    /// If the output file cannot be opened or the program cannot be started.
    pub(super) fn start(
        &self,
        launch: &LaunchConfig,
        version: &str,
        safe_mode: bool,
    ) -> std::io::Result<Process> {
        let output = std::fs::OpenOptions::new().create(true).append(true).open(&self.output)?;
        let mut command = Command::new(&launch.program);
        command.args(&launch.args).envs(&launch.env);
        if safe_mode {
            command.envs(&launch.safe_mode_env);
        }
        let child = command
            .env(MARKER_VARIABLE, format!("{}{version}", self.marker_prefix))
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            // A process group of its own, so that signals to the member's group, such as Ctrl-C in a
            // terminal, do not reach the front node.
            .process_group(0)
            .spawn()?;
        Ok(Process { pid: child.id(), version: version.to_owned(), ending: false, child: Some(child) })
    }

    /// Returns the running process that has this member's marker in its environment. If there are several,
    /// returns the one with the lowest process id.
    pub(super) fn find_running(&self) -> Option<Process> {
        let marker = format!("{MARKER_VARIABLE}={}", self.marker_prefix);
        let marked: BTreeMap<u32, String> = std::fs::read_dir("/proc")
            .ok()?
            .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse::<u32>().ok())
            .filter(|pid| is_alive(*pid))
            .filter_map(|pid| Some((pid, marked_version(pid, &marker)?)))
            .collect();
        let (pid, version) = marked.into_iter().next()?;
        Some(Process { pid, version, ending: false, child: None })
    }
}

/// Returns the text that follows `marker` in the environment of a process, which is the version; `None` if no
/// variable begins with `marker`.
fn marked_version(pid: u32, marker: &str) -> Option<String> {
    let environment = std::fs::read(format!("/proc/{pid}/environ")).ok()?;
    let version =
        environment.split(|byte| *byte == 0).find_map(|variable| variable.strip_prefix(marker.as_bytes()))?;
    String::from_utf8(version.to_vec()).ok()
}

/// Returns whether a process is running. A zombie has ended, although its parent has not yet collected its
/// exit status.
fn is_alive(pid: u32) -> bool {
    // See proc(5): the state is the field after the name of the program, which is in parentheses.
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let state = stat.rsplit(") ").next().and_then(|rest| rest.chars().next());
    !matches!(state, None | Some('Z' | 'X'))
}
