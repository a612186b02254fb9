//! The loop that keeps the configuration in effect up to date.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::{State, fetch};
use crate::peer::{Hint, Network, Reply, Request};
use crate::platform;
use crate::resource::{Catalog, Id, Resource, is_name};

/// Members asked at a time when the platform cannot be reached.
const PULL_MEMBERS: usize = 3;
/// Time for one pull from a peer; a silent peer must not use up the 6 s that a change may take.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A poll is made after this part of the period up to the whole of it, so that nodes that were
/// started together do not poll together.
const JITTER: f64 = 0.8;

/// Keeps the configuration in effect up to date for as long as it is polled.
///
/// Polls the platform about every `period`. A hint makes the loop pull from the peer that gave it,
/// so that not every node reads the whole table at each change; only when that fails is the
/// platform read. When the platform cannot be reached, several members are asked instead.
pub async fn run(
    state: Arc<State>,
    client: platform::Client,
    network: Arc<Network>,
    period: Duration,
    random_seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(random_seed);
    let mut hints = network.take_hints();
    let mut next_poll = Instant::now();
    loop {
        tokio::select! {
            hint = next_hint(&mut hints) => follow_hint(&state, &client, &network, hint).await,
            // Whoever committed through this node reads the change back here.
            () = state.stale.notified() => poll(&state, &client, &network).await,
            () = time::sleep_until(next_poll) => {
                poll(&state, &client, &network).await;
                next_poll = Instant::now() + period.mul_f64(rng.random_range(JITTER..=1.0));
            }
        }
    }
}

async fn next_hint(hints: &mut Option<mpsc::Receiver<Hint>>) -> Hint {
    if let Some(receiver) = hints
        && let Some(hint) = receiver.recv().await
    {
        return hint;
    }
    future::pending().await
}

async fn follow_hint(state: &State, client: &platform::Client, network: &Network, hint: Hint) {
    if hint.revision <= state.current().revision {
        return;
    }
    if let Some(catalog) = pull(state, network, hint.address).await {
        apply(state, catalog, "peer");
    }
    if hint.revision > state.current().revision {
        poll(state, client, network).await;
    }
}

async fn poll(state: &State, client: &platform::Client, network: &Network) {
    match fetch(client, state.current().revision).await {
        Ok(Some(catalog)) => apply(state, catalog, "platform"),
        Ok(None) => {}
        Err(failure) => {
            log::debug!("revision: {failure}; asking peers");
            pull_from_members(state, network).await;
        }
    }
}

/// Asks several members at once and takes the highest revision.
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
            log::warn!("revision: {address} sent no acceptable configuration");
            None
        }
        Err(error) => {
            log::debug!("revision: no configuration from {address}: {error}");
            None
        }
    }
}

/// Tells whether a catalog from a peer is newer and well-formed.
pub fn is_acceptable(catalog: &Catalog, known: u64) -> bool {
    let well_formed =
        |(id, resource): (&Id, &Resource)| is_name(&id.name) && id.kind == resource.spec.kind();
    catalog.revision > known && catalog.resources.iter().all(well_formed)
}

fn apply(state: &State, catalog: Catalog, source: &str) {
    let revision = catalog.revision;
    if state.apply(catalog) {
        log::info!("revision: {revision} from a {source} is in effect");
    }
}
