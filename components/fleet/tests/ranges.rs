//! Bringing followers up to date by ranges that differ.

use std::cell::Cell;
use std::collections::BTreeMap;

use bytes::Bytes;
use chicoryford_fleet::Announcement;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::ranges::RangeCache;
use chicoryford_fleet::ranges::RangeIndex;
use quickcheck::quickcheck;

/// The fleet sizes at which costs are compared.
const SIZES: [usize; 3] = [2_500, 5_000, 10_000];
/// Endpoints of a range at most, on average over all ranges.
const MAX_RANGE_SIZE: usize = 32;

fn endpoint(number: usize, version: u64) -> Endpoint {
    Endpoint {
        announcement: Announcement {
            id: format!("i-{number}"),
            started_ms: 0,
            service: "model".to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "here".to_owned(),
            slots: 6,
            draining: false,
            models: BTreeMap::from([("m".to_owned(), version)]),
            sequence: 1,
        },
        status: EndpointStatus::Ready,
    }
}

/// A leader's endpoints, and how many of them it has encoded.
#[derive(Default)]
struct Leader {
    cache: RangeCache,
    endpoints: BTreeMap<String, Endpoint>,
    encoded: Cell<usize>,
}

impl Leader {
    fn with(endpoints: impl Iterator<Item = Endpoint>) -> Self {
        let mut leader = Self::default();
        endpoints.for_each(|endpoint| leader.insert(endpoint));
        leader
    }

    fn insert(&mut self, endpoint: Endpoint) {
        self.cache.insert(&endpoint);
        self.endpoints.insert(endpoint.announcement.id.clone(), endpoint);
    }

    /// Brings a follower up to date and returns the number of endpoints that it is sent.
    fn bring_up_to_date(&mut self, follower: &mut Follower) -> usize {
        let (all, encoded) = (&self.endpoints, &self.encoded);
        let lacking = self.cache.lacking(&follower.index.digests(), |ids| {
            encoded.set(encoded.get() + ids.len());
            let endpoints: Vec<&Endpoint> = ids.iter().map(|id| &all[*id]).collect();
            rmp_serde::to_vec(&endpoints).unwrap().into()
        });
        let mut sent = 0;
        for content in lacking {
            let endpoints: Vec<Endpoint> = decode(&content.endpoints);
            sent += endpoints.len();
            follower.replace(content.range as usize, content.count as usize, endpoints);
        }
        sent
    }
}

fn decode(bytes: &Bytes) -> Vec<Endpoint> {
    rmp_serde::from_slice(bytes).unwrap()
}

#[derive(Default)]
struct Follower {
    index: RangeIndex,
    endpoints: BTreeMap<String, Endpoint>,
}

impl Follower {
    fn with(endpoints: impl Iterator<Item = Endpoint>) -> Self {
        let mut follower = Self::default();
        endpoints.for_each(|endpoint| follower.insert(endpoint));
        follower
    }

    fn insert(&mut self, endpoint: Endpoint) {
        self.index.insert(&endpoint);
        self.endpoints.insert(endpoint.announcement.id.clone(), endpoint);
    }

    fn replace(&mut self, range: usize, count: usize, endpoints: Vec<Endpoint>) {
        let known: Vec<String> =
            self.index.ids(range, count).into_iter().map(str::to_owned).collect();
        for id in known {
            self.index.remove(&id);
            self.endpoints.remove(&id);
        }
        endpoints.into_iter().for_each(|endpoint| self.insert(endpoint));
    }
}

/// Guards against a leader's work for new followers that grows with the product of endpoints and
/// followers, with which it was silent for longer than they waited for it.
#[test]
fn each_endpoint_is_encoded_once_for_all_followers() {
    for size in SIZES {
        let mut leader = Leader::with((0..size).map(|number| endpoint(number, 1)));
        for _ in 0..size / 1_000 {
            assert_eq!(leader.bring_up_to_date(&mut Follower::default()), size);
        }
        assert_eq!(leader.encoded.get(), size);
    }
}

/// Guards against followers that are told all endpoints again by the next leader.
#[test]
fn a_follower_is_sent_only_the_ranges_that_changed() {
    const CHANGED: usize = 5;
    for size in SIZES {
        let mut leader = Leader::with((0..size).map(|number| endpoint(number, 1)));
        let mut follower = Follower::with((0..size).map(|number| endpoint(number, 1)));
        assert_eq!(leader.bring_up_to_date(&mut follower), 0);
        assert_eq!(leader.encoded.get(), 0);
        (0..CHANGED).for_each(|number| leader.insert(endpoint(number, 2)));
        let sent = leader.bring_up_to_date(&mut follower);
        assert!((CHANGED..=CHANGED * MAX_RANGE_SIZE * 2).contains(&sent), "{sent} of {size}");
        assert!(leader.endpoints == follower.endpoints);
    }
}

/// Guards against digests so long that comparing them costs more than sending the endpoints.
#[test]
fn the_number_of_ranges_grows_with_the_endpoints() {
    for size in SIZES {
        let follower = Follower::with((0..size).map(|number| endpoint(number, 1)));
        let count = follower.index.count();
        assert!(size / count <= MAX_RANGE_SIZE && count <= size / 8, "{count} ranges of {size}");
    }
    assert_eq!(RangeIndex::default().digests(), [0]);
}

/// A sequence number changes with every announcement, and followers are not told.
#[test]
fn a_sequence_number_does_not_change_a_digest() {
    let later = |endpoint: Endpoint| Endpoint {
        announcement: Announcement { sequence: 7, ..endpoint.announcement },
        ..endpoint
    };
    let mut leader = Leader::with((0..100).map(|number| later(endpoint(number, 1))));
    let mut follower = Follower::with((0..100).map(|number| endpoint(number, 1)));
    assert_eq!(leader.bring_up_to_date(&mut follower), 0);
}

/// Guards against a process that cannot be followed because its digests cannot be compared.
#[test]
fn unusable_digests_get_all_endpoints() {
    let mut leader = Leader::with((0..100).map(|number| endpoint(number, 1)));
    for digests in [vec![], vec![0; 3], vec![0; 8_192]] {
        let lacking = leader.cache.lacking(&digests, |ids| vec![0; ids.len()].into());
        let sent: usize = lacking.iter().map(|content| content.endpoints.len()).sum();
        assert_eq!(sent, 100);
    }
}

quickcheck! {
    /// Whatever a follower knows, of however many endpoints: it ends with what the leader knows.
    fn followers_end_with_the_endpoints_of_the_leader(
        leaders: Vec<(u16, u8)>,
        followers: Vec<(u16, u8)>,
        more: u16
    ) -> bool {
        let build = |(number, version): (u16, u8)| {
            endpoint(usize::from(number % 500), u64::from(version % 3))
        };
        let common = (0..usize::from(more % 300)).map(|number| endpoint(number, 1));
        let mut leader = Leader::with(common.chain(leaders.into_iter().map(build)));
        let mut follower = Follower::with(followers.into_iter().map(build));
        leader.bring_up_to_date(&mut follower);
        leader.endpoints == follower.endpoints && leader.bring_up_to_date(&mut follower) == 0
    }
}
