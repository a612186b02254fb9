//! Measures what daemons cost as nodes and endpoints grow, and works out the design size from it.
//!
//! Usage: `cargo run --release --example capacity [-- --quick]`. The program executes itself as the
//! daemons and as the platform stand-in. Results are explained in `docs/CAPACITY.md`.

#[path = "capacity/cluster.rs"]
mod cluster;
#[path = "capacity/fit.rs"]
mod fit;

use std::io;
use std::path::Path;
use std::time::Duration;

use argh::FromArgs;
use cluster::{Cluster, Sample};
use fit::{Plane, Point};
use jiff::Timestamp;
use pomelolink::{config, daemon};
use standin::command;
use standin::fleet::Programs;

/// Worker threads of each daemon; entry VMs of the control plane's size have two cores to spare.
const DAEMON_THREADS: usize = 2;
const OTHER_THREADS: usize = 4;
/// Endpoints listed while the node count varies, and nodes while the endpoint count varies.
const FIXED_ENDPOINTS: usize = 50;
const FIXED_NODES: usize = 20;
/// Time after a start until the news of joining members are no longer passed on.
const JOIN_SETTLE: Duration = Duration::from_secs(8);
/// Time after a new list until all nodes have read it.
const SETTLE: Duration = Duration::from_secs(3);
const CHANGE_PERIOD: Duration = Duration::from_secs(3);
/// A change that is in effect later than this is reported as missing.
const CHANGE_WAIT: Duration = Duration::from_secs(6);
/// Changes a second at the design size: 1,100 a day.
const DESIGN_CHANGES: f64 = 1_100.0 / 86_400.0;
const DESIGN_NODES: f64 = 330.0;
/// Readings of the VM list per node and second from 134 nodes on, where its period is longest.
const DESIGN_LIST_RATE: f64 = 0.5;
/// Listed VMs at the design size: 820 workers with 6,500 accelerators, each worker one endpoint, and
/// the entry VMs.
const DESIGN_LISTED: f64 = 820.0 + 330.0;

/// Measures the control plane with real processes.
#[derive(Debug, FromArgs)]
struct Args {
    /// fewer sizes and shorter windows; about a minute
    #[argh(switch)]
    quick: bool,
}

/// Says what is measured.
#[derive(Debug, Clone, Copy)]
struct Plan {
    nodes: &'static [usize],
    endpoints: &'static [usize],
    window: Duration,
    changes: usize,
}

const FULL: Plan = Plan {
    nodes: &[5, 20, 60, 120],
    endpoints: &[10, 200, 800],
    window: Duration::from_secs(10),
    changes: 4,
};
const QUICK: Plan =
    Plan { nodes: &[5, 20], endpoints: &[10, 400], window: Duration::from_secs(5), changes: 2 };

/// Holds rates per node, or in total for the platform, of one window.
#[derive(Debug, Clone, Copy)]
struct Row {
    nodes: usize,
    endpoints: usize,
    changes: usize,
    /// Percent of one core, per node.
    processor: f64,
    memory_mb: f64,
    sent: f64,
    received: f64,
    platform_bytes: f64,
    table_reads: f64,
    lists: f64,
    notices: f64,
    writes: f64,
    /// Seconds until the slowest node had the slowest change in effect.
    slowest: Option<f64>,
    /// Length of the window in seconds.
    length: f64,
}

fn main() -> io::Result<()> {
    let args: Vec<String> = std::env::args().collect();
    let rest: Vec<&str> = args.iter().skip(2).map(String::as_str).collect();
    match args.get(1).map(String::as_str) {
        Some("daemon") => run_daemon(Path::new(rest.first().copied().unwrap_or_default())),
        Some("standin") => {
            let arguments = command::Arguments::from_args(&["standin"], &rest);
            let arguments = arguments.map_err(|exit| io::Error::other(exit.output))?;
            runtime(OTHER_THREADS)?.block_on(command::execute(arguments))
        }
        _ => {
            let args: Args = argh::from_env();
            runtime(OTHER_THREADS)?.block_on(measure(if args.quick { &QUICK } else { &FULL }))
        }
    }
}

fn runtime(threads: usize) -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()
}

fn run_daemon(file: &Path) -> io::Result<()> {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env).format_timestamp_micros().init();
    let settings = config::Settings::load(file);
    let settings = settings.map_err(|mistakes| io::Error::other(format!("{mistakes:?}")))?;
    runtime(DAEMON_THREADS)?.block_on(daemon::run(settings))
}

async fn measure(plan: &Plan) -> io::Result<()> {
    println!("Each row is one window; loopback and shared cores add noise, see the residuals.");
    println!(
        "nodes endpoints changes | core %/node  MB/node  peer B/s out     in  platform B/s/node | \
         table reads/s notices/s  lists/s  writes/s | slowest change s"
    );
    let mut rows = Vec::new();
    for &nodes in plan.nodes {
        // A size that can't be measured on a busy machine must not hide the others.
        if let Err(error) = measure_size(plan, nodes, &mut rows).await {
            println!("{nodes:5} nodes: stopped: {error}");
        }
    }
    report(&rows);
    Ok(())
}

