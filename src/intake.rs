//! Memory and connections that uncontrolled callers and endpoints can make a process hold.
//!
//! One account per process is charged for request bodies and buffered responses before their bytes are held; see
//! `docs/design/uncontrolled-callers.md`.

pub mod account;
pub mod connections;
pub mod ledger;
pub mod tracked;

/// Part of the memory that bodies and buffered responses may take, in percent. The rest is for the program itself
/// (about 15 MB), the heads of connections, and what the allocator can't return.
const BODY_PERCENT: u64 = 40;
/// Part of the memory that the connections may take for their heads, in percent.
const HEAD_PERCENT: u64 = 30;
/// Part of the descriptors kept for files, endpoints, peers and the platform, in percent; on the smallest VM 1,025 of
/// 4,100, for 200 files and 820 endpoints.
const RESERVED_DESCRIPTORS_PERCENT: u64 = 25;

/// Memory and descriptors that a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resources {
    pub memory: u64,
    pub descriptors: u64,
}

impl Resources {
    /// Returns what the settings state, else what the VM and the process's own limits allow.
    pub fn find(memory: Option<u64>, descriptors: Option<u64>) -> Resources {
        let limits = ["Max data size", "Max address space"].into_iter().filter_map(soft_limit);
        let found = limits.chain(memory_of_vm()).min().unwrap_or(u64::MAX >> 8);
        let open = soft_limit("Max open files").unwrap_or(1_024);
        Resources {
            memory: memory.unwrap_or(found),
            // A process can't open more than its own limit, whatever the settings state.
            descriptors: descriptors.map_or(open, |stated| stated.min(open)),
        }
    }

    /// Returns the bytes that bodies and buffered responses may take.
    pub fn body_bytes(&self) -> usize {
        usize::try_from(self.memory / 100 * BODY_PERCENT).unwrap_or(usize::MAX)
    }

    /// Returns how many connections of callers may be open, each with a head of up to `head_bytes`.
    pub fn connections(&self, head_bytes: usize) -> usize {
        let descriptors = self.descriptors * (100 - RESERVED_DESCRIPTORS_PERCENT) / 100;
        let heads = self.memory / 100 * HEAD_PERCENT / (head_bytes.max(1) as u64);
        usize::try_from(descriptors.min(heads)).unwrap_or(usize::MAX).max(1)
    }
}

/// Returns the soft limit of a resource of this process, by its name in `/proc/self/limits`; `None` if there is none.
fn soft_limit(name: &str) -> Option<u64> {
    let text = read("/proc/self/limits")?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the memory of this VM in bytes.
fn memory_of_vm() -> Option<u64> {
    let text = read("/proc/meminfo")?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    total.trim().trim_end_matches("kB").trim().parse::<u64>().ok().map(|total| total << 10)
}

fn read(path: &str) -> Option<String> {
    std::fs::read_to_string(path)
        .inspect_err(|error| {
            log::warn!("intake: event=limits_unreadable path={path} error=\"{error}\"");
        })
        .ok()
}
