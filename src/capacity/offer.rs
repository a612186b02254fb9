//! Offer sheet: prices, measured throughput and floors, which operators keep in the object store.
//!
//! The platform's protocol has no prices, so operators or their price feed write the sheet. It is
//! described in `docs/cost.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::planner::Settings;
use super::{Machine, Need, Offer, Place, vms_for};
use crate::document::{self, Mistake, Reader};
use crate::resource::{Catalog, Id, Kind, Spec};

/// Key of the sheet in the object store.
pub const KEY: &str = "capacity/offers";

/// Selects what the throughput of a VM is counted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    Requests,
    Tokens,
}

/// Holds the offers for one pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    pub name: Arc<str>,
    pub unit: Unit,
    /// Measured throughput of one VM at the latency target, per second.
    pub per_vm: f64,
    pub offers: Vec<Offer>,
}

/// Holds a checked offer sheet.
#[derive(Debug, Clone, PartialEq)]
pub struct Sheet {
    pub planner: Settings,
    /// Part of the time in which demand stays below the planned one, without bursts.
    pub quantile: f64,
    /// Time from a decision to a warm VM.
    pub lead: Duration,
    /// Time for which a listed VM must have answered before it counts as warm.
    pub warm: Duration,
    /// Fewest VMs by service.
    pub floors: BTreeMap<Arc<str>, u32>,
    pub pools: Vec<Pool>,
}

impl Sheet {
    /// Reads and checks a sheet; fails with every mistake found.
    pub fn parse(text: &str) -> Result<Sheet, Vec<Mistake>> {
        document::read(KEY, text, |reader| Sheet {
            planner: Settings {
                starts_per_hour: reader.number("starts_per_hour", 0.1..=1e6, Some(60.0)),
                starts_at_once: reader.number("starts_at_once", 1..=10_000, Some(10)),
                drain_settle: seconds(reader, "drain_settle_s", 30),
                drain_limit: seconds(reader, "drain_limit_s", 900),
                start_limit: seconds(reader, "start_limit_s", 1_200),
                may_drain: true,
            },
            quantile: reader.number("quantile", 0.5..=1.0, Some(0.98)),
            lead: seconds(reader, "lead_s", 900),
            warm: seconds(reader, "warm_s", 60),
            floors: reader.objects("floors", read_floor).into_iter().collect(),
            pools: reader.objects("pools", read_pool),
        })
    }

    /// Sums the prices of the VMs; those that no offer covers count as free.
    pub fn cost_per_hour(&self, vms: &[Machine]) -> f64 {
        let offers: BTreeMap<&Place, f64> = self
            .pools
            .iter()
            .flat_map(|pool| &pool.offers)
            .map(|offer| (&offer.place, offer.price))
            .collect();
        vms.iter().filter_map(|vm| offers.get(&vm.place)).sum()
    }

    /// Gives the needs of the pools that the catalog and the sheet know.
    ///
    /// `upper` gives the demand of a service per second to plan for. While a move is open, the
    /// pools of both versions get the whole demand: the old version may take the traffic back at
    /// any time, and the share of the new one can rise faster than VMs start.
    pub fn needs(&self, catalog: &Catalog, upper: impl Fn(&Arc<str>, Unit) -> f64) -> Vec<Need> {
        let known = self.pools.iter().filter(|pool| catalog.pool(&pool.name).is_some());
        known
            .map(|pool| {
                let (mut demand, mut floor, mut in_move) = (0.0, 0, false);
                for (id, versions) in versions(catalog) {
                    let in_pool = |version: &Arc<str>| {
                        catalog.version(version).is_some_and(|found| found.pool == pool.name)
                    };
                    if versions.iter().any(in_pool) {
                        demand += upper(&id.name, pool.unit);
                        floor += self.floors.get(&id.name).copied().unwrap_or(0);
                        in_move |= versions.len() > 1;
                    }
                }
                Need {
                    pool: pool.name.clone(),
                    vms: vms_for(demand, pool.per_vm).max(floor),
                    keep: floor.max(u32::from(in_move)),
                    offers: pool.offers.clone(),
                }
            })
            .collect()
    }
}

/// Lists the versions of each service that receive traffic or may receive it back.
fn versions(catalog: &Catalog) -> impl Iterator<Item = (&Id, Vec<Arc<str>>)> {
    let services = catalog.resources.iter().filter(|(id, _)| id.kind == Kind::Service);
    services.filter(|(_, resource)| matches!(resource.spec, Spec::Service(_))).map(|(id, _)| {
        let mut versions: Vec<Arc<str>> = catalog.serving(&id.name).into_iter().collect();
        for (_, spec, _) in catalog.open_moves(&id.name) {
            versions.extend([spec.from.clone(), spec.to.clone()]);
        }
        versions.sort();
        versions.dedup();
        (id, versions)
    })
}

fn seconds(reader: &mut Reader<'_>, name: &'static str, default: u64) -> Duration {
    Duration::from_secs(reader.number(name, 0..=86_400, Some(default)))
}

fn read_floor(reader: &mut Reader<'_>) -> (Arc<str>, u32) {
    (reader.text("service"), reader.number("vms", 0..=100_000, None))
}

fn read_pool(reader: &mut Reader<'_>) -> Pool {
    let name = reader.text("pool");
    let units = [("requests", Unit::Requests), ("tokens", Unit::Tokens)];
    let unit = reader.choice("unit", &units, None).unwrap_or(Unit::Requests);
    let per_vm = reader.number("per_vm", 1e-3..=1e9, None);
    let offers = reader.objects("offers", |reader| read_offer(reader, &name));
    Pool { name, unit, per_vm, offers }
}

fn read_offer(reader: &mut Reader<'_>, pool: &Arc<str>) -> Offer {
    let place = Place {
        pool: pool.clone(),
        failure_domain: reader.text("failure_domain"),
        class: reader.text("class"),
        reclaimable: reader.flag("reclaimable", false),
    };
    let price = reader.number("price", 0.0..=1e9, None);
    Offer { place, price, limit: reader.number("limit", 0..=100_000, Some(1_000)) }
}