async fn measure_size(plan: &Plan, nodes: usize, rows: &mut Vec<Row>) -> io::Result<()> {
    let cluster = Cluster::start(programs()?, nodes).await?;
    tokio::time::sleep(JOIN_SETTLE).await;
    let counts: &[usize] = if nodes == FIXED_NODES { plan.endpoints } else { &[] };
    for &endpoints in counts.iter().chain([&FIXED_ENDPOINTS]) {
        cluster.list(endpoints).await?;
        tokio::time::sleep(SETTLE).await;
        rows.push(idle(&cluster, plan, nodes, endpoints).await?);
    }
    rows.push(changing(&cluster, plan, nodes).await?);
    Ok(())
}

fn programs() -> io::Result<Programs> {
    let me = std::env::current_exe()?.display().to_string();
    Ok(Programs {
        daemon: vec![me.clone(), "daemon".to_owned()],
        standin: vec![me, "standin".to_owned()],
    })
}

async fn idle(cluster: &Cluster, plan: &Plan, nodes: usize, endpoints: usize) -> io::Result<Row> {
    let before = cluster.sample(true).await?;
    tokio::time::sleep(plan.window).await;
    let after = cluster.sample(false).await?;
    let row = Row::new((nodes, endpoints, 0), plan.window.as_secs_f64(), before, after);
    row.print();
    Ok(row)
}

async fn changing(cluster: &Cluster, plan: &Plan, nodes: usize) -> io::Result<Row> {
    let before = cluster.sample(true).await?;
    let began = tokio::time::Instant::now();
    let mut written = Vec::new();
    for number in 1..=plan.changes {
        let revision = cluster.change(number).await?;
        written.push((revision, Timestamp::now()));
        tokio::time::sleep_until(began + CHANGE_PERIOD * number as u32).await;
    }
    let length = began.elapsed().as_secs_f64();
    let after = cluster.sample(false).await?;
    tokio::time::sleep(CHANGE_WAIT - CHANGE_PERIOD).await;
    let mut row = Row::new((nodes, FIXED_ENDPOINTS, plan.changes), length, before, after);
    let times: Option<Vec<f64>> =
        written.iter().map(|&(revision, at)| cluster.spread(revision, at)).collect();
    row.slowest = times.map(|times| times.into_iter().fold(0.0, f64::max));
    row.print();
    Ok(row)
}

impl Row {
    fn new(size: (usize, usize, usize), length: f64, before: Sample, after: Sample) -> Row {
        let (nodes, endpoints, changes) = size;
        let total = |value: fn(&Sample) -> f64| (value(&after) - value(&before)) / length;
        let each = |value: fn(&Sample) -> f64| total(value) / nodes as f64;
        Row {
            nodes,
            endpoints,
            changes,
            processor: 100.0 * each(|sample| sample.processor_s),
            memory_mb: after.memory_bytes / nodes as f64 / 1e6,
            sent: each(|sample| sample.sent),
            received: each(|sample| sample.received),
            platform_bytes: total(|sample| sample.platform_bytes),
            table_reads: total(|sample| sample.table_reads),
            lists: total(|sample| sample.lists),
            notices: total(|sample| sample.notices),
            writes: total(|sample| sample.writes),
            slowest: None,
            length,
        }
    }

    fn print(&self) {
        let slowest = match (self.changes, self.slowest) {
            (0, _) => "-".to_owned(),
            (_, Some(seconds)) => format!("{seconds:.2}"),
            (_, None) => "missing".to_owned(),
        };
        println!(
            "{:5} {:9} {:7} | {:11.3} {:8.2} {:13.0} {:6.0} {:18.0} | {:13.1} {:9.1} {:9.1} {:9.1} | {slowest}",
            self.nodes,
            self.endpoints,
            self.changes,
            self.processor,
            self.memory_mb,
            self.sent,
            self.received,
            self.platform_bytes,
            self.table_reads,
            self.notices,
            self.lists,
            self.writes,
        );
    }
}

type Value = fn(&Row) -> f64;

/// One quantity, what it depends on besides the nodes, and its budget.
struct Quantity {
    name: &'static str,
    value: Value,
    other: Value,
    design_other: f64,
    budget: f64,
}

impl Quantity {
    /// Depends on the VMs that a node reads each second, which the period of the list bounds.
    const fn by_listing(name: &'static str, value: Value, budget: f64) -> Quantity {
        Quantity {
            name,
            value,
            other: Row::listed_per_second,
            design_other: DESIGN_LISTED * DESIGN_LIST_RATE,
            budget,
        }
    }

    /// Depends on the VMs that are listed.
    const fn by_list(name: &'static str, value: Value, budget: f64) -> Quantity {
        let other: Value = |row| row.endpoints as f64;
        Quantity { name, value, other, design_other: DESIGN_LISTED, budget }
    }
}

