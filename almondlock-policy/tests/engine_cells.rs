//! Engines are divided into cells, and a host uses its own cell first. Guards against cells that
//! are too small for the largest prompts, against hosts that divide the engines differently, and
//! against hosts that all use the same cell.

use std::collections::BTreeMap;

use almondlock_base::id::{Domain, Upstream};
use almondlock_policy::cell;
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

fn domain(n: usize) -> Domain {
    Domain::new(&format!("d-{n}")).unwrap()
}

/// Creates the given number of engines in each failure domain.
fn engines(counts: &[usize]) -> Vec<(Upstream, Domain)> {
    let mut engines: Vec<(Upstream, Domain)> = Vec::new();
    for (place, count) in counts.iter().enumerate() {
        for n in 0..*count {
            let name = Upstream::new(&format!("i-{n}-{place}")).unwrap();
            engines.push((name, domain(place)));
        }
    }
    engines
}

fn assign(engines: &[(Upstream, Domain)], own: &Domain, host: u64) -> Vec<usize> {
    let engines = engines.iter().map(|(name, domain)| (name, domain));
    cell::assign(engines, own, host)
}

/// Returns the sizes of the cells, the host's own first.
fn sizes(cells: &[usize]) -> Vec<usize> {
    let mut sizes: BTreeMap<usize, usize> = BTreeMap::new();
    for cell in cells {
        *sizes.entry(*cell).or_default() += 1;
    }
    sizes.into_values().collect()
}

/// Failure domains that are large enough have a cell each. Smaller ones share a cell, or join
/// another domain's cell if they are too small together.
#[parameterized(
    one_each = { &[23, 23, 22], &[23, 23, 22] },
    all_too_small = { &[5, 5, 4], &[14] },
    together = { &[15, 15, 15], &[45] },
    joined = { &[30, 4, 25], &[30, 29] },
    shared = { &[30, 12, 12], &[30, 24] },
    none = { &[], &[] },
)]
fn by_domain(counts: &[usize], expected: &[usize]) {
    let cells = assign(&engines(counts), &domain(0), 1);
    assert_eq!(sizes(&cells), expected);
}

/// The host's own cell is that of its failure domain, whichever that is.
#[test]
fn own_first() {
    let engines = engines(&[23, 24, 25]);
    for own in 0..3 {
        let cells = assign(&engines, &domain(own), 1);
        let first = engines.iter().zip(&cells).filter(|(_, cell)| **cell == 0);
        let mut domains = first.map(|((_, domain), _)| domain);
        assert!(domains.all(|d| *d == domain(own)));
        assert_eq!(sizes(&cells)[0], 23 + own);
    }
}

/// All hosts divide a failure domain with hundreds of engines in the same way, and their own
/// cells in it differ.
#[test]
fn large_domain() {
    let engines = engines(&[200, 200]);
    let mut owners: BTreeMap<Vec<Upstream>, usize> = BTreeMap::new();
    for host in 0..40 {
        let cells = assign(&engines, &domain(1), host);
        assert_eq!(sizes(&cells).len(), 10);
        let own = engines.iter().zip(cells).filter(|(_, cell)| *cell == 0);
        let names: Vec<Upstream> = own.map(|((name, _), _)| name.clone()).collect();
        assert!(names.len() >= cell::MIN_ENGINES, "{}", names.len());
        *owners.entry(names).or_default() += 1;
    }
    assert_eq!(owners.into_values().collect::<Vec<_>>(), [8; 5]);
}

/// Guards against hosts that all use the same cell while their own failure domain has no engines,
/// for example since it is evacuated. They are distributed over the other cells.
#[test]
fn domain_without_engines() {
    let own = |host| sizes(&assign(&engines(&[23, 24]), &domain(7), host));
    assert_eq!(own(0), [23, 24]);
    assert_eq!(own(1), [24, 23]);
    assert_eq!(own(2), own(0));
}

/// Two other cells are compared, never the same one twice.
#[test]
fn two_drawn() {
    let mut rng = SmallRng::seed_from_u64(1);
    for others in 0..6 {
        let drawn = cell::sample_others(others, &mut rng);
        assert_eq!(drawn.len(), others.min(2));
        assert!(drawn.iter().all(|cell| *cell < others));
        assert!(drawn.len() < 2 || drawn[0] != drawn[1]);
    }
}
