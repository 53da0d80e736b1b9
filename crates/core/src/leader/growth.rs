//! Bounds of the leader that grow with the fleet, and with what the cloud takes.
//! `docs/bounds.md` has their values by the number of machines.
use gorseshore_protocol::ids::Micros;

/// Machines on a page of the cloud's list: the most that it gives.
pub const LIST_PAGE: usize = 500;
/// Machines in a rental request: the most that the cloud takes.
pub const MACHINES_A_RENTAL: u32 = 50;
/// Names in a deletion: the most that the cloud takes.
pub const NAMES_A_DELETION: usize = 100;

/// Lists begin so long after the end of the one before, if the calls allow it.
pub const LIST_PAUSE: Micros = Micros::secs(2);
/// One in so many of the cloud's calls may be for a page of its list: what is to be
/// deleted and rented goes first, and more machines make more pages.
const CALLS_PER_LIST_PAGE: f64 = 4.0;
/// Rentals open at a time where the cloud takes few calls.
const MIN_OPEN_RENTALS: usize = 6;
/// A decision adds one machine for so many that there are, and at least as many as a
/// rental request takes.
const MACHINES_PER_ADDED_MACHINE: usize = 24;

/// The least time between pages of the cloud's list.
pub fn list_page_interval(calls_a_second: f64) -> Micros {
    Micros::from_secs_f64(CALLS_PER_LIST_PAGE / calls_a_second.max(0.1)).min(LIST_PAUSE)
}

/// Rentals that may be open at a time: what the cloud takes in a second.
pub fn max_open_rentals(calls_a_second: f64) -> usize {
    (calls_a_second as usize).max(MIN_OPEN_RENTALS)
}

/// Machines that one decision may add to so many.
pub fn max_machines_added(machines: usize) -> usize {
    (machines / MACHINES_PER_ADDED_MACHINE).max(MACHINES_A_RENTAL as usize)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bounds_grow_with_the_fleet_and_stay_within_the_clouds() {
        // (machines, most added by a decision)
        for (machines, added) in [(0, 50), (1_200, 50), (4_000, 166), (6_000, 250)] {
            assert_eq!(max_machines_added(machines), added, "{machines} machines");
        }
        // (calls a second, rentals open, milliseconds between pages)
        for (calls, open, pause) in [(0.5, 6, 2_000), (5.0, 6, 800), (15.0, 15, 266)] {
            assert_eq!(max_open_rentals(calls), open, "{calls} calls");
            assert_eq!(list_page_interval(calls).0 / 1000, pause, "{calls} calls");
        }
    }
}
