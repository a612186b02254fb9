//! Offer sheet: prices, measured throughput and floors, which operators keep in the object store.
//!
//! The platform's protocol has no prices, so operators or their price feed write the sheet. Its
//! format is described in `docs/cost.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::planner::Settings;
use super::{Machine, Offer, Placement, Requirement, vms_for_demand};
use crate::document::{self, Mistake, Reader};
use crate::resource::{Catalog, Id, Kind, Spec};

/// Key of the sheet in the object store.
pub const OBJECT_KEY: &str = "capacity/offers";

/// Unit in which the throughput of a VM is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    Requests,
    Tokens,
}

/// Throughput and offers of one pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    pub name: Arc<str>,
    pub unit: Unit,
    /// Measured throughput of one VM at the latency target, per second.
    pub per_vm: f64,
    pub offers: Vec<Offer>,
}

/// A validated offer sheet.
#[derive(Debug, Clone, PartialEq)]
pub struct Sheet {
    pub planner_settings: Settings,
    /// Fraction of the time in which demand stays below the planned one, bursts excluded.
    pub quantile: f64,
    /// Time from a decision to a warm VM.
    pub lead: Duration,
    /// Time after its first answer at which a listed VM counts as warm.
    pub warm_up: Duration,
    /// Minimum number of VMs by service.
    pub floors: BTreeMap<Arc<str>, u32>,
    pub pools: Vec<Pool>,
}

impl Sheet {
    /// Parses and validates a sheet; returns every mistake found as the error.
    pub fn parse(text: &str) -> Result<Sheet, Vec<Mistake>> {
        document::read(OBJECT_KEY, text, |reader| Sheet {
            planner_settings: Settings {
                starts_per_hour: reader.number("starts_per_hour", 0.1..=1e6, Some(60.0)),
                starts_at_once: reader.number("starts_at_once", 1..=10_000, Some(10)),
                drain_settle: read_seconds(reader, "drain_settle_s", 30),
                drain_limit: read_seconds(reader, "drain_limit_s", 900),
                start_limit: read_seconds(reader, "start_limit_s", 1_200),
                may_drain: true,
            },
            quantile: reader.number("quantile", 0.5..=1.0, Some(0.98)),
            lead: read_seconds(reader, "lead_s", 900),
            warm_up: read_seconds(reader, "warm_s", 60),
            floors: reader.objects("floors", read_floor).into_iter().collect(),
            pools: reader.objects("pools", read_pool),
        })
    }

    /// Returns the sum of the prices of the VMs; VMs without an offer count as free.
    pub fn cost_per_hour(&self, vms: &[Machine]) -> f64 {
        let offers: BTreeMap<&Placement, f64> = self
            .pools
            .iter()
            .flat_map(|pool| &pool.offers)
            .map(|offer| (&offer.placement, offer.price))
            .collect();
        vms.iter().filter_map(|vm| offers.get(&vm.placement)).sum()
    }

    /// Returns the requirements of the pools that are both in the catalog and in the sheet.
    ///
    /// `planned_demand` returns the demand per second of a service to plan for. While a move is
    /// open, the pools of both versions get the whole demand: the traffic may return to the old
    /// version at any time, and the share of the new one can rise faster than VMs start.
    pub fn requirements(
        &self,
        catalog: &Catalog,
        planned_demand: impl Fn(&Arc<str>, Unit) -> f64,
    ) -> Vec<Requirement> {
        let known = self.pools.iter().filter(|pool| catalog.pool(&pool.name).is_some());
        known
            .map(|pool| {
                let (mut demand, mut floor, mut is_in_move) = (0.0, 0, false);
                for (id, versions) in versions(catalog) {
                    let in_pool = |version: &Arc<str>| {
                        catalog.version(version).is_some_and(|found| found.pool == pool.name)
                    };
                    if versions.iter().any(in_pool) {
                        demand += planned_demand(&id.name, pool.unit);
                        floor += self.floors.get(&id.name).copied().unwrap_or(0);
                        is_in_move |= versions.len() > 1;
                    }
                }
                Requirement {
                    pool: pool.name.clone(),
                    vms: vms_for_demand(demand, pool.per_vm).max(floor),
                    min_vms: floor.max(u32::from(is_in_move)),
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
        let mut versions: Vec<Arc<str>> = catalog.serving_version(&id.name).into_iter().collect();
        for (_, spec, _) in catalog.open_moves(&id.name) {
            versions.extend([spec.from.clone(), spec.to.clone()]);
        }
        versions.sort();
        versions.dedup();
        (id, versions)
    })
}

fn read_seconds(reader: &mut Reader<'_>, name: &'static str, default: u64) -> Duration {
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
    let placement = Placement {
        pool: pool.clone(),
        failure_domain: reader.text("failure_domain"),
        class: reader.text("class"),
        reclaimable: reader.flag("reclaimable", false),
    };
    let price = reader.number("price", 0.0..=1e9, None);
    Offer { placement, price, max_vms: reader.number("limit", 0..=100_000, Some(1_000)) }
}
