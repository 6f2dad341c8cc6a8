//! Shared by the tests with several processes: ports, the proxies between members, runs of many seeds.
#![allow(dead_code)]

pub mod disk_stalls;
pub mod fleet;

use pinetrestle_faultnet::{Fault, Proxy};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Binds free ports from `base` on, until dropped: below the kernel's range for port 0 (where the proxies bind), so that
/// no proxy of a seed run beside this one takes a port between its check and its use.
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
    assert_eq!(found.len(), count, "no free ports from {base}");
    found
}

/// The front node's program, beside this crate's own; built here if the tests of this crate run alone.
pub fn node_program() -> PathBuf {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT
        .get_or_init(|| {
            let path = Path::new(env!("CARGO_BIN_EXE_pinetrestle")).with_file_name("pinetrestle-node");
            if !path.exists() {
                let mut build = std::process::Command::new(env!("CARGO"));
                build.args(["build", "--locked", "-p", "pinetrestle-node"]);
                if !cfg!(debug_assertions) {
                    build.arg("--release");
                }
                assert!(build.status().unwrap().success(), "the front node builds");
            }
            path
        })
        .clone()
}

/// Sends a process a signal, as `-STOP`.
pub fn send_signal(pid: u32, name: &str) -> bool {
    Command::new("kill").args([name, &pid.to_string()]).status().is_ok_and(|s| s.success())
}

/// A fault proxy for each direction between each two members, by sender and receiver.
pub struct ProxyMesh(BTreeMap<(u64, u64), Proxy>);

impl ProxyMesh {
    /// No proxies: members dial each other directly.
    pub fn none() -> ProxyMesh {
        ProxyMesh(BTreeMap::new())
    }

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

    /// Sets `fault` on the links for which `is_cut` holds.
    pub fn set_fault(&self, is_cut: impl Fn(u64, u64) -> bool, fault: Fault) {
        for (&(from, to), proxy) in &self.0 {
            if is_cut(from, to) {
                proxy.set_fault(fault);
            }
        }
    }

    /// The `peers` and `dial` keys of member `from`'s file.
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

/// Runs seeds `0..default`, or as many as the environment variable says, `at_once` at a time, each on a runtime of its
/// own. All of a round are waited for before the panic of one is resumed, so that it leaves no processes of the others
/// behind.
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

/// A runtime with two worker threads.
pub fn multi_thread_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}
