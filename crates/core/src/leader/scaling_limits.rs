//! Bounds of the leader that scale with the fleet and with the cloud's rate limit.
//! `docs/bounds.md` lists their values by number of machines.
use gorseshore_protocol::ids::Micros;

/// Machines on a page of the cloud's list: the maximum that the cloud returns.
pub const MAX_MACHINES_PER_LIST_PAGE: usize = 500;
/// Machines in a scale-out request: the maximum that the cloud accepts.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Machines in a deletion: the maximum that the cloud accepts.
pub const MAX_MACHINES_PER_DELETION: usize = 100;

/// Time from the end of one list to the start of the next, if the cloud's rate limit allows it.
pub const LIST_INTERVAL: Micros = Micros::secs(2);
/// One in this many calls to the cloud may be for a list page. The rest are for deletions and
/// rentals, which take precedence, because the number of pages grows with the number of machines.
const CALLS_PER_LIST_PAGE: f64 = 4.0;
/// Least bound on the rentals open at a time, for a cloud with a low rate limit.
const MIN_OPEN_RENTALS: usize = 6;
/// One scale-out decision may add one machine for each this many existing machines, and always
/// as many as a scale-out request holds.
const MACHINES_PER_ADDED_MACHINE: usize = 24;

/// Least time between two pages of the cloud's list.
pub fn list_page_interval(calls_per_s: f64) -> Micros {
    Micros::from_secs_f64(CALLS_PER_LIST_PAGE / calls_per_s.max(0.1)).min(LIST_INTERVAL)
}

/// Rentals that may be open at a time: the calls that the cloud accepts in a second.
pub fn max_open_rentals(calls_per_s: f64) -> usize {
    (calls_per_s as usize).max(MIN_OPEN_RENTALS)
}

/// Machines that one scale-out decision may add to a fleet of `machines`.
pub fn max_machines_added(machines: usize) -> usize {
    (machines / MACHINES_PER_ADDED_MACHINE).max(MAX_MACHINES_PER_RENTAL as usize)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bounds_scale_with_the_fleet_and_the_clouds_rate_limit() {
        // (machines, maximum added by one decision)
        for (machines, added) in [(0, 50), (1_200, 50), (4_000, 166), (6_000, 250)] {
            assert_eq!(max_machines_added(machines), added, "{machines} machines");
        }
        // (calls per second, maximum open rentals, milliseconds between pages)
        for (calls, open, pause) in [(0.5, 6, 2_000), (5.0, 6, 800), (15.0, 15, 266)] {
            assert_eq!(max_open_rentals(calls), open, "{calls} calls");
            assert_eq!(list_page_interval(calls).0 / 1000, pause, "{calls} calls");
        }
    }
}