const QUANTITIES: [Quantity; 8] = [
    Quantity::by_listing("processor, % of a core per node", |row| row.processor, 1.2),
    Quantity::by_list("resident memory, MB per node", |row| row.memory_mb, 32.0),
    Quantity::by_list("peer bytes sent/s per node", |row| row.sent, 2_000.0),
    Quantity::by_list("peer bytes received/s per node", |row| row.received, 2_000.0),
    Quantity::by_listing("platform bytes/s per node", |row| row.platform_bytes, 2_000.0),
    Quantity::by_list("table and object reads/s", |row| row.table_reads, 2_000.0),
    Quantity::by_list("notice reads/s", |row| row.notices, 2_000.0),
    Quantity::by_list("writes/s", |row| row.writes, 300.0),
];

fn report(rows: &[Row]) {
    println!(
        "\nIdle, least squares over nodes and VMs; design size: {DESIGN_NODES} nodes, \
         {DESIGN_LISTED} listed VMs (820 workers with 6,500 accelerators, 330 entry VMs)"
    );
    println!(
        "(\"per VM\" is per listed VM; for processor and platform bytes, per VM read each second)"
    );
    println!(
        "{:33} {:>10} {:>10} {:>12} {:>9} {:>11} {:>8}",
        "quantity", "intercept", "per node", "per VM", "residual", "design size", "budget"
    );
    let idle: Vec<&Row> = rows.iter().filter(|row| row.changes == 0).collect();
    for quantity in &QUANTITIES {
        let points: Vec<Point> = idle
            .iter()
            .map(|row| Point {
                endpoints: (quantity.other)(row),
                ..row.point((quantity.value)(row))
            })
            .collect();
        let plane = Plane::fit(&points);
        let design = plane.at(DESIGN_NODES, quantity.design_other);
        print_plane(quantity.name, &plane, design, quantity.budget);
    }
    if let Some(largest) = idle.iter().max_by_key(|row| row.nodes) {
        let each = largest.lists / largest.nodes as f64;
        println!(
            "VM list reads/s: {each:.2} per node at {} nodes; at most {DESIGN_LIST_RATE} per node at \
             the design size, {:.0} in all",
            largest.nodes,
            DESIGN_NODES * DESIGN_LIST_RATE
        );
    }
    report_changes(rows, &idle);
}

/// Takes the cost of a change as the difference from the idle window of the same size.
fn report_changes(rows: &[Row], idle: &[&Row]) {
    println!(
        "\nAdded by one configuration change, least squares over nodes ({FIXED_ENDPOINTS} endpoints)"
    );
    println!("(\"design size\" is per change; the last column is its mean rate at 1,100 a day)");
    let changing: Vec<&Row> = rows.iter().filter(|row| row.changes > 0).collect();
    let added: [(&str, Value); 5] = [
        ("processor, core ms per node", |row| row.processor * 10.0),
        ("peer bytes sent per node", |row| row.sent),
        ("table and object reads, total", |row| row.table_reads),
        ("writes, total", |row| row.writes),
        ("platform bytes per node", |row| row.platform_bytes),
    ];
    for (name, value) in added {
        let points = changing.iter().filter_map(|row| {
            let same = |other: &&&Row| other.nodes == row.nodes && other.endpoints == row.endpoints;
            let base = idle.iter().find(same)?;
            let per_change = (value(row) - value(base)) * row.length / row.changes as f64;
            Some(row.point(per_change))
        });
        let plane = Plane::fit(&points.collect::<Vec<_>>());
        let design = plane.at(DESIGN_NODES, FIXED_ENDPOINTS as f64);
        print_plane(name, &plane, design, design * DESIGN_CHANGES);
    }
    let points = changing.iter().filter_map(|row| Some(row.log_point(row.slowest?)));
    let plane = Plane::fit(&points.collect::<Vec<_>>());
    println!(
        "\nSlowest of the changes, seconds until in effect on all nodes, over log2 of the nodes"
    );
    print_plane("slowest change, s", &plane, plane.at(DESIGN_NODES.log2(), 0.0), 6.0);
}

impl Row {
    fn point(&self, value: f64) -> Point {
        Point { nodes: self.nodes as f64, endpoints: self.endpoints as f64, value }
    }

    fn listed_per_second(&self) -> f64 {
        self.endpoints as f64 * self.lists / self.nodes as f64
    }

    fn log_point(&self, value: f64) -> Point {
        Point { nodes: (self.nodes as f64).log2(), endpoints: 0.0, value }
    }
}

fn print_plane(name: &str, plane: &Plane, design: f64, last: f64) {
    println!(
        "{name:33} {:10.4} {:10.5} {:12.5} {:9.4} {design:11.3} {last:8.1}",
        plane.intercept, plane.per_node, plane.per_endpoint, plane.residual
    );
}
