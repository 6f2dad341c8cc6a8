//! Helpers for tests that run several processes: ports, signals, fault proxies between members, and runs over
//! many seeds.
// Each test program uses only some of the helpers.
#![allow(dead_code)]

pub mod disk_stalls;
pub mod fleet;

use pinetrestle_faultnet::{Fault, Proxy};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Reserves `count` free ports from `base` on by binding them; dropping a listener frees its port.
///
/// All ports are below the range from which the kernel chooses for port 0. The fault proxies bind port 0, so
/// a proxy of another seed that runs at the same time can't take a port between its release here and its use
/// by the process under test.
pub fn reserve_ports(base: u64, count: usize) -> Vec<(TcpListener, SocketAddr)> {
    let mut found = Vec::new();
    let mut port = base;
    while found.len() < count && port < 32_700 {
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            let addr = listener.local_addr().unwrap();
            found.push((listener, addr));
        }
        port += 1;
    }
    assert_eq!(found.len(), count, "not enough free ports from {base} on");
    found
}

/// Returns the path of the front node program, which lies beside the program of this crate.
///
/// Cargo doesn't build the front node when the tests of this crate run alone; it is built here in that case.
pub fn front_node_program() -> PathBuf {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM
        .get_or_init(|| {
            let path = Path::new(env!("CARGO_BIN_EXE_pinetrestle")).with_file_name("pinetrestle-node");
            if !path.exists() {
                let mut build = std::process::Command::new(env!("CARGO"));
                build.args(["build", "--locked", "-p", "pinetrestle-node"]);
                if !cfg!(debug_assertions) {
                    build.arg("--release");
                }
                assert!(build.status().unwrap().success(), "building pinetrestle-node failed");
            }
            path
        })
        .clone()
}

/// Sends a signal to a process with `kill`, and returns true if that succeeded. `signal` is an option of
/// `kill`, for example `-STOP`.
pub fn send_signal(pid: u32, signal: &str) -> bool {
    Command::new("kill").args([signal, &pid.to_string()]).status().is_ok_and(|s| s.success())
}

/// Fault proxies between members: one for each pair of sender and receiver, which are its key.
pub struct ProxyMesh(BTreeMap<(u64, u64), Proxy>);

impl ProxyMesh {
    /// Returns a mesh without proxies: members connect to each other directly.
    pub fn none() -> ProxyMesh {
        ProxyMesh(BTreeMap::new())
    }

    /// Starts a proxy for each direction between each two of the members at `addrs`.
    pub async fn start(addrs: &BTreeMap<u64, SocketAddr>, seed: u64) -> ProxyMesh {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let mut proxies = BTreeMap::new();
        for &from in addrs.keys() {
            for (&to, &target) in addrs.iter().filter(|(to, _)| **to != from) {
                let name = format!("{from}->{to}");
                let listen = "127.0.0.1:0".parse().unwrap();
                let seed = seed ^ (from << 8 | to);
                let proxy = Proxy::start(&name, listen, target, seed, log.clone()).await.unwrap();
                proxies.insert((from, to), proxy);
            }
        }
        ProxyMesh(proxies)
    }

    /// Sets `fault` on each link for whose sender and receiver `is_affected` returns true.
    pub fn set_fault(&self, is_affected: impl Fn(u64, u64) -> bool, fault: Fault) {
        for (&(from, to), proxy) in &self.0 {
            if is_affected(from, to) {
                proxy.set_fault(fault);
            }
        }
    }

    /// Returns the `peers` and `dial` keys of the configuration file of member `from`: the addresses of all
    /// members, and those of the proxies through which it connects to them.
    pub fn peer_keys(&self, addrs: &BTreeMap<u64, SocketAddr>, from: u64) -> String {
        let peers: Vec<String> =
            addrs.iter().map(|(id, addr)| format!("{{ id: {id}, addr: \"{addr}\" }}")).collect();
        let dial: Vec<String> = addrs
            .keys()
            .filter_map(|&to| Some((to, self.0.get(&(from, to))?)))
            .map(|(to, proxy)| format!("{{ id: {to}, addr: \"{}\" }}", proxy.addr()))
            .collect();
        format!("peers: [{}], dial: [{}]", peers.join(", "), dial.join(", "))
    }
}

/// Runs `run` for the seeds from 0 on, `at_once` of them at a time, each on its own thread and runtime.
/// Returns each seed with its result.
///
/// The number of seeds is the value of the environment variable `variable`, or `default` if it isn't set to a
/// number. If one seed panics, the panic is resumed only after all seeds that run beside it have ended, so
/// that these stop their processes.
pub fn run_seeds<R, F>(
    variable: &str,
    default: u64,
    at_once: u64,
    run: impl Fn(u64) -> F + Copy + Send + 'static,
) -> Vec<(u64, R)>
where
    R: Send + 'static,
    F: std::future::Future<Output = R>,
{
    let seeds = std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default);
    let mut reports = Vec::new();
    let mut first = 0;
    while first < seeds {
        let threads: Vec<_> = (first..seeds.min(first + at_once))
            .map(|seed| std::thread::spawn(move || (seed, multi_thread_runtime().block_on(run(seed)))))
            .collect();
        first += at_once;
        let results: Vec<_> = threads.into_iter().map(|thread| thread.join()).collect();
        for result in results {
            reports.push(result.unwrap_or_else(|panic| std::panic::resume_unwind(panic)));
        }
    }
    reports
}

/// Returns a runtime with two worker threads.
pub fn multi_thread_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}
