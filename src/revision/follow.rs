//! The loop that fetches new configurations from the platform and from peers.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use futures_util::future;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::{State, fetch};
use crate::peer::{Announcement, Network, Reply, Request};
use crate::platform;
use crate::resource::{Catalog, Id, Resource, is_name};

/// Number of members that are asked at once when the platform is unreachable.
const PULL_MEMBERS: usize = 3;
/// Timeout of one pull from a peer; an unresponsive peer must not use up the 6 s within which a
/// change must take effect.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Shortest delay between polls as a fraction of the period. The delay is random between this and
/// the whole period, so that nodes started together do not poll together.
const MIN_PERIOD_FRACTION: f64 = 0.8;

/// Keeps the configuration in effect up to date; never returns.
///
/// Polls the platform about every `period`. On an announcement it pulls from the peer that sent it,
/// so that not every node reads the whole table at each change, and reads the platform only if that
/// fails. When the platform is unreachable, it asks several members instead.
pub async fn run(
    state: Arc<State>,
    client: platform::Client,
    network: Arc<Network>,
    period: Duration,
    random_seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(random_seed);
    let mut announcements = network.take_announcements();
    let mut next_poll = Instant::now();
    loop {
        tokio::select! {
            announcement = next_announcement(&mut announcements) =>
                handle_announcement(&state, &client, &network, announcement).await,
            // Makes a change that was committed through this node take effect here at once.
            () = state.fetch_requested.notified() => poll(&state, &client, &network).await,
            () = time::sleep_until(next_poll) => {
                poll(&state, &client, &network).await;
                next_poll =
                    Instant::now() + period.mul_f64(rng.random_range(MIN_PERIOD_FRACTION..=1.0));
            }
        }
    }
}

async fn next_announcement(
    announcements: &mut Option<mpsc::Receiver<Announcement>>,
) -> Announcement {
    if let Some(receiver) = announcements
        && let Some(announcement) = receiver.recv().await
    {
        return announcement;
    }
    future::pending().await
}

async fn handle_announcement(
    state: &State,
    client: &platform::Client,
    network: &Network,
    announcement: Announcement,
) {
    if announcement.revision <= state.current().revision {
        return;
    }
    if let Some(catalog) = pull(state, network, announcement.address).await {
        apply(state, catalog, "peer");
    }
    if announcement.revision > state.current().revision {
        poll(state, client, network).await;
    }
}

async fn poll(state: &State, client: &platform::Client, network: &Network) {
    let fetched = fetch(client, state.current().revision).await;
    log_failure(state, fetched.as_ref().err());
    match fetched {
        Ok(Some(catalog)) => apply(state, catalog, "platform"),
        Ok(None) => {}
        Err(_) => pull_from_members(state, network).await,
    }
}

/// Logs a failure of the platform unless it was the last one too.
fn log_failure(state: &State, failure: Option<&platform::Failure>) {
    let mut last = state.last_failure.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(failure) = failure.filter(|failure| last.as_ref() != Some(failure)) {
        log::warn!("revision: cannot read the platform, asking peers: {failure}");
    }
    *last = failure.cloned();
}

/// Asks several members concurrently and applies the catalog with the highest revision.
async fn pull_from_members(state: &State, network: &Network) {
    let members = network.sample(PULL_MEMBERS);
    let pulls = members.iter().map(|member| pull(state, network, member.address));
    let catalogs = future::join_all(pulls).await;
    if let Some(catalog) = catalogs.into_iter().flatten().max_by_key(|catalog| catalog.revision) {
        apply(state, catalog, "peer");
    }
}

async fn pull(state: &State, network: &Network, address: SocketAddr) -> Option<Catalog> {
    let known = state.current().revision;
    match network.request(address, Request::PullConfig { known }, PULL_TIMEOUT).await {
        Ok(Reply::Config(Some(catalog))) if is_acceptable(&catalog, known) => Some(catalog),
        Ok(Reply::Config(None)) => None,
        Ok(_) => {
            log::warn!("revision: {address} sent an invalid reply or configuration");
            None
        }
        Err(error) => {
            log::debug!("revision: no configuration from {address}: {error}");
            None
        }
    }
}

/// Reports whether a catalog from a peer has a revision above `known`, valid names and matching
/// kinds.
pub fn is_acceptable(catalog: &Catalog, known: u64) -> bool {
    let is_well_formed =
        |(id, resource): (&Id, &Resource)| is_name(&id.name) && id.kind == resource.spec.kind();
    catalog.revision > known && catalog.resources.iter().all(is_well_formed)
}

fn apply(state: &State, catalog: Catalog, source: &str) {
    let revision = catalog.revision;
    if state.apply(catalog) {
        log::info!("revision: {revision} from a {source} is in effect");
    }
}
